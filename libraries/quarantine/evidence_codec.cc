// Positional CBOR arrays, like the messages that contain them.
#include "libraries/quarantine/evidence_codec.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "libraries/decoding/bounded_json.h"

namespace balsam::quarantine {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kMaxAge{std::chrono::hours(24)};
// Each lasts twice as long as the one before, so that more make no difference.
constexpr std::uint64_t kMaxQuarantines = 1000;

// Bounded, since a peer's message may hold any number.
std::chrono::milliseconds ReadAge(const json& age) {
  return std::chrono::milliseconds(
      std::min<std::uint64_t>(age.get<std::uint64_t>(), kMaxAge.count()));
}

int ReadQuarantineCount(const json& count) {
  return static_cast<int>(
      std::min<std::uint64_t>(count.get<std::uint64_t>(), kMaxQuarantines));
}

json ToJson(const std::vector<TraitAge>& list) {
  json items = json::array();
  for (const TraitAge& item : list) {
    items.push_back({item.trait, item.age.count()});
  }
  return items;
}

std::vector<TraitAge> ReadTraitAges(const json& items) {
  std::vector<TraitAge> list;
  for (const json& item : items) {
    list.push_back({item.at(0).get<Trait>(), ReadAge(item.at(1))});
  }
  return list;
}

}  // namespace

json ToJson(const Evidence& evidence) {
  if (evidence.empty()) return json::array();
  json crashes = json::array();
  for (const CrashReport& report : evidence.crashes) {
    json item = {report.server, report.crash_age.count(),
                 report.run_age.count(), report.traits};
    if (!report.is_answering) item.push_back(false);
    crashes.push_back(std::move(item));
  }
  json quarantined = json::array();
  for (const QuarantineReport& report : evidence.quarantined) {
    quarantined.push_back(
        {report.signature, report.crash_age.count(), report.count});
  }
  return {std::move(crashes), ToJson(evidence.survived),
          std::move(quarantined)};
}

Evidence ReadEvidence(const json& message) {
  Evidence evidence;
  if (message.empty()) return evidence;
  for (const json& report : message.at(0)) {
    evidence.crashes.push_back(
        {report.at(0).get<std::uint32_t>(), ReadAge(report.at(1)),
         ReadAge(report.at(2)), report.at(3).get<std::vector<Trait>>(),
         report.size() <= 4 || report.at(4).get<bool>()});
  }
  evidence.survived = ReadTraitAges(message.at(1));
  for (const json& report : message.at(2)) {
    evidence.quarantined.push_back({report.at(0).get<Signature>(),
                                    ReadAge(report.at(1)),
                                    ReadQuarantineCount(report.at(2))});
  }
  return evidence;
}

std::string Encode(const Evidence& evidence) {
  std::string bytes;
  if (!evidence.empty()) json::to_cbor(ToJson(evidence), bytes);
  return bytes;
}

Result<Evidence> DecodeEvidence(std::string_view bytes) {
  if (bytes.empty()) return Evidence{};
  const json message = decoding::ParseCbor(bytes);
  try {
    return ReadEvidence(message);
  } catch (const json::exception& error) {
    return Fail(ResultCode::kInvalidPeerMessage, error.what());
  }
}

}  // namespace balsam::quarantine
