// Scoring of servers by load and recent failures.
#include "libraries/dispatch/server_selector.h"

#include <algorithm>
#include <limits>
#include <ranges>
#include <utility>

namespace balsam::dispatch {
namespace {

using directory::BackendServer;
using directory::ServerState;

// Weight of the failure rate relative to load, which is 1 for a full server: a
// server that fails a third of its requests scores as badly as a full one.
constexpr double kFailureWeight = 3.0;
// Added for a server in another data centre. It is small because a network hop
// costs little compared with load.
constexpr double kOtherDataCenterPenalty = 0.05;
// Entries choose at the same time from the same reports; random noise of this
// size keeps them from all choosing the same server.
constexpr double kSelectionNoise = 0.08;
// Added for a server that has just started and is still slow.
constexpr double kColdPenalty = 1.0;
// Pending prefill tokens that count as much as a full engine: what an engine
// prefills in two seconds beside its other work (on the platform, chunks of 112
// tokens at 14 tokens per millisecond, between steps of 8 ms). A higher weight
// fills the memory of engines unevenly, and the fullest ones preempt.
constexpr double kPrefillTokensPerLoadUnit = 14000.0;
// Data centre penalty and noise for migrations. On the platform, a copy between
// data centres takes twice as long, so a target in the same one is preferred
// more strongly. All generations of a leaving engine are copied within the last
// second or two, by entries that choose at the same time, so targets are spread
// more widely.
constexpr double kOtherDataCenterMigrationPenalty = 0.6;
constexpr double kMigrationNoise = 0.3;
// Noise for servers that are queried before one is selected. The replies show
// which of them are better, as long as entries do not all query the same ones.
constexpr double kCandidateNoise = 0.3;
// Added for a candidate that had no capacity by a stale load total.
constexpr double kStaleTotalPenalty = 2.0;
// Added for a server whose load query was not answered, so that a server known
// to have capacity is preferred.
constexpr double kUnresponsiveAggregatorPenalty = 1.0;
// Added for a lapsed server, whose announcement expired around a store outage:
// it is selected only if no ready one has capacity.
constexpr double kLapsedPenalty = 100.0;

}  // namespace

const ServerSelector::Record& ServerSelector::RecordOf(
    const std::string& id) const {
  static const Record kEmptyRecord;
  const auto found = records_.find(id);
  return found == records_.end() ? kEmptyRecord : found->second;
}

double ServerSelector::FailureRate(const std::string& id, BootTime now) const {
  return RecordOf(id).outcomes.FailureRate(reports_.UsageOf(id, now).failures,
                                           now);
}

Usage ServerSelector::UsageOf(const std::string& id, BootTime now) const {
  Usage usage = reports_.UsageOf(id, now);
  usage += RecordOf(id).local;
  return usage;
}

double ServerSelector::MemoryCapacityFor(const routing::EngineTraits& engine,
                                         const Demand& demand) const {
  const double fraction =
      demand.is_migration ? limits_.migration_memory_fraction
                          : limits_.memory_fraction - demand.memory_left_free;
  return fraction * static_cast<double>(engine.memory_tokens);
}

ServerSelector::SkipReason ServerSelector::FindSkipReason(
    const BackendServer& server, const Usage& usage,
    const routing::EngineTraits* engine, const Demand& demand,
    BootTime now) const {
  const Record& record = RecordOf(server.id);
  if (record.backoff_until > now) return &SkipCounts::in_backoff;
  if (record.cooldown_until > now) return &SkipCounts::in_cooldown;
  if (record.no_permit_until > now) return &SkipCounts::limited;
  const int slots = std::max(server.slots, 1);
  if (engine == nullptr) {
    const auto max_requests =
        static_cast<std::int64_t>(slots * (1.0 + limits_.queue_fraction));
    return usage.requests >= max_requests ? &SkipCounts::without_slot : nullptr;
  }
  if (usage.requests >= slots) return &SkipCounts::without_slot;
  if (record.outcomes.IsUnhealthy(usage.failures, now)) {
    return &SkipCounts::unhealthy;
  }
  if (!demand.is_migration && usage.pending_prefill_tokens > 0 &&
      usage.pending_prefill_tokens + demand.prompt_tokens >
          limits_.max_prefill_tokens) {
    return &SkipCounts::prefill_backlog;
  }
  const auto tokens = static_cast<double>(usage.tokens + demand.Tokens());
  // An idle engine takes any request; `IsServable` rejects prompts that exceed
  // its memory.
  const bool fits =
      usage.requests == 0 || tokens <= MemoryCapacityFor(*engine, demand);
  return fits ? nullptr : &SkipCounts::without_memory;
}

double ServerSelector::Score(const BackendServer& server, const Usage& usage,
                             const routing::EngineTraits* engine,
                             const Demand& demand, double noise, BootTime now) {
  double load = static_cast<double>(usage.requests) / std::max(server.slots, 1);
  if (engine != nullptr) {
    const auto tokens = static_cast<double>(usage.tokens + demand.Tokens());
    load = std::max(load, tokens / MemoryCapacityFor(*engine, demand)) +
           static_cast<double>(usage.pending_prefill_tokens) /
               kPrefillTokensPerLoadUnit;
  }
  std::uniform_real_distribution<double> noise_distribution(0.0, noise);
  const bool is_remote =
      !demand.data_center.empty() && server.data_center != demand.data_center;
  const double failures =
      RecordOf(server.id).outcomes.FailureRate(usage.failures, now);
  return load + kFailureWeight * failures +
         (is_remote ? (demand.is_migration ? kOtherDataCenterMigrationPenalty
                                           : kOtherDataCenterPenalty)
                    : 0.0) +
         (server.cold_until > now ? kColdPenalty : 0.0) +
         (reports_.IsAggregatorUnresponsive(ServerKey(server.id), now)
              ? kUnresponsiveAggregatorPenalty
              : 0.0) +
         noise_distribution(random_);
}

bool ServerSelector::DependsOnStaleTotal(const BackendServer& server,
                                         SkipReason skip_reason,
                                         BootTime now) const {
  const bool is_load_reason = skip_reason == &SkipCounts::without_slot ||
                              skip_reason == &SkipCounts::without_memory ||
                              skip_reason == &SkipCounts::prefill_backlog;
  const auto received_at = reports_.TotalReceivedAt(ServerKey(server.id));
  return is_load_reason && received_at.has_value() &&
         now - *received_at > limits_.stale_total_age;
}

template <typename Visit>
void ServerSelector::ForEachEligible(
    const directory::BackendDirectory& directory,
    const routing::EngineTraits* engine, const Demand& demand, Purpose purpose,
    BootTime now, Visit&& visit) {
  const double selection_noise =
      demand.is_migration ? kMigrationNoise : kSelectionNoise;
  const double noise =
      purpose == Purpose::kQuery ? kCandidateNoise : selection_noise;
  skip_counts_ = {};
  directory.ForEachOfService(
      demand.service, [&](const BackendServer& server, ServerState state) {
        ++skip_counts_.servers;
        if (state == ServerState::kLeaving) {
          ++skip_counts_.leaving;
          return;
        }
        if (!directory.AcceptsRequests(server, state)) {
          ++skip_counts_.evacuated;
          return;
        }
        if (demand.excluded.contains(server.id)) {
          ++skip_counts_.excluded;
          return;
        }
        const Usage usage = UsageOf(server.id, now);
        const SkipReason skip_reason =
            FindSkipReason(server, usage, engine, demand, now);
        const bool is_stale = purpose == Purpose::kQuery &&
                              skip_reason != nullptr &&
                              DependsOnStaleTotal(server, skip_reason, now);
        if (skip_reason != nullptr && !is_stale) {
          ++(skip_counts_.*skip_reason);
          return;
        }
        double score = Score(server, usage, engine, demand, noise, now);
        if (is_stale) score += kStaleTotalPenalty;
        if (state == ServerState::kLapsed) score += kLapsedPenalty;
        visit(server, score);
      });
}

template <typename IsCandidate>
std::optional<ServerSelector::Choice> ServerSelector::SelectBest(
    const directory::BackendDirectory& directory,
    const routing::EngineTraits* engine, const Demand& demand, BootTime now,
    IsCandidate&& is_candidate) {
  std::optional<Choice> best;
  double best_score = std::numeric_limits<double>::max();
  ForEachEligible(directory, engine, demand, Purpose::kSend, now,
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
  return SelectBest(directory, engine, demand, now,
                    [](const BackendServer&) { return true; });
}

std::optional<ServerSelector::Choice> ServerSelector::SelectAmong(
    const std::vector<Choice>& candidates,
    const directory::BackendDirectory& directory,
    const routing::EngineTraits* engine, const Demand& demand, BootTime now) {
  return SelectBest(
      directory, engine, demand, now, [&](const BackendServer& server) {
        return std::ranges::find(candidates, server.id, &Choice::id) !=
               candidates.end();
      });
}

std::vector<ServerSelector::Choice> ServerSelector::Candidates(
    const directory::BackendDirectory& directory,
    const routing::EngineTraits* engine, const Demand& demand,
    std::size_t max_count, BootTime now) {
  std::vector<std::pair<double, Choice>> ranked;
  ForEachEligible(
      directory, engine, demand, Purpose::kQuery, now,
      [&](const BackendServer& server, double score) {
        ranked.emplace_back(score, Choice{server.id, server.endpoint});
      });
  const std::size_t taken = std::min(max_count, ranked.size());
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
  directory.ForEachOfService(
      demand.service, [&](const BackendServer& server, ServerState state) {
        found = found || directory.AcceptsRequests(server, state);
      });
  return found;
}

void ServerSelector::OnStart(const std::string& id, const Demand& demand) {
  Record& record = records_[id];
  record.local += {1, demand.Tokens(), demand.prompt_tokens};
  if (demand.Tokens() > 0) record.is_engine = true;
  ++usage_version_;
}

void ServerSelector::OnFirstEvent(const std::string& id, const Demand& demand) {
  const auto found = records_.find(id);
  if (found == records_.end()) return;
  std::int64_t& pending = found->second.local.pending_prefill_tokens;
  pending = std::max<std::int64_t>(0, pending - demand.prompt_tokens);
  ++usage_version_;
}

void ServerSelector::OnEnd(const std::string& id, const Demand& demand,
                           bool had_first_event) {
  if (!had_first_event) OnFirstEvent(id, demand);
  const auto found = records_.find(id);
  if (found == records_.end()) return;
  Usage& local = found->second.local;
  local.requests = std::max<std::int64_t>(0, local.requests - 1);
  local.tokens = std::max<std::int64_t>(0, local.tokens - demand.Tokens());
  ++usage_version_;
}

void ServerSelector::OnResult(const std::string& id, AttemptResult result,
                              BootTime now) {
  if (result == AttemptResult::kInconclusive) return;
  Record& record = records_[id];
  record.outcomes.Add(result, now);
  if (result == AttemptResult::kRefused) {
    record.cooldown_until = now + limits_.refused_cooldown;
  }
  if (result == AttemptResult::kUnreachable) {
    record.cooldown_until = now + limits_.unreachable_cooldown;
  }
  if (result == AttemptResult::kFailed && record.is_engine) ++usage_version_;
}

void ServerSelector::OnBackoffRequested(const std::string& id, BootTime until,
                                        BootTime now) {
  Record& record = records_[id];
  record.backoff_until = std::max(record.backoff_until, until);
  record.backoff_requested_at = now;
}

void ServerSelector::OnRestarted(const std::string& id, BootTime began) {
  const auto found = records_.find(id);
  if (found == records_.end()) return;
  Record& record = found->second;
  if (record.backoff_requested_at < began) record.backoff_until = {};
}

void ServerSelector::OnPermitDenied(const std::string& id, BootTime until) {
  records_[id].no_permit_until = until;
}

std::optional<BootTime> ServerSelector::EarliestBackoffEnd(
    const directory::BackendDirectory& directory, const Demand& demand,
    BootTime now) const {
  std::optional<BootTime> earliest;
  bool all_backing_off = true;
  directory.ForEachOfService(demand.service, [&](const BackendServer& server,
                                                 ServerState state) {
    if (!directory.AcceptsRequests(server, state) ||
        demand.excluded.contains(server.id)) {
      return;
    }
    const Record& record = RecordOf(server.id);
    const BootTime end = std::max(record.backoff_until, record.no_permit_until);
    all_backing_off = all_backing_off && end > now;
    earliest = std::min(earliest.value_or(end), end);
  });
  return all_backing_off ? earliest : std::nullopt;
}

void ServerSelector::Forget(const std::string& id) {
  records_.erase(id);
  ++usage_version_;
}

void ServerSelector::RemoveIdleServers(BootTime now) {
  std::erase_if(records_, [&](const auto& item) {
    const Record& record = item.second;
    return record.local.requests == 0 && record.backoff_until <= now &&
           record.no_permit_until <= now && record.outcomes.HasDecayed(now);
  });
  reports_.RemoveExpired(now);
}

UsageByServer ServerSelector::LocalUsage(BootTime now) const {
  UsageByServer usage;
  for (const auto& [id, record] : records_) {
    Usage own = record.local;
    if (record.is_engine) own.failures = record.outcomes.ReportedFailures(now);
    if (own != Usage{}) usage[ServerKey(id)] += own;
  }
  return usage;
}

}  // namespace balsam::dispatch
