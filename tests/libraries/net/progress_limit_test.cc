// How long a transfer may take, by what has arrived of it.
#include "libraries/net/progress_limit.h"

#include <gtest/gtest.h>

namespace balsam::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ProgressLimitTest : public testing::Test {
 protected:
  // Receives `bytes` each `interval` until `total` have arrived. Returns
  // whether the limit allowed that.
  bool Receive(std::size_t bytes, milliseconds interval, std::size_t total) {
    for (std::size_t received = 0; received < total; received += bytes) {
      limit_.OnBytes(bytes, now_);
      if (limit_.TimeLeft(now_) < interval) return false;
      now_ += interval;
    }
    return true;
  }

  BootTime now_ = BootTime{} + std::chrono::hours(1);
  ProgressLimit limit_{{seconds(1), 32 << 10}};
};

// Guards against a fixed limit on long transfers (review/10): a megabyte at a
// megabit a second takes eight seconds.
TEST_F(ProgressLimitTest, AllowsLongTransferOnSlowLink) {
  EXPECT_TRUE(Receive(12'500, milliseconds(100), 1'000'000));
}

TEST_F(ProgressLimitTest, EndsSilence) {
  limit_.OnBytes(1'000'000, now_);
  EXPECT_EQ(limit_.TimeLeft(now_), seconds(1));
  EXPECT_EQ(limit_.TimeLeft(now_ + milliseconds(999)), milliseconds(1));
  EXPECT_EQ(limit_.TimeLeft(now_ + milliseconds(1001)), milliseconds(0));
}

// Guards against a sender that is never silent and never done.
TEST_F(ProgressLimitTest, EndsTrickle) {
  EXPECT_FALSE(Receive(100, milliseconds(100), 1'000'000));
  // Within what the few bytes have earned.
  EXPECT_LT(now_ - (BootTime{} + std::chrono::hours(1)), seconds(2));
}

}  // namespace
}  // namespace balsam::net
