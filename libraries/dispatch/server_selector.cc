// Scores servers by load and by recent failures.
#include "libraries/dispatch/server_selector.h"

#include <algorithm>
#include <limits>
#include <ranges>
#include <utility>

namespace balsam::dispatch {
namespace {

using directory::BackendServer;
using directory::ServerState;

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
// The same for the servers that are asked before one is chosen: their answers
// tell the better ones apart, as long as not all entries ask the same.
constexpr double kNoiseCandidate = 0.3;
// Added for one that had no room when it was last told of.
constexpr double kOldWordPenalty = 2.0;
// Added for a server whose load nobody could tell when asked: one that is known
// to have room goes first.
constexpr double kUnansweredPenalty = 1.0;
// A server that lapsed is chosen only where no ready one has room.
constexpr double kLapsedPenalty = 100.0;

}  // namespace

const ServerSelector::Record& ServerSelector::RecordOf(
    const std::string& id) const {
  static const Record kNothingKnown;
  const auto found = records_.find(id);
  return found == records_.end() ? kNothingKnown : found->second;
}

double ServerSelector::FailureShare(const std::string& id, BootTime now) const {
  return RecordOf(id).outcomes.FailureShare(reports_.UsageOf(id, now).failures,
                                            now);
}

Usage ServerSelector::UsageOf(const std::string& id, BootTime now) const {
  Usage usage = reports_.UsageOf(id, now);
  usage += RecordOf(id).own;
  return usage;
}

double ServerSelector::RoomOf(const routing::EngineTraits& engine,
                              const Demand& demand) const {
  const double share =
      demand.is_transfer ? limits_.transfer_memory_share : limits_.memory_share;
  return share * static_cast<double>(engine.memory_tokens);
}

ServerSelector::Obstacle ServerSelector::FindObstacle(
    const BackendServer& server, const Usage& usage,
    const routing::EngineTraits* engine, const Demand& demand,
    BootTime now) const {
  const Record& record = RecordOf(server.id);
  if (record.rests_until > now) return &PassedOver::resting;
  if (record.paused_until > now) return &PassedOver::paused;
  const int slots = std::max(server.slots, 1);
  if (engine == nullptr) {
    const auto places =
        static_cast<std::int64_t>(slots * (1.0 + limits_.queue_share));
    return usage.requests >= places ? &PassedOver::without_slot : nullptr;
  }
  if (usage.requests >= slots) return &PassedOver::without_slot;
  if (record.outcomes.IsBroken(usage.failures, now)) {
    return &PassedOver::broken;
  }
  if (!demand.is_transfer && usage.unread_prompt_tokens > 0 &&
      usage.unread_prompt_tokens + demand.prompt_tokens >
          limits_.max_unread_tokens) {
    return &PassedOver::reading;
  }
  const auto tokens = static_cast<double>(usage.tokens + demand.Tokens());
  // An idle engine takes what fits it at all.
  const bool fits = usage.requests == 0 || tokens <= RoomOf(*engine, demand);
  return fits ? nullptr : &PassedOver::without_memory;
}

double ServerSelector::Score(const BackendServer& server, const Usage& usage,
                             const routing::EngineTraits* engine,
                             const Demand& demand, double noise, BootTime now) {
  double load = static_cast<double>(usage.requests) / std::max(server.slots, 1);
  if (engine != nullptr) {
    const auto tokens = static_cast<double>(usage.tokens + demand.Tokens());
    load =
        std::max(load, tokens / RoomOf(*engine, demand)) +
        static_cast<double>(usage.unread_prompt_tokens) / kPromptTokensAsLoad;
  }
  std::uniform_real_distribution<double> spread(0.0, noise);
  const bool elsewhere =
      !demand.data_center.empty() && server.data_center != demand.data_center;
  const double failures =
      RecordOf(server.id).outcomes.FailureShare(usage.failures, now);
  return load + kFailureWeight * failures +
         (elsewhere ? (demand.is_transfer ? kOtherDataCenterTransfer
                                          : kOtherDataCenter)
                    : 0.0) +
         (server.cold_until > now ? kColdPenalty : 0.0) +
         (reports_.IsUnanswered(ServerKey(server.id), now) ? kUnansweredPenalty
                                                           : 0.0) +
         spread(random_);
}

bool ServerSelector::IsOldWord(const BackendServer& server, Obstacle obstacle,
                               BootTime now) const {
  const bool is_load = obstacle == &PassedOver::without_slot ||
                       obstacle == &PassedOver::without_memory ||
                       obstacle == &PassedOver::reading;
  const auto heard = reports_.SumHeard(ServerKey(server.id));
  return is_load && heard.has_value() && now - *heard > limits_.old_sum;
}

template <typename Visit>
void ServerSelector::ForEachChoice(const directory::BackendDirectory& directory,
                                   const routing::EngineTraits* engine,
                                   const Demand& demand, Purpose purpose,
                                   BootTime now, Visit&& visit) {
  const double noise_to_send = demand.is_transfer ? kNoiseTransfer : kNoise;
  const double noise =
      purpose == Purpose::kAsk ? kNoiseCandidate : noise_to_send;
  passed_over_ = {};
  directory.ForEachOfService(demand.service, [&](const BackendServer& server,
                                                 ServerState life) {
    ++passed_over_.servers;
    if (life == ServerState::kLeaving) {
      ++passed_over_.leaving;
      return;
    }
    if (demand.excluded.contains(server.id)) {
      ++passed_over_.excluded;
      return;
    }
    const Usage usage = UsageOf(server.id, now);
    const Obstacle obstacle = FindObstacle(server, usage, engine, demand, now);
    const bool is_old_word = purpose == Purpose::kAsk && obstacle != nullptr &&
                             IsOldWord(server, obstacle, now);
    if (obstacle != nullptr && !is_old_word) {
      ++(passed_over_.*obstacle);
      return;
    }
    double score = Score(server, usage, engine, demand, noise, now);
    if (is_old_word) score += kOldWordPenalty;
    if (life == ServerState::kLapsed) score += kLapsedPenalty;
    visit(server, score);
  });
}

template <typename IsCandidate>
std::optional<ServerSelector::Choice> ServerSelector::BestOf(
    const directory::BackendDirectory& directory,
    const routing::EngineTraits* engine, const Demand& demand, BootTime now,
    IsCandidate&& is_candidate) {
  std::optional<Choice> best;
  double best_score = std::numeric_limits<double>::max();
  ForEachChoice(directory, engine, demand, Purpose::kSend, now,
                [&](const BackendServer& server, double score) {
                  if (score >= best_score || !is_candidate(server)) return;
                  best_score = score;
                  best = Choice{server.id, server.endpoint};
                });
  return best;
}

std::optional<ServerSelector::Choice> ServerSelector::Select(
    const directory::BackendDirectory& directory,
    const routing::EngineTraits* engine, const Demand& demand, BootTime now) {
  return BestOf(directory, engine, demand, now,
                [](const BackendServer&) { return true; });
}

std::optional<ServerSelector::Choice> ServerSelector::SelectAmong(
    const std::vector<Choice>& candidates,
    const directory::BackendDirectory& directory,
    const routing::EngineTraits* engine, const Demand& demand, BootTime now) {
  return BestOf(
      directory, engine, demand, now, [&](const BackendServer& server) {
        return std::ranges::find(candidates, server.id, &Choice::id) !=
               candidates.end();
      });
}

std::vector<ServerSelector::Choice> ServerSelector::Candidates(
    const directory::BackendDirectory& directory,
    const routing::EngineTraits* engine, const Demand& demand, std::size_t most,
    BootTime now) {
  std::vector<std::pair<double, Choice>> ranked;
  ForEachChoice(
      directory, engine, demand, Purpose::kAsk, now,
      [&](const BackendServer& server, double score) {
        ranked.emplace_back(score, Choice{server.id, server.endpoint});
      });
  const std::size_t taken = std::min(most, ranked.size());
  std::ranges::partial_sort(ranked,
                            ranked.begin() + static_cast<std::ptrdiff_t>(taken),
                            {}, [](const auto& item) { return item.first; });
  std::vector<Choice> candidates;
  for (auto& [score, choice] : ranked | std::views::take(taken)) {
    candidates.push_back(std::move(choice));
  }
  return candidates;
}

bool ServerSelector::IsServable(const directory::BackendDirectory& directory,
                                const routing::EngineTraits* engine,
                                const Demand& demand) const {
  if (engine != nullptr && demand.prompt_tokens > engine->memory_tokens) {
    return false;
  }
  bool found = false;
  directory.ForEachOfService(demand.service,
                             [&](const BackendServer&, ServerState life) {
                               found = found || life != ServerState::kLeaving;
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
  if (result == AttemptResult::kNoVerdict) return;
  Record& record = records_[id];
  record.outcomes.Add(result, now);
  if (result == AttemptResult::kRefused) {
    record.paused_until = now + limits_.refused_pause;
  }
  if (result == AttemptResult::kUnreachable) {
    record.paused_until = now + limits_.unreachable_pause;
  }
  if (result == AttemptResult::kFailed && record.is_engine) ++usage_changes_;
}

void ServerSelector::OnRestAsked(const std::string& id, BootTime until) {
  BootTime& rests_until = records_[id].rests_until;
  rests_until = std::max(rests_until, until);
}

std::optional<BootTime> ServerSelector::EarliestEndOfRest(
    const directory::BackendDirectory& directory, const Demand& demand,
    BootTime now) const {
  std::optional<BootTime> earliest;
  bool all_rest = true;
  directory.ForEachOfService(demand.service, [&](const BackendServer& server,
                                                 ServerState life) {
    if (life == ServerState::kLeaving || demand.excluded.contains(server.id)) {
      return;
    }
    const BootTime end = RecordOf(server.id).rests_until;
    all_rest = all_rest && end > now;
    earliest = std::min(earliest.value_or(end), end);
  });
  return all_rest ? earliest : std::nullopt;
}

void ServerSelector::Forget(const std::string& id) {
  records_.erase(id);
  ++usage_changes_;
}

void ServerSelector::DropIdle(BootTime now) {
  std::erase_if(records_, [&](const auto& item) {
    const Record& record = item.second;
    return record.own.requests == 0 && record.rests_until <= now &&
           record.outcomes.IsForgotten(now);
  });
  reports_.DropOld(now);
}

UsageByServer ServerSelector::OwnUsage(BootTime now) const {
  UsageByServer usage;
  for (const auto& [id, record] : records_) {
    Usage own = record.own;
    if (record.is_engine) own.failures = record.outcomes.ToldFailures(now);
    if (own != Usage{}) usage[ServerKey(id)] += own;
  }
  return usage;
}

}  // namespace balsam::dispatch
