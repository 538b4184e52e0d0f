// The Retry-After delay of refused requests.
#pragma once

#include <chrono>

namespace balsam::dispatch {

// `expected_wait`: the estimated time until there is capacity. `objective`: the
// latency objective, counted from the client's first attempt. `time_left`: the
// time until its deadline. `jitter`: a number from 0 to 1 that spreads the
// retries of requests refused at the same time. If the client can still
// be on time, the delay is short enough for that, because capacity may be freed
// at any moment and a late response is worth little; otherwise it is the
// estimate.
std::chrono::milliseconds RetryAfterDelay(
    std::chrono::milliseconds expected_wait,
    std::chrono::milliseconds objective, std::chrono::milliseconds time_left,
    double jitter);

// The longest Retry-After that a client with this much time left honours.
std::chrono::milliseconds MaxRetryAfter(std::chrono::milliseconds time_left);

}  // namespace balsam::dispatch
