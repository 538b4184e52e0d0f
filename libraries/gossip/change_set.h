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
};

// CBOR (RFC 8949).
std::string Encode(const ChangeSet& set);
// Fails with kInvalidPeerMessage.
Result<ChangeSet> DecodeChangeSet(std::string_view bytes);

}  // namespace balsam::gossip
