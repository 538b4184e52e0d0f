// Bounds on the forecast, and the spread over it.
#include "libraries/dispatch/return_time.h"

#include <algorithm>

namespace balsam::dispatch {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Clients come back after a refusal within this share of the time they have
// (platform: a third).
constexpr double kShareOfTimeLeft = 0.3;
// Those that are refused together come back over this many times the wait.
constexpr double kSpread = 1.5;
// Who came back sooner would mostly find what it found before.
constexpr milliseconds kShortest{50};
// Who comes back after this share of its objective, and begins at once then, is
// still on time: reading a prompt beside others takes up to half of it.
constexpr double kOnTimeShare = 0.25;

}  // namespace

milliseconds TimeToReturn(milliseconds expected, milliseconds objective,
                          milliseconds time_left, double spread) {
  milliseconds wait = expected;
  if (expected <= objective) {
    wait = std::min(expected,
                    duration_cast<milliseconds>(objective * kOnTimeShare));
  }
  wait = std::max(wait, kShortest);
  const double times = 1.0 + spread * (kSpread - 1.0);
  return std::min(duration_cast<milliseconds>(wait * times),
                  duration_cast<milliseconds>(time_left * kShareOfTimeLeft));
}

}  // namespace balsam::dispatch
