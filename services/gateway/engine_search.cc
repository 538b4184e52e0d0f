// Query rounds of the engine search.
#include "services/gateway/engine_search.h"

#include <QPointer>
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iterator>
#include <string>
#include <utility>

namespace balsam::gateway {
namespace {

// Number of engines queried per round, and of rounds before the search
// concludes that there is no capacity. Two choices bring most of the benefit
// (M. Mitzenmacher, The power of two choices, 2001); the third covers lost
// replies.
constexpr std::size_t kEnginesPerRound = 3;
constexpr int kMaxRounds = 3;
// Minimum interval between two searches for the same waiting request.
constexpr std::chrono::milliseconds kSearchInterval{25};

}  // namespace

std::optional<EngineSearch::Choice> EngineSearch::Start(
    const routing::EngineTraits& engine, const dispatch::Demand& demand) {
  if (querying_ || BootClock::now() < next_search_time_) return std::nullopt;
  if (!context_.query_loads) {
    return context_.selector.Select(context_.directory, &engine, demand,
                                    BootClock::now());
  }
  engine_ = &engine;
  demand_ = &demand;
  rounds_ = 0;
  unresolved_.clear();
  return QueryNextRound();
}

std::optional<EngineSearch::Choice> EngineSearch::SelectBest(
    const std::vector<Choice>& candidates) {
  return context_.selector.SelectAmong(candidates, context_.directory, engine_,
                                       *demand_, BootClock::now());
}

std::optional<EngineSearch::Choice> EngineSearch::QueryNextRound() {
  while (rounds_ < kMaxRounds) {
    ++rounds_;
    const auto candidates =
        context_.selector.Candidates(context_.directory, engine_, *demand_,
                                     kEnginesPerRound, BootClock::now());
    if (candidates.empty()) break;
    std::vector<std::string> ids;
    std::ranges::transform(candidates, std::back_inserter(ids), &Choice::id);
    querying_ = context_.query_loads(
        ids, [self = QPointer<EngineSearch>(this),
              candidates](const std::set<std::uint32_t>& unresolved) {
          if (self) self->OnLoadQueryDone(candidates, unresolved);
        });
    if (querying_) return std::nullopt;
    if (auto choice = SelectBest(candidates)) return choice;
  }
  if (auto choice = SelectBest(unresolved_)) return choice;
  next_search_time_ = BootClock::now() + kSearchInterval;
  return std::nullopt;
}

void EngineSearch::OnLoadQueryDone(const std::vector<Choice>& candidates,
                                   const std::set<std::uint32_t>& unresolved) {
  querying_ = false;
  std::vector<Choice> resolved;
  for (const Choice& candidate : candidates) {
    const bool is_unresolved =
        unresolved.contains(dispatch::ServerKey(candidate.id));
    (is_unresolved ? unresolved_ : resolved).push_back(candidate);
  }
  std::optional<Choice> choice = SelectBest(resolved);
  if (!choice.has_value()) choice = QueryNextRound();
  if (!querying_) on_ended(choice);
}

}  // namespace balsam::gateway
