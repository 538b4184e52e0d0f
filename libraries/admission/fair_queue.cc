// Weighted fair queueing by virtual token counters.
#include "libraries/admission/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>
#include <vector>

namespace balsam::admission {

double FairQueue::MinActiveCounter() const {
  double lowest = std::numeric_limits<double>::infinity();
  std::ranges::for_each(workspaces_, [&lowest](const auto& item) {
    if (!item.second.IsIdle()) lowest = std::min(lowest, item.second.counter);
  });
  return std::isinf(lowest) ? last_served_counter_ : lowest;
}

void FairQueue::Push(const std::string& workspace, double weight, int priority,
                     WorkId work, bool within_budget) {
  WorkspaceState& state = workspaces_[workspace];
  if (state.IsIdle()) {
    state.counter = std::max(state.counter, MinActiveCounter());
  }
  state.weight = weight;
  state.waiting[{within_budget, priority}].push_back(work);
  ++size_;
  queued_within_budget_ += within_budget ? 1 : 0;
}

bool FairQueue::Remove(const std::string& workspace, WorkId work) {
  const auto state = workspaces_.find(workspace);
  if (state == workspaces_.end()) return false;
  for (auto& [rank, queue] : state->second.waiting) {
    if (std::erase(queue, work) == 0) continue;
    --size_;
    queued_within_budget_ -= rank.first ? 1 : 0;
    if (queue.empty()) state->second.waiting.erase(rank);
    return true;
  }
  return false;
}

void FairQueue::Charge(const std::string& workspace, double tokens) {
  WorkspaceState& state = workspaces_[workspace];
  state.counter += tokens / state.weight;
}

std::optional<WorkId> FairQueue::TakeFirst(
    const std::function<bool(WorkId)>& take) {
  std::vector<std::pair<double, WorkspaceState*>> active;
  const bool within_budget = queued_within_budget_ > 0;
  for (auto& [name, state] : workspaces_) {
    const bool is_eligible =
        !state.IsIdle() && state.waiting.begin()->first.first == within_budget;
    if (is_eligible) active.emplace_back(state.counter, &state);
  }
  std::ranges::sort(active);
  for (auto& [counter, state] : active) {
    const WorkId work = state->waiting.begin()->second.front();
    if (!take(work)) continue;
    PopFirst(*state);
    last_served_counter_ = counter;
    return work;
  }
  return std::nullopt;
}

void FairQueue::PopFirst(WorkspaceState& state) {
  const auto first = state.waiting.begin();
  first->second.pop_front();
  --size_;
  queued_within_budget_ -= first->first.first ? 1 : 0;
  if (first->second.empty()) state.waiting.erase(first);
}

std::size_t FairQueue::QueueLength(std::string_view workspace) const {
  const auto state = workspaces_.find(workspace);
  if (state == workspaces_.end()) return 0;
  std::size_t sum = 0;
  std::ranges::for_each(state->second.waiting, [&sum](const auto& queue) {
    sum += queue.second.size();
  });
  return sum;
}

std::size_t FairQueue::WorkspaceState::QueuedCount(bool within_budget) const {
  std::size_t sum = 0;
  std::ranges::for_each(waiting, [&](const auto& queue) {
    if (queue.first.first == within_budget) sum += queue.second.size();
  });
  return sum;
}

std::size_t FairQueue::ExpectedAhead(std::string_view workspace,
                                     bool within_budget) const {
  const auto own = workspaces_.find(workspace);
  const std::size_t turns =
      own == workspaces_.end() ? 1 : own->second.QueuedCount(within_budget) + 1;
  std::size_t sum = within_budget ? 0 : queued_within_budget_;
  std::ranges::for_each(workspaces_, [&](const auto& item) {
    const std::size_t waiting = item.second.QueuedCount(within_budget);
    sum += item.first == workspace ? waiting : std::min(waiting, turns);
  });
  return sum;
}

double FairQueue::CounterOf(std::string_view workspace) const {
  const auto state = workspaces_.find(workspace);
  return state == workspaces_.end() ? 0.0 : state->second.counter;
}

}  // namespace balsam::admission
