// Virtual token counters.
#include "libraries/admission/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>
#include <vector>

namespace balsam::admission {

double FairQueue::LeastBusyCounter() const {
  double least = std::numeric_limits<double>::infinity();
  std::ranges::for_each(lanes_, [&least](const auto& entry) {
    if (!entry.second.IsIdle()) least = std::min(least, entry.second.counter);
  });
  return std::isinf(least) ? last_counter_ : least;
}

void FairQueue::Push(const std::string& workspace, double weight, int priority,
                     WorkNumber work, bool within_budget) {
  Lane& lane = lanes_[workspace];
  if (lane.IsIdle()) {
    lane.counter = std::max(lane.counter, LeastBusyCounter());
  }
  lane.weight = weight;
  lane.waiting[{within_budget, priority}].push_back(work);
  ++size_;
  within_budget_ += within_budget ? 1 : 0;
}

bool FairQueue::Remove(const std::string& workspace, WorkNumber work) {
  const auto lane = lanes_.find(workspace);
  if (lane == lanes_.end()) return false;
  for (auto& [rank, queue] : lane->second.waiting) {
    if (std::erase(queue, work) == 0) continue;
    --size_;
    within_budget_ -= rank.first ? 1 : 0;
    if (queue.empty()) lane->second.waiting.erase(rank);
    return true;
  }
  return false;
}

void FairQueue::Charge(const std::string& workspace, double tokens) {
  Lane& lane = lanes_[workspace];
  lane.counter += tokens / lane.weight;
}

std::optional<WorkNumber> FairQueue::TakeFirst(
    const std::function<bool(WorkNumber)>& take) {
  std::vector<std::pair<double, Lane*>> busy;
  const bool within_budget = within_budget_ > 0;
  for (auto& [name, lane] : lanes_) {
    const bool may_go =
        !lane.IsIdle() && lane.waiting.begin()->first.first == within_budget;
    if (may_go) busy.emplace_back(lane.counter, &lane);
  }
  std::ranges::sort(busy);
  for (auto& [counter, lane] : busy) {
    const WorkNumber work = lane->waiting.begin()->second.front();
    if (!take(work)) continue;
    PopFirst(*lane);
    last_counter_ = counter;
    return work;
  }
  return std::nullopt;
}

void FairQueue::PopFirst(Lane& lane) {
  const auto first = lane.waiting.begin();
  first->second.pop_front();
  --size_;
  within_budget_ -= first->first.first ? 1 : 0;
  if (first->second.empty()) lane.waiting.erase(first);
}

std::size_t FairQueue::WaitingOf(std::string_view workspace) const {
  const auto lane = lanes_.find(workspace);
  if (lane == lanes_.end()) return 0;
  std::size_t sum = 0;
  std::ranges::for_each(lane->second.waiting, [&sum](const auto& queue) {
    sum += queue.second.size();
  });
  return sum;
}

std::size_t FairQueue::Lane::Waiting(bool within_budget) const {
  std::size_t sum = 0;
  std::ranges::for_each(waiting, [&](const auto& queue) {
    if (queue.first.first == within_budget) sum += queue.second.size();
  });
  return sum;
}

std::size_t FairQueue::TurnsBefore(std::string_view workspace,
                                   bool within_budget) const {
  const auto own = lanes_.find(workspace);
  const std::size_t turns =
      own == lanes_.end() ? 1 : own->second.Waiting(within_budget) + 1;
  std::size_t sum = within_budget ? 0 : within_budget_;
  std::ranges::for_each(lanes_, [&](const auto& entry) {
    const std::size_t waiting = entry.second.Waiting(within_budget);
    sum += entry.first == workspace ? waiting : std::min(waiting, turns);
  });
  return sum;
}

double FairQueue::CounterOf(std::string_view workspace) const {
  const auto lane = lanes_.find(workspace);
  return lane == lanes_.end() ? 0.0 : lane->second.counter;
}

}  // namespace balsam::admission
