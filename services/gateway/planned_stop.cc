// The times of a planned stop.
#include "services/gateway/planned_stop.h"

namespace balsam::gateway {
namespace {

using std::chrono::milliseconds;

// After a stop has begun, new connections may still arrive until the load
// balancer has seen two failed readiness checks, which it makes once a second.
constexpr milliseconds kBalancerDelay{2600};
// Before the process is terminated, so that the answers still reach clients.
constexpr milliseconds kFinalAnswerTime{300};

}  // namespace

PlannedStop::PlannedStop(BootTime start, milliseconds grace)
    : start_(start), deadline_(start + grace - kFinalAnswerTime) {}

bool PlannedStop::IsKnownToBalancer(BootTime now) const {
  return now - start_ >= kBalancerDelay;
}

bool PlannedStop::Accepts(const ExpectedEnd& end, BootTime now) const {
  return (IsKnownToBalancer(now) ? end.latest : end.likely) <= deadline_;
}

}  // namespace balsam::gateway
