// The times of a planned stop.
#include "services/gateway/planned_stop.h"

#include <algorithm>

namespace balsam::gateway {
namespace {

using std::chrono::milliseconds;

// The load balancer makes a readiness check once a second and has noticed a
// stop after two that failed.
constexpr milliseconds kBalancerNoticeTime{2100};
// New connections that were forwarded before may arrive until then.
constexpr milliseconds kBalancerDelay{2600};
// Retry delay if the retry reaches another gateway.
constexpr milliseconds kShortRetry{100};
// Before the process is terminated, so that the answers still reach clients.
constexpr milliseconds kFinalAnswerTime{300};
// From the termination of a process until the load balancer has noticed that it
// is back.
constexpr milliseconds kRestartTime{1500};
// Range over which clients that wait for the restart are spread.
constexpr milliseconds kReturnSpread{1000};

}  // namespace

PlannedStop::PlannedStop(BootTime start, milliseconds grace)
    : start_(start), deadline_(start + grace - kFinalAnswerTime) {}

bool PlannedStop::IsKnownToBalancer(BootTime now) const {
  return now - start_ >= kBalancerDelay;
}

milliseconds PlannedStop::RetryAfter(bool reaches_another, milliseconds longest,
                                     double jitter, BootTime now) const {
  // The balancer still forwards clients here although it has noticed the stop:
  // most gateways of the data centre are stopping, and a client that returns at
  // once likely meets another one of them.
  if (IsKnownToBalancer(now)) {
    const auto until_restart =
        std::chrono::ceil<milliseconds>(deadline_ + kFinalAnswerTime - now) +
        kRestartTime +
        std::chrono::duration_cast<milliseconds>(kReturnSpread * jitter);
    return until_restart <= longest ? until_restart : kShortRetry;
  }
  if (reaches_another) return kShortRetry;
  const auto until_noticed = start_ + kBalancerNoticeTime - now;
  return std::max(kShortRetry, std::chrono::ceil<milliseconds>(until_noticed));
}

bool PlannedStop::Accepts(const ExpectedEnd& end, BootTime now) const {
  return (IsKnownToBalancer(now) ? end.latest : end.likely) <= deadline_;
}

}  // namespace balsam::gateway
