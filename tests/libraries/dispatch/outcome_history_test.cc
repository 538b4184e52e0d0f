// Failure rate and health of a server by its recent outcomes.
#include "libraries/dispatch/outcome_history.h"

#include <gtest/gtest.h>

namespace balsam::dispatch {
namespace {

class OutcomeHistoryTest : public testing::Test {
 protected:
  void Add(AttemptResult result, int times) {
    for (int i = 0; i < times; ++i) history_.Add(result, now_);
  }

  BootTime now_ = BootTime{} + std::chrono::hours(1);
  OutcomeHistory history_;
};

TEST_F(OutcomeHistoryTest, EmptyHistoryHasNoFailures) {
  EXPECT_EQ(history_.FailureRate(0, now_), 0.0);
  EXPECT_FALSE(history_.IsUnhealthy(0, now_));
  EXPECT_TRUE(history_.HasDecayed(now_));
}

TEST_F(OutcomeHistoryTest, FailureRateIsRelativeToSuccesses) {
  Add(AttemptResult::kFailed, 4);
  const double without_successes = history_.FailureRate(0, now_);
  Add(AttemptResult::kSucceeded, 4);
  EXPECT_LT(history_.FailureRate(0, now_), without_successes);
  EXPECT_GT(history_.FailureRate(4, now_), history_.FailureRate(0, now_));
}

TEST_F(OutcomeHistoryTest, ServerWithMoreFailuresThanSuccessesIsUnhealthy) {
  Add(AttemptResult::kFailed, 2);
  EXPECT_FALSE(history_.IsUnhealthy(0, now_));
  EXPECT_TRUE(history_.IsUnhealthy(1, now_));
  Add(AttemptResult::kFailed, 1);
  EXPECT_TRUE(history_.IsUnhealthy(0, now_));
  Add(AttemptResult::kSucceeded, 3);
  EXPECT_FALSE(history_.IsUnhealthy(0, now_));
}

TEST_F(OutcomeHistoryTest, SlowOrUnreachableServerIsNotUnhealthy) {
  Add(AttemptResult::kSlow, 9);
  Add(AttemptResult::kUnreachable, 9);
  EXPECT_GT(history_.FailureRate(0, now_), 0.5);
  EXPECT_FALSE(history_.IsUnhealthy(0, now_));
  EXPECT_EQ(history_.ReportedFailures(now_), 0);
}

TEST_F(OutcomeHistoryTest, RefusalIsNotAFailure) {
  Add(AttemptResult::kRefused, 9);
  EXPECT_EQ(history_.FailureRate(0, now_), 0.0);
}

TEST_F(OutcomeHistoryTest, InconclusiveResultIsIgnored) {
  Add(AttemptResult::kFailed, 3);
  const double before = history_.FailureRate(0, now_);
  Add(AttemptResult::kInconclusive, 9);
  EXPECT_EQ(history_.FailureRate(0, now_), before);
  EXPECT_TRUE(history_.IsUnhealthy(0, now_));
}

TEST_F(OutcomeHistoryTest, FailuresDecay) {
  Add(AttemptResult::kFailed, 4);
  EXPECT_EQ(history_.ReportedFailures(now_),
            OutcomeHistory::kMaxReportedFailures);
  now_ += OutcomeHistory::kHalfLife;
  EXPECT_FALSE(history_.IsUnhealthy(0, now_));
  EXPECT_FALSE(history_.HasDecayed(now_));
  now_ += 2 * OutcomeHistory::kHalfLife;
  EXPECT_EQ(history_.ReportedFailures(now_), 1);
  now_ += 10 * OutcomeHistory::kHalfLife;
  EXPECT_EQ(history_.ReportedFailures(now_), 0);
  EXPECT_TRUE(history_.HasDecayed(now_));
}

}  // namespace
}  // namespace balsam::dispatch
