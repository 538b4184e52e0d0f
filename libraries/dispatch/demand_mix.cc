// The sliding window of requests, and how much memory is left to the urgent.
#include "libraries/dispatch/demand_mix.h"

#include <numeric>

namespace balsam::dispatch {
namespace {

// A request can wait for another if its objective is this many times as long:
// after a wait that makes the other late it has half of its own left.
constexpr int kObjectiveRatio = 2;
// Memory that is left free while urgent requests arrive: room for two ordinary
// prompts of some thousand tokens, since two gateways often choose an engine at
// the same moment.
constexpr double kMemoryLeftFree = 0.2;
// Urgent requests below this share of all are too rare to keep memory for.
constexpr double kMinUrgentShare = 0.05;

}  // namespace

bool Urgency::YieldsTo(const Urgency& other) const {
  // Without an objective nothing is late.
  return priority >= other.priority &&
         other.latency_objective > std::chrono::milliseconds(0) &&
         latency_objective >= kObjectiveRatio * other.latency_objective;
}

void DemandMix::RemoveExpired(BootTime now) {
  while (!arrivals_.empty() && now - arrivals_.front().at > kWindow) {
    const auto count = counts_.find(arrivals_.front().urgency);
    if (--count->second == 0) counts_.erase(count);
    arrivals_.pop_front();
  }
}

void DemandMix::OnArrival(const Urgency& urgency, BootTime now) {
  RemoveExpired(now);
  arrivals_.push_back({now, urgency});
  ++counts_[urgency];
}

double DemandMix::MemoryLeftFree(const Urgency& urgency, BootTime now) {
  RemoveExpired(now);
  const auto urgent = std::accumulate(
      counts_.begin(), counts_.end(), std::size_t{0},
      [&](std::size_t sum, const auto& item) {
        return urgency.YieldsTo(item.first) ? sum + item.second : sum;
      });
  const auto needed = kMinUrgentShare * static_cast<double>(arrivals_.size());
  return urgent > 0 && static_cast<double>(urgent) >= needed ? kMemoryLeftFree
                                                             : 0.0;
}

}  // namespace balsam::dispatch
