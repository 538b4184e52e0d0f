// Query rounds of the search, and permits of limited servers.
#include "services/gateway/server_search.h"

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

std::optional<ServerSearch::Choice> ServerSearch::Start(
    const routing::EngineTraits* engine, const dispatch::Demand& demand,
    Mode mode) {
  if (querying_) return std::nullopt;
  mode_ = engine != nullptr && context_.query_loads ? mode : Mode::kKnownLoads;
  if (mode_ == Mode::kQueriedLoads && BootClock::now() < next_search_time_) {
    return std::nullopt;
  }
  engine_ = engine;
  demand_ = &demand;
  rounds_ = 0;
  unresolved_.clear();
  return FindPermitted(std::nullopt);
}

std::optional<ServerSearch::Choice> ServerSearch::FindPermitted(
    std::optional<Choice> choice) {
  while (true) {
    if (!choice.has_value()) choice = FindNext();
    if (!choice.has_value()) return std::nullopt;
    switch (RequestPermit(*choice)) {
      case PermitResult::kGranted:
        return choice;
      case PermitResult::kPending:
        querying_ = true;
        return std::nullopt;
      case PermitResult::kDenied:
        // The selector skips it now.
        choice.reset();
        break;
    }
  }
}

std::optional<ServerSearch::Choice> ServerSearch::FindNext() {
  if (mode_ == Mode::kQueriedLoads) return QueryNextRound();
  return context_.selector.Select(context_.directory, engine_, *demand_,
                                  BootClock::now());
}

PermitResult ServerSearch::RequestPermit(const Choice& choice) {
  if (!context_.request_permit) return PermitResult::kGranted;
  return context_.request_permit(
      choice.id,
      [self = QPointer<ServerSearch>(this), choice](bool is_granted) {
        if (!self) return;
        self->querying_ = false;
        // It may have left, or been evacuated, since the permit was asked for.
        const auto& directory = self->context_.directory;
        const directory::BackendServer* server = directory.Find(choice.id);
        const bool is_open =
            server != nullptr &&
            directory.AcceptsRequests(*server, *directory.StateOf(choice.id));
        if (is_granted && is_open) {
          self->on_ended(choice);
        } else {
          self->Continue(std::nullopt);
        }
      });
}

std::optional<ServerSearch::Choice> ServerSearch::SelectBest(
    const std::vector<Choice>& candidates) {
  return context_.selector.SelectAmong(candidates, context_.directory, engine_,
                                       *demand_, BootClock::now());
}

std::optional<ServerSearch::Choice> ServerSearch::QueryNextRound() {
  while (rounds_ < kMaxRounds) {
    ++rounds_;
    const auto candidates =
        context_.selector.Candidates(context_.directory, engine_, *demand_,
                                     kEnginesPerRound, BootClock::now());
    if (candidates.empty()) break;
    std::vector<std::string> ids;
    std::ranges::transform(candidates, std::back_inserter(ids), &Choice::id);
    querying_ = context_.query_loads(
        ids, [self = QPointer<ServerSearch>(this),
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

void ServerSearch::OnLoadQueryDone(const std::vector<Choice>& candidates,
                                   const std::set<std::uint32_t>& unresolved) {
  querying_ = false;
  std::vector<Choice> resolved;
  for (const Choice& candidate : candidates) {
    const bool is_unresolved =
        unresolved.contains(dispatch::ServerKey(candidate.id));
    (is_unresolved ? unresolved_ : resolved).push_back(candidate);
  }
  Continue(SelectBest(resolved));
}

void ServerSearch::Continue(std::optional<Choice> choice) {
  choice = FindPermitted(std::move(choice));
  if (!querying_) on_ended(choice);
}

}  // namespace balsam::gateway
