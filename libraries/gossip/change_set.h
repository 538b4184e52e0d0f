// Changes of the replicated configuration and directory that one entry sends to
// another that lacks them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/revisions/revisioned_map.h"

namespace balsam::gossip {

// A change to a long text, which the receiver fetches by itself.
struct TextReference {
  std::string key;
  std::uint64_t revision = 0;

  bool operator==(const TextReference&) const = default;
};

struct ChangeSet {
  // Once the changes are applied, the receiver is up to date to this revision.
  std::uint64_t revision = 0;
  std::vector<revisions::RevisionedEntry> changes;
  // The changes are all existing keys instead of the differences, because the
  // sender no longer has every deletion that the receiver lacks.
  bool is_snapshot = false;
  // Changes that are not among `changes`, because their texts are long. Sent
  // only to receivers that ask for references.
  std::vector<TextReference> texts = {};
};

// Encodes as CBOR (RFC 8949).
std::string Encode(const ChangeSet& change_set);
// Fails with kInvalidPeerMessage.
Result<ChangeSet> DecodeChangeSet(std::string_view bytes);

}  // namespace balsam::gossip
