// The circumstances under which a run may have been stopped.
#include "libraries/retry/unframed_end.h"

namespace balsam::retry {
namespace {

// Rounding of deadlines and timers, on both sides together.
constexpr std::chrono::milliseconds kMaxRounding{5};
// NTP adjusts the rate of a clock by at most one part in 2,000; this is twice
// that, for two clocks.
constexpr int kMaxRateDifferenceDivisor = 1000;

}  // namespace

std::chrono::nanoseconds EarliestDeadline(std::chrono::nanoseconds time_limit) {
  return time_limit - time_limit / kMaxRateDifferenceDivisor - kMaxRounding;
}

UnframedEnd JudgeUnframedEnd(const UnframedResponse& response) {
  const bool deadline_passed =
      response.time_limit.has_value() &&
      response.took >= EarliestDeadline(*response.time_limit);
  if (response.stop_request == StopRequest::kMayHaveStopped ||
      deadline_passed) {
    return UnframedEnd::kStopped;
  }
  if (response.stop_request == StopRequest::kPending) {
    return UnframedEnd::kUndecided;
  }
  return response.is_empty_stream ? UnframedEnd::kBroken : UnframedEnd::kWhole;
}

}  // namespace balsam::retry
