// How long a client whose request is refused is told to wait before it retries.
#pragma once

#include <chrono>

namespace balsam::dispatch {

// `expected_wait`: the estimated time until there is capacity. `objective`: the
// latency objective, counted from the client's first attempt. `time_left`: the
// time until its deadline. `jitter`: a number from 0 to 1 that spreads the
// retries of requests refused at the same time. A client that can still be on
// time is told to retry early enough for that, because capacity may be freed at
// any moment and a late response is worth little; other clients are told the
// estimate.
std::chrono::milliseconds RetryAfterDelay(
    std::chrono::milliseconds expected_wait,
    std::chrono::milliseconds objective, std::chrono::milliseconds time_left,
    double jitter);

}  // namespace balsam::dispatch
