// Changes of the replicated configuration and directory, as one entry hands
// them to another that lacks them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/revisions/revisioned_map.h"

namespace balsam::gossip {

struct ChangeSet {
  // All changes up to this revision are known once these are applied.
  std::uint64_t revision = 0;
  std::vector<revisions::RevisionedEntry> changes;
  // These are all entries that there are, and not what changed: the sender does
  // not remember every deletion that the reader lacks.
  bool is_whole = false;
};

// CBOR (RFC 8949).
std::string Encode(const ChangeSet& set);
// Fails with kInvalidPeerMessage.
Result<ChangeSet> DecodeChangeSet(std::string_view bytes);

}  // namespace balsam::gossip
