// Encoded as an array of the revision, the changes, whether they are a
// snapshot, and the references to long texts if there are any. A change that
// deletes its key has no value.
#include "libraries/gossip/change_set.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "libraries/decoding/bounded_json.h"

namespace balsam::gossip {

using nlohmann::json;
using revisions::RevisionedEntry;

std::string Encode(const ChangeSet& change_set) {
  json changes = json::array();
  for (const RevisionedEntry& entry : change_set.changes) {
    json item = {entry.key, entry.revision};
    if (entry.value.has_value()) item.push_back(*entry.value);
    changes.push_back(std::move(item));
  }
  json message = json::array(
      {change_set.revision, std::move(changes), change_set.is_snapshot});
  if (!change_set.texts.empty()) {
    json texts = json::array();
    for (const TextReference& text : change_set.texts) {
      texts.push_back(json::array({text.key, text.revision}));
    }
    message.push_back(std::move(texts));
  }
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

Result<ChangeSet> DecodeChangeSet(std::string_view bytes) {
  const json message = decoding::ParseCbor(bytes);
  try {
    ChangeSet change_set;
    change_set.revision = message.at(0).get<std::uint64_t>();
    change_set.is_snapshot = message.at(2).get<bool>();
    for (const json& item : message.at(1)) {
      RevisionedEntry entry{item.at(0).get<std::string>(),
                            item.at(1).get<std::uint64_t>(), std::nullopt};
      if (item.size() > 2) entry.value = item.at(2).get<std::string>();
      change_set.changes.push_back(std::move(entry));
    }
    if (message.size() > 3) {
      for (const json& item : message.at(3)) {
        change_set.texts.push_back(
            {item.at(0).get<std::string>(), item.at(1).get<std::uint64_t>()});
      }
    }
    return change_set;
  } catch (const json::exception& error) {
    return Fail(ResultCode::kInvalidPeerMessage, error.what());
  }
}

}  // namespace balsam::gossip
