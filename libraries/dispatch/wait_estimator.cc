// Throughput over a sliding window.
#include "libraries/dispatch/wait_estimator.h"

#include <algorithm>

namespace balsam::dispatch {
namespace {

using std::chrono::milliseconds;

// Maximum wait of plain requests, as a multiple of the latency objective. They
// complete within milliseconds once there is capacity, so they may wait for the
// whole objective.
constexpr double kPlainWaitObjectives = 1.0;
// Maximum wait of generations, as a multiple of the latency objective. Queued
// requests take all capacity as it is freed, so long queues at many gateways
// leave none for generations that must migrate, and most requests that leave
// the queues start late. This wait still covers the time until the next few
// generations of a fleet end.
constexpr double kGenerationWaitObjectives = 0.15;
// Maximum wait as a share of the time until the deadline.
constexpr double kMaxShareOfTimeLeft = 0.3;

}  // namespace

void WaitEstimator::RemoveExpired(BootTime now) {
  while (!completed_.empty() && now - completed_.front().first > kWindow) {
    total_work_ -= completed_.front().second;
    completed_.pop_front();
  }
}

void WaitEstimator::OnWorkDone(std::int64_t work, BootTime now) {
  RemoveExpired(now);
  completed_.emplace_back(now, work);
  total_work_ += work;
}

milliseconds WaitEstimator::EstimateWait(std::int64_t work, BootTime now) {
  RemoveExpired(now);
  if (total_work_ <= 0) return kWindow;
  const double windows =
      static_cast<double>(work) / static_cast<double>(total_work_);
  return std::chrono::duration_cast<milliseconds>(kWindow * windows);
}

milliseconds MaxQueueWait(WorkKind kind, milliseconds objective,
                          milliseconds time_left) {
  const double max_objectives = kind == WorkKind::kGeneration
                                    ? kGenerationWaitObjectives
                                    : kPlainWaitObjectives;
  return std::chrono::duration_cast<milliseconds>(
      std::min(objective * max_objectives, time_left * kMaxShareOfTimeLeft));
}

}  // namespace balsam::dispatch
