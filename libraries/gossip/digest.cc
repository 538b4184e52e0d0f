// Messages as CBOR arrays: positions instead of names keep them small.
#include "libraries/gossip/digest.h"

#include <nlohmann/json.hpp>

namespace balsam::gossip {
namespace {

using nlohmann::json;

// First element of each message. They change with the layouts below; entries of
// another layout are not understood.
constexpr int kDigestLayout = 8;
constexpr int kLoadLayout = 7;
constexpr std::size_t kDigestSize = 8;
constexpr std::size_t kLoadSize = 4;

// Tokens are told in units of this size, rounded up: a smaller number takes
// fewer bytes, and loads are estimates.
constexpr std::int64_t kTokenUnit = 64;

std::int64_t ToUnits(std::int64_t tokens) {
  return (tokens + kTokenUnit - 1) / kTokenUnit;
}

std::string ToCbor(const json& message) {
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

Digest ReadDigest(const json& message) {
  Digest digest;
  digest.sequence = message[1].get<std::uint64_t>();
  digest.incarnation = message[2].get<std::uint64_t>();
  digest.revision = message[3].get<std::uint64_t>();
  digest.reaches_store = message[4].get<bool>();
  digest.peers = message[5].get<std::vector<std::string>>();
  for (const json& crash : message[6]) {
    digest.crashes[crash.at(0).get<std::uint64_t>()] =
        crash.at(1).get<std::int64_t>();
  }
  digest.leaving_servers = message[7].get<std::vector<std::string>>();
  return digest;
}

LoadUpdate ReadLoadUpdate(const json& message) {
  LoadUpdate update;
  update.sequence = message[1].get<std::uint64_t>();
  update.whole = message[2].get<bool>();
  for (const json& used : message[3]) {
    update.load[used.at(0).get<std::uint32_t>()] = {
        used.at(1).get<std::int64_t>(),
        used.at(2).get<std::int64_t>() * kTokenUnit,
        used.at(3).get<std::int64_t>() * kTokenUnit,
        used.size() > 4 ? used.at(4).get<std::int64_t>() : 0};
  }
  return update;
}

}  // namespace

std::string Encode(const Digest& digest) {
  json crashes = json::array();
  for (const auto& [fingerprint, count] : digest.crashes) {
    crashes.push_back({fingerprint, count});
  }
  return ToCbor({kDigestLayout, digest.sequence, digest.incarnation,
                 digest.revision, digest.reaches_store, digest.peers,
                 std::move(crashes), digest.leaving_servers});
}

std::string Encode(const LoadUpdate& update) {
  json load = json::array();
  for (const auto& [key, used] : update.load) {
    json told = {key, used.requests, ToUnits(used.tokens),
                 ToUnits(used.unread_prompt_tokens)};
    if (used.failures > 0) told.push_back(used.failures);
    load.push_back(std::move(told));
  }
  return ToCbor({kLoadLayout, update.sequence, update.whole, std::move(load)});
}

Result<Message> Decode(std::string_view bytes) {
  const json message = json::from_cbor(bytes.begin(), bytes.end(), true, false);
  try {
    if (message.is_array() && message.size() == kDigestSize &&
        message[0] == kDigestLayout) {
      return Message(ReadDigest(message));
    }
    if (message.is_array() && message.size() == kLoadSize &&
        message[0] == kLoadLayout) {
      return Message(ReadLoadUpdate(message));
    }
  } catch (const json::exception& error) {
    return Fail(ResultCode::kInvalidPeerMessage, error.what());
  }
  return Fail(ResultCode::kInvalidPeerMessage, "of no known layout");
}

}  // namespace balsam::gossip
