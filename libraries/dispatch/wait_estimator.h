// Estimates how long a request will wait at a service, from the recent
// throughput and the amount of work queued ahead of it.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <utility>

#include "libraries/base/boot_clock.h"

namespace balsam::dispatch {

class WaitEstimator {
 public:
  // Length of the sliding window over which throughput is measured.
  static constexpr std::chrono::milliseconds kWindow{4000};

  // `work`: prompt tokens that were prefilled, or requests to plain services;
  // above zero.
  void OnWorkDone(std::int64_t work, BootTime now);
  // How long `work` takes at the throughput of the last window; `kWindow` if
  // nothing was completed in it.
  std::chrono::milliseconds EstimateWait(std::int64_t work, BootTime now);

 private:
  void RemoveExpired(BootTime now);

  std::deque<std::pair<BootTime, std::int64_t>> completed_;
  std::int64_t total_work_ = 0;
};

enum class WorkKind { kPlain, kGeneration };

// How long a request with this latency objective and time until its deadline
// may wait for capacity. A request that would wait longer is refused at once
// with a Retry-After.
std::chrono::milliseconds MaxQueueWait(WorkKind kind,
                                       std::chrono::milliseconds objective,
                                       std::chrono::milliseconds time_left);

}  // namespace balsam::dispatch
