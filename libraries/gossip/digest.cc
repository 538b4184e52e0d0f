// Digests as CBOR arrays: positions instead of names keep them in one packet.
#include "libraries/gossip/digest.h"

#include <nlohmann/json.hpp>

namespace balsam::gossip {
namespace {

using nlohmann::json;

// Changes with the layout below; entries of another layout are not understood.
constexpr int kLayout = 5;

// Tokens are told in units of this size, rounded up: a smaller number takes
// fewer bytes, and loads are estimates.
constexpr std::int64_t kTokenUnit = 64;

std::int64_t ToUnits(std::int64_t tokens) {
  return (tokens + kTokenUnit - 1) / kTokenUnit;
}

}  // namespace

std::string Encode(const Digest& digest) {
  json usage = json::array();
  for (const auto& [key, used] : digest.usage) {
    usage.push_back({key, used.requests, ToUnits(used.tokens),
                     ToUnits(used.unread_prompt_tokens)});
  }
  json crashes = json::array();
  for (const auto& [fingerprint, count] : digest.crashes) {
    crashes.push_back({fingerprint, count});
  }
  const json message = {kLayout,
                        digest.ip,
                        digest.sequence,
                        digest.incarnation,
                        digest.revision,
                        digest.reaches_store,
                        std::move(usage),
                        digest.peers,
                        std::move(crashes),
                        digest.leaving_servers};
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

Result<Digest> Decode(std::string_view bytes) {
  const json message = json::from_cbor(bytes.begin(), bytes.end(), true, false);
  if (!message.is_array() || message.size() != 10 || message[0] != kLayout) {
    return Fail(ResultCode::kInvalidPeerMessage, "not a digest");
  }
  try {
    Digest digest;
    digest.ip = message[1].get<std::string>();
    digest.sequence = message[2].get<std::uint64_t>();
    digest.incarnation = message[3].get<std::uint64_t>();
    digest.revision = message[4].get<std::uint64_t>();
    digest.reaches_store = message[5].get<bool>();
    for (const json& used : message[6]) {
      digest.usage[used.at(0).get<std::uint32_t>()] = {
          used.at(1).get<std::int64_t>(),
          used.at(2).get<std::int64_t>() * kTokenUnit,
          used.at(3).get<std::int64_t>() * kTokenUnit};
    }
    digest.peers = message[7].get<std::vector<std::string>>();
    for (const json& crash : message[8]) {
      digest.crashes[crash.at(0).get<std::uint64_t>()] =
          crash.at(1).get<std::int64_t>();
    }
    digest.leaving_servers = message[9].get<std::vector<std::string>>();
    return digest;
  } catch (const json::exception& error) {
    return Fail(ResultCode::kInvalidPeerMessage, error.what());
  }
}

}  // namespace balsam::gossip
