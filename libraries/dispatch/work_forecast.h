// Forecasts how long a request waits at a service, from how much work was done
// lately and how much waits ahead of it.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <utility>

#include "libraries/base/boot_clock.h"

namespace balsam::dispatch {

class WorkForecast {
 public:
  // Work done within this time tells the rate.
  static constexpr std::chrono::milliseconds kWindow{4000};

  // `work`: prompt tokens that were read, or requests of plain services; above
  // zero.
  void OnDone(std::int64_t work, BootTime now);
  // How long until `work` is done, at the rate of the last window; the window's
  // length if nothing was done in it.
  std::chrono::milliseconds TimeUntil(std::int64_t work, BootTime now);

 private:
  void DropOld(BootTime now);

  std::deque<std::pair<BootTime, std::int64_t>> done_;
  std::int64_t total_ = 0;
};

enum class WorkKind { kPlain, kGeneration };

// How long a request with this objective and time left may wait for room. Who
// would wait longer is told at once when to come back.
std::chrono::milliseconds LongestWait(WorkKind kind,
                                      std::chrono::milliseconds objective,
                                      std::chrono::milliseconds time_left);

}  // namespace balsam::dispatch
