// Bounds and jitter for the estimated wait.
#include "libraries/dispatch/retry_after_delay.h"

#include <algorithm>

namespace balsam::dispatch {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Maximum delay as a share of the time until the deadline. It is below a third,
// the share within which clients of the platform retry.
constexpr double kMaxShareOfTimeLeft = 0.3;
// Upper end of the random factor, from 1, by which the delay is multiplied.
constexpr double kMaxJitterFactor = 1.5;
// A retry after less than this would mostly be refused again.
constexpr milliseconds kMinDelay{50};
// A client that retries after this share of its objective and is started at
// once is still on time: a prefill beside other work takes up to half of the
// objective.
constexpr double kMaxShareOfObjective = 0.25;

}  // namespace

milliseconds RetryAfterDelay(milliseconds expected_wait, milliseconds objective,
                             milliseconds time_left, double jitter) {
  milliseconds delay = expected_wait;
  if (expected_wait <= objective) {
    delay =
        std::min(expected_wait,
                 duration_cast<milliseconds>(objective * kMaxShareOfObjective));
  }
  delay = std::max(delay, kMinDelay);
  const double jitter_factor = 1.0 + jitter * (kMaxJitterFactor - 1.0);
  return std::min(duration_cast<milliseconds>(delay * jitter_factor),
                  MaxRetryAfter(time_left));
}

milliseconds MaxRetryAfter(milliseconds time_left) {
  return duration_cast<milliseconds>(time_left * kMaxShareOfTimeLeft);
}

}  // namespace balsam::dispatch
