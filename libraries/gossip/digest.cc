// Messages are encoded as CBOR arrays: positional fields keep them small.
#include "libraries/gossip/digest.h"

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <cmath>
#include <iterator>
#include <nlohmann/json.hpp>

#include "libraries/decoding/bounded_json.h"
#include "libraries/quarantine/evidence_codec.h"

namespace balsam::gossip {
namespace {

using nlohmann::json;

// First element of each message: its type and the version of its format. The
// value changes with the format, and messages of unknown formats are rejected.
constexpr int kDigestFormat = 17;
constexpr int kLoadUpdateFormat = 10;
constexpr int kLoadTotalsFormat = 11;
constexpr int kLoadQueryFormat = 12;
constexpr int kPermitRequestFormat = 15;
constexpr int kPermitReplyFormat = 16;
// Without the limits, which are left out if there are none.
constexpr std::size_t kDigestElements = 11;
// Limits, and the start times of leaving servers.
constexpr std::size_t kOptionalDigestElements = 2;
constexpr std::size_t kLoadMessageElements = 3;
// With the rate of a cold server, which is left out for others.
constexpr std::size_t kColdPermitRequestElements = 4;
constexpr std::size_t kPermitReplyElements = 5;

// Token counts are sent in units of this size, rounded up: smaller numbers
// encode in fewer bytes, and loads are estimates anyway.
constexpr std::int64_t kTokensPerUnit = 64;

// Limits are sent as requests in this many seconds, rounded: the decoder
// accepts integers only.
constexpr double kLimitSeconds = 1000.0;

// No load is higher.
constexpr std::int64_t kMaxCount = std::int64_t{1} << 40;

std::int64_t ToTokenUnits(std::int64_t tokens) {
  return (tokens + kTokensPerUnit - 1) / kTokensPerUnit;
}

// Encodes each update as two small integers: the address, and the remaining
// fields packed into one.
json ToJson(const std::vector<PeerUpdate>& list) {
  json numbers = json::array();
  for (const PeerUpdate& update : list) {
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address_v4(update.ip, error);
    if (error) continue;
    numbers.push_back(address.to_uint());
    numbers.push_back(std::uint64_t{update.state_version} * 8 +
                      static_cast<std::uint64_t>(update.state) * 2 +
                      (update.reaches_store ? 1 : 0));
  }
  return numbers;
}

std::vector<PeerUpdate> ReadPeerUpdates(const json& numbers) {
  std::vector<PeerUpdate> list;
  for (std::size_t i = 0; i + 1 < numbers.size(); i += 2) {
    const auto packed = numbers[i + 1].get<std::uint64_t>();
    const std::uint64_t state = packed / 2 % 4;
    if (state > static_cast<std::uint64_t>(PeerUpdate::State::kLost)) continue;
    list.push_back({boost::asio::ip::address_v4(numbers[i].get<std::uint32_t>())
                        .to_string(),
                    static_cast<std::uint32_t>(packed / 8),
                    static_cast<PeerUpdate::State>(state), packed % 2 == 1});
  }
  return list;
}

std::string ToCbor(const json& message) {
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

// Bounded, since a message may hold any number.
std::chrono::milliseconds ReadMilliseconds(const json& number) {
  constexpr std::chrono::milliseconds kLongest{std::chrono::hours(24)};
  return std::chrono::milliseconds(std::clamp<std::int64_t>(
      number.get<std::int64_t>(), 0, kLongest.count()));
}

std::int64_t ToLimitUnits(double requests_per_second) {
  return std::llround(requests_per_second * kLimitSeconds);
}

double FromLimitUnits(const json& number) {
  return static_cast<double>(number.get<std::int64_t>()) / kLimitSeconds;
}

json ToJson(const limits::Statement& statement) {
  json limit;
  if (statement.requests_per_second.has_value()) {
    limit = ToLimitUnits(*statement.requests_per_second);
  }
  return {statement.server, statement.age.count(), std::move(limit)};
}

limits::Statement ReadStatement(const json& item) {
  limits::Statement statement{item.at(0).get<std::uint32_t>(), std::nullopt,
                              ReadMilliseconds(item.at(1))};
  if (!item.at(2).is_null()) {
    statement.requests_per_second = FromLimitUnits(item.at(2));
  }
  return statement;
}

json ToJson(const std::vector<limits::Statement>& statements) {
  json list = json::array();
  for (const limits::Statement& statement : statements) {
    list.push_back(ToJson(statement));
  }
  return list;
}

json LeavingIds(const std::vector<LeavingServer>& servers) {
  json list = json::array();
  for (const LeavingServer& server : servers) list.push_back(server.id);
  return list;
}

// Null for an incarnation whose start is not known.
json StartTimes(const std::vector<LeavingServer>& servers) {
  json list = json::array();
  for (const LeavingServer& server : servers) {
    list.push_back(server.started_at.has_value()
                       ? json(server.started_at->count())
                       : json());
  }
  return list;
}

void ReadStartTimes(const json& list, std::vector<LeavingServer>& servers) {
  for (std::size_t i = 0; i < std::min(list.size(), servers.size()); ++i) {
    if (list[i].is_null()) continue;
    servers[i].started_at =
        std::chrono::milliseconds(list[i].get<std::int64_t>());
  }
}

Digest ReadDigest(const json& message) {
  Digest digest;
  digest.sequence = message[1].get<std::uint64_t>();
  digest.incarnation = message[2].get<std::uint64_t>();
  digest.revision = message[3].get<std::uint64_t>();
  digest.reaches_store = message[4].get<bool>();
  digest.peer_updates = ReadPeerUpdates(message[5]);
  digest.evidence = quarantine::ReadEvidence(message[6]);
  for (const json& id : message[7]) {
    digest.leaving_servers.push_back({id.get<std::string>(), std::nullopt});
  }
  digest.state_version = message[8].get<std::uint32_t>();
  digest.reply_requested = message[9].get<bool>();
  digest.membership_hash = message[10].get<std::uint32_t>();
  if (message.size() > kDigestElements) {
    std::ranges::transform(message[kDigestElements],
                           std::back_inserter(digest.limits), ReadStatement);
  }
  if (message.size() > kDigestElements + 1) {
    ReadStartTimes(message[kDigestElements + 1], digest.leaving_servers);
  }
  return digest;
}

// Bounded, since a message may hold any number, and loads are added up.
std::int64_t ReadCount(const json& number) {
  return std::clamp<std::int64_t>(number.get<std::int64_t>(), 0, kMaxCount);
}

dispatch::UsageByServer ReadLoad(const json& list) {
  dispatch::UsageByServer load;
  for (const json& usage : list) {
    load[usage.at(0).get<std::uint32_t>()] = {
        ReadCount(usage.at(1)), ReadCount(usage.at(2)) * kTokensPerUnit,
        ReadCount(usage.at(3)) * kTokensPerUnit,
        usage.size() > 4 ? ReadCount(usage.at(4)) : 0};
  }
  return load;
}

json ToJson(const dispatch::UsageByServer& load) {
  json list = json::array();
  for (const auto& [key, usage] : load) {
    json item = {key, usage.requests, ToTokenUnits(usage.tokens),
                 ToTokenUnits(usage.pending_prefill_tokens)};
    if (usage.failures > 0) item.push_back(usage.failures);
    list.push_back(std::move(item));
  }
  return list;
}

}  // namespace

std::string Encode(const Digest& digest) {
  json message = {kDigestFormat,
                  digest.sequence,
                  digest.incarnation,
                  digest.revision,
                  digest.reaches_store,
                  ToJson(digest.peer_updates),
                  quarantine::ToJson(digest.evidence),
                  LeavingIds(digest.leaving_servers),
                  digest.state_version,
                  digest.reply_requested,
                  digest.membership_hash};
  // Few servers ever name a limit or are leaving.
  if (!digest.limits.empty() || !digest.leaving_servers.empty()) {
    message.push_back(ToJson(digest.limits));
  }
  if (!digest.leaving_servers.empty()) {
    message.push_back(StartTimes(digest.leaving_servers));
  }
  return ToCbor(message);
}

std::string Encode(const std::vector<PeerUpdate>& list) {
  return ToCbor(ToJson(list));
}

std::string Encode(const LoadUpdate& update) {
  return ToCbor({kLoadUpdateFormat, update.sequence, ToJson(update.load)});
}

std::string Encode(const LoadTotals& totals) {
  return ToCbor({kLoadTotalsFormat, totals.query_id, ToJson(totals.load)});
}

std::string Encode(const LoadQuery& query) {
  return ToCbor({kLoadQueryFormat, query.query_id, query.servers});
}

std::string Encode(const PermitRequest& request) {
  json message = {kPermitRequestFormat, request.id, ToJson(request.limit)};
  if (request.cold_requests_per_second.has_value()) {
    message.push_back(ToLimitUnits(*request.cold_requests_per_second));
  }
  return ToCbor(message);
}

std::string Encode(const PermitReply& reply) {
  return ToCbor({kPermitReplyFormat, reply.id, reply.is_granted,
                 reply.retry_after.count(), ToJson(reply.limit)});
}

Result<Message> Decode(std::string_view bytes) {
  const json message = decoding::ParseCbor(bytes);
  try {
    const bool is_digest_size =
        message.size() >= kDigestElements &&
        message.size() <= kDigestElements + kOptionalDigestElements;
    if (message.is_array() && is_digest_size && message[0] == kDigestFormat) {
      return Message(ReadDigest(message));
    }
    if (message.is_array() && message.size() == kLoadMessageElements) {
      const auto sequence_or_id = message[1].get<std::uint64_t>();
      if (message[0] == kLoadUpdateFormat) {
        return Message(LoadUpdate{sequence_or_id, ReadLoad(message[2])});
      }
      if (message[0] == kLoadTotalsFormat) {
        return Message(LoadTotals{sequence_or_id, ReadLoad(message[2])});
      }
      if (message[0] == kLoadQueryFormat) {
        return Message(LoadQuery{sequence_or_id,
                                 message[2].get<std::vector<std::uint32_t>>()});
      }
      if (message[0] == kPermitRequestFormat) {
        return Message(
            PermitRequest{sequence_or_id, ReadStatement(message[2])});
      }
    }
    if (message.is_array() && message.size() == kColdPermitRequestElements &&
        message[0] == kPermitRequestFormat) {
      return Message(PermitRequest{message[1].get<std::uint64_t>(),
                                   ReadStatement(message[2]),
                                   FromLimitUnits(message[3])});
    }
    if (message.is_array() && message.size() == kPermitReplyElements &&
        message[0] == kPermitReplyFormat) {
      return Message(
          PermitReply{message[1].get<std::uint64_t>(), message[2].get<bool>(),
                      ReadMilliseconds(message[3]), ReadStatement(message[4])});
    }
  } catch (const json::exception& error) {
    return Fail(ResultCode::kInvalidPeerMessage, error.what());
  }
  return Fail(ResultCode::kInvalidPeerMessage, "unknown message format");
}

Result<std::vector<PeerUpdate>> DecodePeerList(std::string_view bytes) {
  const json numbers = decoding::ParseCbor(bytes);
  try {
    if (numbers.is_array()) return ReadPeerUpdates(numbers);
  } catch (const json::exception& error) {
    return Fail(ResultCode::kInvalidPeerMessage, error.what());
  }
  return Fail(ResultCode::kInvalidPeerMessage, "expected an array of peers");
}

}  // namespace balsam::gossip
