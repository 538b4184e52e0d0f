// What recent outcomes say of a server.
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

TEST_F(OutcomeHistoryTest, NothingKnownIsNoFailure) {
  EXPECT_EQ(history_.FailureShare(0, now_), 0.0);
  EXPECT_FALSE(history_.IsBroken(0, now_));
  EXPECT_TRUE(history_.IsForgotten(now_));
}

TEST_F(OutcomeHistoryTest, FailuresWeighAgainstWhatWasServed) {
  Add(AttemptResult::kFailed, 4);
  const double alone = history_.FailureShare(0, now_);
  Add(AttemptResult::kServed, 4);
  EXPECT_LT(history_.FailureShare(0, now_), alone);
  EXPECT_GT(history_.FailureShare(4, now_), history_.FailureShare(0, now_));
}

TEST_F(OutcomeHistoryTest, AServerIsBrokenByMoreFailuresThanItServed) {
  Add(AttemptResult::kFailed, 2);
  EXPECT_FALSE(history_.IsBroken(0, now_));
  EXPECT_TRUE(history_.IsBroken(1, now_));
  Add(AttemptResult::kFailed, 1);
  EXPECT_TRUE(history_.IsBroken(0, now_));
  Add(AttemptResult::kServed, 3);
  EXPECT_FALSE(history_.IsBroken(0, now_));
}

TEST_F(OutcomeHistoryTest, SlownessAndSilenceDoNotBreakIt) {
  Add(AttemptResult::kSlow, 9);
  Add(AttemptResult::kUnreachable, 9);
  EXPECT_GT(history_.FailureShare(0, now_), 0.5);
  EXPECT_FALSE(history_.IsBroken(0, now_));
  EXPECT_EQ(history_.ToldFailures(now_), 0);
}

TEST_F(OutcomeHistoryTest, ARefusalIsNoFailure) {
  Add(AttemptResult::kRefused, 9);
  EXPECT_EQ(history_.FailureShare(0, now_), 0.0);
}

TEST_F(OutcomeHistoryTest, NoVerdictChangesNothing) {
  Add(AttemptResult::kFailed, 3);
  const double before = history_.FailureShare(0, now_);
  Add(AttemptResult::kNoVerdict, 9);
  EXPECT_EQ(history_.FailureShare(0, now_), before);
  EXPECT_TRUE(history_.IsBroken(0, now_));
}

TEST_F(OutcomeHistoryTest, FailuresFade) {
  Add(AttemptResult::kFailed, 4);
  EXPECT_EQ(history_.ToldFailures(now_), OutcomeHistory::kMaxToldFailures);
  now_ += OutcomeHistory::kHalfLife;
  EXPECT_FALSE(history_.IsBroken(0, now_));
  EXPECT_FALSE(history_.IsForgotten(now_));
  now_ += 2 * OutcomeHistory::kHalfLife;
  EXPECT_EQ(history_.ToldFailures(now_), 1);
  now_ += 10 * OutcomeHistory::kHalfLife;
  EXPECT_EQ(history_.ToldFailures(now_), 0);
  EXPECT_TRUE(history_.IsForgotten(now_));
}

}  // namespace
}  // namespace balsam::dispatch
