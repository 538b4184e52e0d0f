// Messages as CBOR arrays: positions instead of names keep them small.
#include "libraries/gossip/digest.h"

#include <boost/asio/ip/address_v4.hpp>
#include <nlohmann/json.hpp>

namespace balsam::gossip {
namespace {

using nlohmann::json;

// First element of each message. They change with the layouts below; entries of
// another layout are not understood.
constexpr int kDigestLayout = 9;
constexpr int kLoadLayout = 10;
constexpr int kSumsLayout = 11;
constexpr int kQuestionLayout = 12;
constexpr std::size_t kDigestSize = 10;
constexpr std::size_t kLoadSize = 3;

// Tokens are told in units of this size, rounded up: a smaller number takes
// fewer bytes, and loads are estimates.
constexpr std::int64_t kTokenUnit = 64;

std::int64_t ToUnits(std::int64_t tokens) {
  return (tokens + kTokenUnit - 1) / kTokenUnit;
}

// Two small numbers for each: the address, and the rest.
json ToJson(const std::vector<PeerNews>& list) {
  json numbers = json::array();
  for (const PeerNews& news : list) {
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address_v4(news.ip, error);
    if (error) continue;
    numbers.push_back(address.to_uint());
    numbers.push_back(std::uint64_t{news.standing} * 8 +
                      static_cast<std::uint64_t>(news.state) * 2 +
                      (news.reaches_store ? 1 : 0));
  }
  return numbers;
}

std::vector<PeerNews> ReadNews(const json& numbers) {
  std::vector<PeerNews> list;
  for (std::size_t i = 0; i + 1 < numbers.size(); i += 2) {
    const auto rest = numbers[i + 1].get<std::uint64_t>();
    const std::uint64_t state = rest / 2 % 4;
    if (state > static_cast<std::uint64_t>(PeerNews::State::kLost)) continue;
    list.push_back({boost::asio::ip::address_v4(numbers[i].get<std::uint32_t>())
                        .to_string(),
                    static_cast<std::uint32_t>(rest / 8),
                    static_cast<PeerNews::State>(state), rest % 2 == 1});
  }
  return list;
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
  digest.news = ReadNews(message[5]);
  for (const json& crash : message[6]) {
    digest.crashes[crash.at(0).get<std::uint64_t>()] =
        crash.at(1).get<std::int64_t>();
  }
  digest.leaving_servers = message[7].get<std::vector<std::string>>();
  digest.standing = message[8].get<std::uint32_t>();
  digest.wants_answer = message[9].get<bool>();
  return digest;
}

dispatch::UsageByServer ReadLoad(const json& list) {
  dispatch::UsageByServer load;
  for (const json& used : list) {
    load[used.at(0).get<std::uint32_t>()] = {
        used.at(1).get<std::int64_t>(),
        used.at(2).get<std::int64_t>() * kTokenUnit,
        used.at(3).get<std::int64_t>() * kTokenUnit,
        used.size() > 4 ? used.at(4).get<std::int64_t>() : 0};
  }
  return load;
}

json ToJson(const dispatch::UsageByServer& load) {
  json list = json::array();
  for (const auto& [key, used] : load) {
    json told = {key, used.requests, ToUnits(used.tokens),
                 ToUnits(used.unread_prompt_tokens)};
    if (used.failures > 0) told.push_back(used.failures);
    list.push_back(std::move(told));
  }
  return list;
}

}  // namespace

std::string Encode(const Digest& digest) {
  json crashes = json::array();
  for (const auto& [fingerprint, count] : digest.crashes) {
    crashes.push_back({fingerprint, count});
  }
  return ToCbor({kDigestLayout, digest.sequence, digest.incarnation,
                 digest.revision, digest.reaches_store, ToJson(digest.news),
                 std::move(crashes), digest.leaving_servers, digest.standing,
                 digest.wants_answer});
}

std::string Encode(const std::vector<PeerNews>& list) {
  return ToCbor(ToJson(list));
}

std::string Encode(const LoadUpdate& update) {
  return ToCbor({kLoadLayout, update.sequence, ToJson(update.load)});
}

std::string Encode(const LoadSums& sums) {
  return ToCbor({kSumsLayout, sums.number, ToJson(sums.load)});
}

std::string Encode(const LoadQuestion& question) {
  return ToCbor({kQuestionLayout, question.number, question.servers});
}

Result<Message> Decode(std::string_view bytes) {
  const json message = json::from_cbor(bytes.begin(), bytes.end(), true, false);
  try {
    if (message.is_array() && message.size() == kDigestSize &&
        message[0] == kDigestLayout) {
      return Message(ReadDigest(message));
    }
    if (message.is_array() && message.size() == kLoadSize) {
      const auto number = message[1].get<std::uint64_t>();
      if (message[0] == kLoadLayout) {
        return Message(LoadUpdate{number, ReadLoad(message[2])});
      }
      if (message[0] == kSumsLayout) {
        return Message(LoadSums{number, ReadLoad(message[2])});
      }
      if (message[0] == kQuestionLayout) {
        return Message(
            LoadQuestion{number, message[2].get<std::vector<std::uint32_t>>()});
      }
    }
  } catch (const json::exception& error) {
    return Fail(ResultCode::kInvalidPeerMessage, error.what());
  }
  return Fail(ResultCode::kInvalidPeerMessage, "of no known layout");
}

Result<std::vector<PeerNews>> DecodeNews(std::string_view bytes) {
  const json numbers = json::from_cbor(bytes.begin(), bytes.end(), true, false);
  try {
    if (numbers.is_array()) return ReadNews(numbers);
  } catch (const json::exception& error) {
    return Fail(ResultCode::kInvalidPeerMessage, error.what());
  }
  return Fail(ResultCode::kInvalidPeerMessage, "no list of peers");
}

}  // namespace balsam::gossip
