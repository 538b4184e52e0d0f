// Which ends of a response without a length or chunks are taken for whole.
#include "libraries/retry/unframed_end.h"

#include <gtest/gtest.h>

namespace balsam::retry {
namespace {

using std::chrono::milliseconds;

UnframedResponse EndingAfter(milliseconds took) {
  UnframedResponse response;
  response.time_limit = milliseconds(3000);
  response.took = took;
  return response;
}

// Guards against a truncated response that looks complete: an engine stopped
// the run at its deadline and closed the connection in an orderly way.
TEST(UnframedEndTest, RunMayHaveBeenStoppedAtItsDeadline) {
  EXPECT_EQ(JudgeUnframedEnd(EndingAfter(milliseconds(3000))),
            UnframedEnd::kStopped);
  EXPECT_EQ(JudgeUnframedEnd(EndingAfter(milliseconds(3010))),
            UnframedEnd::kStopped);
}

// The engine's clock may be fast, and its timer may be rounded down.
TEST(UnframedEndTest, DeadlineMayComeEarlyByItsClock) {
  EXPECT_EQ(JudgeUnframedEnd(EndingAfter(milliseconds(2999))),
            UnframedEnd::kStopped);
  EXPECT_EQ(EarliestDeadline(milliseconds(40'000)), milliseconds(39'955));
}

TEST(UnframedEndTest, ResponseShortlyBeforeItsDeadlineIsWhole) {
  EXPECT_EQ(JudgeUnframedEnd(EndingAfter(milliseconds(2990))),
            UnframedEnd::kWhole);
}

TEST(UnframedEndTest, ResponseWithoutDeadlineIsWhole) {
  UnframedResponse response = EndingAfter(milliseconds(3000));
  response.time_limit.reset();
  EXPECT_EQ(JudgeUnframedEnd(response), UnframedEnd::kWhole);
}

TEST(UnframedEndTest, RequestedStopEndsResponseAtAnyTime) {
  UnframedResponse response = EndingAfter(milliseconds(10));
  response.stop_request = StopRequest::kMayHaveStopped;
  EXPECT_EQ(JudgeUnframedEnd(response), UnframedEnd::kStopped);
}

// Guards against a truncated response that looks complete: the run was asked to
// stop when the end of its response was already under way, or caused it.
TEST(UnframedEndTest, EndIsUndecidedUntilStopCallIsAnswered) {
  UnframedResponse response = EndingAfter(milliseconds(10));
  response.stop_request = StopRequest::kPending;
  EXPECT_EQ(JudgeUnframedEnd(response), UnframedEnd::kUndecided);
  response.took = *response.time_limit;
  EXPECT_EQ(JudgeUnframedEnd(response), UnframedEnd::kStopped);
}

TEST(UnframedEndTest, EmptyStreamIsBroken) {
  UnframedResponse response = EndingAfter(milliseconds(10));
  response.is_empty_stream = true;
  EXPECT_EQ(JudgeUnframedEnd(response), UnframedEnd::kBroken);
}

}  // namespace
}  // namespace balsam::retry
