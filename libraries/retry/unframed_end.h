// Decides what an orderly close says about a response that has neither a length
// nor chunks. A server closes the connection in the same way when the response
// is whole and when something stopped its run, so only the circumstances tell
// them apart. Pure, so that each case can be tested as a table row.
#pragma once

#include <chrono>
#include <optional>

namespace balsam::retry {

// Whether the server was asked to stop the run by a call.
enum class StopRequest {
  // It was not, or it said that it did not stop the run.
  kNone,
  // It has not answered yet.
  kPending,
  // It stopped the run, or its answer does not tell.
  kMayHaveStopped,
};

// What is known when such a response ends.
struct UnframedResponse {
  // The response is a stream that has brought no event yet.
  bool is_empty_stream = false;
  StopRequest stop_request = StopRequest::kNone;
  // How long the server was allowed to work on the request, from when it was
  // sent; unset if it was given no deadline.
  std::optional<std::chrono::nanoseconds> time_limit;
  // From when the request was sent to the end of the response.
  std::chrono::nanoseconds took{0};
};

enum class UnframedEnd {
  // Nothing could have stopped the run.
  kWhole,
  // The run may have been stopped, on request or at its deadline.
  kStopped,
  // No run ends like this.
  kBroken,
  // The answer to the call that was to stop the run will tell.
  kUndecided,
};

// Returns the earliest time after a request was sent at which a server may see
// that `time_limit` is over: clocks run at slightly different rates, and timers
// are rounded.
std::chrono::nanoseconds EarliestDeadline(std::chrono::nanoseconds time_limit);

UnframedEnd JudgeUnframedEnd(const UnframedResponse& response);

}  // namespace balsam::retry
