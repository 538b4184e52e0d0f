// Scores servers by load and by recent failures.
#include "libraries/dispatch/server_selector.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "libraries/membership/rendezvous.h"

namespace balsam::dispatch {
namespace {

using directory::BackendServer;
using directory::Life;

// Weight of the failure share against the load share, which is 1 for a full
// server: one that fails a third of its requests is as bad as a full one.
constexpr double kFailureWeight = 3.0;
// Added for a server in another data centre: a hop costs little against load.
constexpr double kOtherDataCenter = 0.05;
// Entries choose at the same moment from the same reports; noise of this size
// keeps them from choosing the same server.
constexpr double kNoise = 0.08;
// Added for a server that has just started and is slow at first.
constexpr double kColdPenalty = 1.0;
// Unread prompt tokens that count like a full engine: what an engine reads in
// two seconds beside its other work (platform: chunks of 112 tokens, at 14 a
// millisecond, between steps of 8 ms). More weight fills engines unevenly, and
// those preempt.
constexpr double kPromptTokensAsLoad = 14000.0;
// The same two for copies of a live run. One takes twice as long between data
// centres (platform), and all runs of an engine that leaves are copied within
// the second or two that it has left, by entries that choose at the same
// moment; so the nearer target counts for more, and targets are spread wider.
constexpr double kOtherDataCenterTransfer = 0.6;
constexpr double kNoiseTransfer = 0.3;
// Outcomes that a server is assumed to have served before anything is known.
constexpr double kPriorOutcomes = 4.0;
// What is left of a failure after so many half-lives counts for nothing.
constexpr int kRecordHalfLives = 10;
// A server that lapsed is chosen only where no ready one has room.
constexpr double kLapsedPenalty = 100.0;

}  // namespace

std::uint32_t ServerKey(std::string_view id) {
  return static_cast<std::uint32_t>(membership::StableHash(id));
}

double ServerSelector::Faded(double value, const Record& record,
                             BootTime now) const {
  const double halves =
      std::chrono::duration<double>(now - record.faded_at) /
      std::chrono::duration<double>(limits_.failure_half_life);
  return value * std::exp2(-std::max(halves, 0.0));
}

double ServerSelector::FailureShare(const std::string& id, BootTime now) const {
  return FailureShare(id, UsageOf(id, now).failures, now);
}

double ServerSelector::FailureShare(const std::string& id,
                                    std::int64_t others_failures,
                                    BootTime now) const {
  auto failures = static_cast<double>(others_failures);
  double outcomes = kPriorOutcomes + failures;
  if (const auto found = records_.find(id); found != records_.end()) {
    const Record& record = found->second;
    failures += Faded(record.failures, record, now);
    outcomes += Faded(record.outcomes, record, now);
  }
  return failures / outcomes;
}

bool ServerSelector::IsBroken(const std::string& id,
                              std::int64_t others_failures,
                              BootTime now) const {
  auto failures = static_cast<double>(others_failures);
  double served = 0.0;
  if (const auto found = records_.find(id); found != records_.end()) {
    const Record& record = found->second;
    failures += Faded(record.told_failures, record, now);
    served = Faded(record.served, record, now);
  }
  return failures >= limits_.breaking_failures && failures > served;
}

Usage ServerSelector::UsageOf(const std::string& id, BootTime now) const {
  Usage usage;
  if (const auto own = records_.find(id); own != records_.end()) {
    usage = own->second.own;
  }
  const std::uint32_t key = ServerKey(id);
  for (const auto& [entry, report] : reports_) {
    if (now - report.at > limits_.report_lifetime) continue;
    const auto found = report.usage.find(key);
    if (found != report.usage.end()) usage += found->second;
  }
  return usage;
}

std::optional<double> ServerSelector::Score(const BackendServer& server,
                                            const routing::EngineTraits* engine,
                                            const Demand& demand,
                                            BootTime now) {
  const auto record = records_.find(server.id);
  if (record != records_.end() && record->second.paused_until > now) {
    ++census_.paused;
    return std::nullopt;
  }
  const Usage usage = UsageOf(server.id, now);
  const int slots = std::max(server.slots, 1);
  double load = static_cast<double>(usage.requests) / slots;
  if (engine != nullptr) {
    if (usage.requests >= slots) {
      ++census_.without_slot;
      return std::nullopt;
    }
    if (IsBroken(server.id, usage.failures, now)) {
      ++census_.broken;
      return std::nullopt;
    }
    if (!demand.is_transfer &&
        usage.unread_prompt_tokens > limits_.max_unread_tokens) {
      ++census_.reading;
      return std::nullopt;
    }
    const double share = demand.is_transfer ? limits_.transfer_memory_share
                                            : limits_.memory_share;
    const double room = share * static_cast<double>(engine->memory_tokens);
    const auto tokens = static_cast<double>(usage.tokens + demand.Tokens());
    // An idle engine takes what fits it at all.
    if (tokens > room && usage.requests > 0) {
      ++census_.without_memory;
      return std::nullopt;
    }
    load =
        std::max(load, tokens / room) +
        static_cast<double>(usage.unread_prompt_tokens) / kPromptTokensAsLoad;
  } else if (usage.requests >=
             static_cast<std::int64_t>(slots * (1.0 + limits_.queue_share))) {
    ++census_.without_slot;
    return std::nullopt;
  }
  std::uniform_real_distribution<double> noise(
      0.0, demand.is_transfer ? kNoiseTransfer : kNoise);
  const bool elsewhere =
      !demand.data_center.empty() && server.data_center != demand.data_center;
  return load + kFailureWeight * FailureShare(server.id, usage.failures, now) +
         (elsewhere ? (demand.is_transfer ? kOtherDataCenterTransfer
                                          : kOtherDataCenter)
                    : 0.0) +
         (server.cold_until > now ? kColdPenalty : 0.0) + noise(random_);
}

std::optional<ServerSelector::Choice> ServerSelector::Select(
    const directory::BackendDirectory& directory,
    const routing::EngineTraits* engine, const Demand& demand, BootTime now) {
  std::optional<Choice> best;
  double best_score = std::numeric_limits<double>::max();
  census_ = {};
  directory.ForEachOf(
      demand.service, [&](const BackendServer& server, Life life) {
        ++census_.servers;
        if (life == Life::kLeaving) {
          ++census_.leaving;
          return;
        }
        if (demand.excluded.contains(server.id)) {
          ++census_.excluded;
          return;
        }
        std::optional<double> score = Score(server, engine, demand, now);
        if (!score.has_value()) return;
        if (life == Life::kLapsed) *score += kLapsedPenalty;
        if (*score >= best_score) return;
        best_score = *score;
        best = Choice{server.id, server.endpoint};
      });
  return best;
}

bool ServerSelector::IsServable(const directory::BackendDirectory& directory,
                                const routing::EngineTraits* engine,
                                const Demand& demand) const {
  if (engine != nullptr && demand.prompt_tokens > engine->memory_tokens) {
    return false;
  }
  bool found = false;
  directory.ForEachOf(demand.service, [&](const BackendServer&, Life life) {
    found = found || life != Life::kLeaving;
  });
  return found;
}

void ServerSelector::OnStart(const std::string& id, const Demand& demand) {
  Record& record = records_[id];
  record.own += {1, demand.Tokens(), demand.prompt_tokens};
  if (demand.Tokens() > 0) record.is_engine = true;
  ++usage_changes_;
}

void ServerSelector::OnFirstEvent(const std::string& id, const Demand& demand) {
  const auto found = records_.find(id);
  if (found == records_.end()) return;
  std::int64_t& unread = found->second.own.unread_prompt_tokens;
  unread = std::max<std::int64_t>(0, unread - demand.prompt_tokens);
  ++usage_changes_;
}

void ServerSelector::OnEnd(const std::string& id, const Demand& demand,
                           bool began) {
  if (!began) OnFirstEvent(id, demand);
  const auto found = records_.find(id);
  if (found == records_.end()) return;
  Usage& own = found->second.own;
  own.requests = std::max<std::int64_t>(0, own.requests - 1);
  own.tokens = std::max<std::int64_t>(0, own.tokens - demand.Tokens());
  ++usage_changes_;
}

void ServerSelector::OnResult(const std::string& id, AttemptResult result,
                              BootTime now) {
  Record& record = records_[id];
  record.failures = Faded(record.failures, record, now);
  record.outcomes = Faded(record.outcomes, record, now);
  record.told_failures = Faded(record.told_failures, record, now);
  record.served = Faded(record.served, record, now);
  record.faded_at = now;
  record.outcomes += 1.0;
  switch (result) {
    case AttemptResult::kServed:
      record.served += 1.0;
      return;
    case AttemptResult::kRefused:
      record.paused_until = now + limits_.refused_pause;
      return;
    case AttemptResult::kFailed:
      record.failures += 1.0;
      if (record.is_engine) {
        record.told_failures += 1.0;
        ++usage_changes_;
      }
      return;
    case AttemptResult::kSlow:
      record.failures += 1.0;
      return;
    case AttemptResult::kUnreachable:
      record.failures += 1.0;
      record.paused_until = now + limits_.unreachable_pause;
      return;
  }
}

void ServerSelector::Forget(const std::string& id) {
  records_.erase(id);
  ++usage_changes_;
}

void ServerSelector::DropIdle(BootTime now) {
  std::erase_if(records_, [&](const auto& item) {
    const Record& record = item.second;
    return record.own.requests == 0 &&
           now - record.faded_at > kRecordHalfLives * limits_.failure_half_life;
  });
}

void ServerSelector::OnReport(const std::string& entry,
                              std::map<std::uint32_t, Usage> usage,
                              BootTime now) {
  reports_[entry] = {std::move(usage), now};
}

void ServerSelector::OnReportChanges(
    const std::string& entry, const std::map<std::uint32_t, Usage>& changes,
    BootTime now) {
  Report& report = reports_[entry];
  report.at = now;
  for (const auto& [key, usage] : changes) {
    if (usage == Usage{}) {
      report.usage.erase(key);
    } else {
      report.usage[key] = usage;
    }
  }
}

void ServerSelector::OnEntryHeard(const std::string& entry, BootTime now) {
  const auto found = reports_.find(entry);
  if (found != reports_.end()) found->second.at = now;
}

std::map<std::uint32_t, Usage> ServerSelector::OwnUsage(BootTime now) const {
  std::map<std::uint32_t, Usage> usage;
  for (const auto& [id, record] : records_) {
    Usage own = record.own;
    own.failures = std::min<std::int64_t>(
        std::llround(Faded(record.told_failures, record, now)),
        limits_.max_told_failures);
    if (own != Usage{}) usage[ServerKey(id)] += own;
  }
  return usage;
}

}  // namespace balsam::dispatch
