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
                     WorkNumber work) {
  Lane& lane = lanes_[workspace];
  if (lane.IsIdle()) {
    lane.counter = std::max(lane.counter, LeastBusyCounter());
  }
  lane.weight = weight;
  lane.waiting[priority].push_back(work);
  ++size_;
}

bool FairQueue::Remove(const std::string& workspace, WorkNumber work) {
  const auto lane = lanes_.find(workspace);
  if (lane == lanes_.end()) return false;
  for (auto& [priority, queue] : lane->second.waiting) {
    if (std::erase(queue, work) == 0) continue;
    if (queue.empty()) lane->second.waiting.erase(priority);
    --size_;
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
  for (auto& [name, lane] : lanes_) {
    if (!lane.IsIdle()) busy.emplace_back(lane.counter, &lane);
  }
  std::ranges::sort(busy);
  for (auto& [counter, lane] : busy) {
    auto& [priority, queue] = *lane->waiting.begin();
    const WorkNumber work = queue.front();
    if (!take(work)) continue;
    queue.pop_front();
    if (queue.empty()) lane->waiting.erase(lane->waiting.begin());
    --size_;
    last_counter_ = counter;
    return work;
  }
  return std::nullopt;
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

double FairQueue::CounterOf(std::string_view workspace) const {
  const auto lane = lanes_.find(workspace);
  return lane == lanes_.end() ? 0.0 : lane->second.counter;
}

}  // namespace balsam::admission
