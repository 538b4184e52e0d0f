// Estimated and maximum waits.
#include <gtest/gtest.h>

#include "libraries/dispatch/wait_estimator.h"

namespace balsam::dispatch {
namespace {

using std::chrono::milliseconds;

// Under twice the traffic that the engines can prefill, the estimate follows
// the measured throughput, so that requests which cannot be served in time are
// recognized at once.
TEST(WaitEstimatorTest, FollowsTheThroughputOfTheLastWindow) {
  WaitEstimator estimator;
  BootTime now = BootTime{} + std::chrono::hours(1);
  EXPECT_EQ(estimator.EstimateWait(1, now), WaitEstimator::kWindow);
  for (int i = 0; i < 40; ++i, now += milliseconds(100)) {
    estimator.OnWorkDone(700, now);
  }
  // 7,000 tokens per second.
  EXPECT_NEAR(estimator.EstimateWait(14000, now).count(), 2000, 100);
  EXPECT_GT(estimator.EstimateWait(28000, now),
            MaxQueueWait(WorkKind::kGeneration, milliseconds(1800),
                         milliseconds(39000)));
  now += WaitEstimator::kWindow;
  EXPECT_EQ(estimator.EstimateWait(1, now), WaitEstimator::kWindow);
}

TEST(MaxQueueWaitTest, IsLimitedByObjectiveAndTimeLeft) {
  EXPECT_EQ(
      MaxQueueWait(WorkKind::kPlain, milliseconds(100), milliseconds(600)),
      milliseconds(100));
  EXPECT_EQ(
      MaxQueueWait(WorkKind::kPlain, milliseconds(100), milliseconds(200)),
      milliseconds(60));
  EXPECT_EQ(MaxQueueWait(WorkKind::kGeneration, milliseconds(1800),
                         milliseconds(39000)),
            milliseconds(270));
  EXPECT_EQ(MaxQueueWait(WorkKind::kGeneration, milliseconds(1800),
                         milliseconds(500)),
            milliseconds(150));
}

}  // namespace
}  // namespace balsam::dispatch
