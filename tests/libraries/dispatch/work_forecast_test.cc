// How long a request waits, by the measured rate.
#include "libraries/dispatch/work_forecast.h"

#include <gtest/gtest.h>

namespace balsam::dispatch {
namespace {

using std::chrono::milliseconds;

// The pattern: twice the traffic of what the engines read. The forecast follows
// the measured rate, so that what cannot be served in time is known at once.
TEST(WorkForecastTest, FollowsTheRateOfTheLastSeconds) {
  WorkForecast forecast;
  BootTime now = BootTime{} + std::chrono::hours(1);
  EXPECT_EQ(forecast.TimeUntil(1, now), WorkForecast::kWindow);
  for (int i = 0; i < 40; ++i, now += milliseconds(100)) {
    forecast.OnDone(700, now);
  }
  // 7,000 tokens a second.
  EXPECT_NEAR(forecast.TimeUntil(14000, now).count(), 2000, 100);
  EXPECT_GT(forecast.TimeUntil(28000, now),
            LongestWait(WorkKind::kGeneration, milliseconds(1800),
                        milliseconds(39000)));
  now += WorkForecast::kWindow;
  EXPECT_EQ(forecast.TimeUntil(1, now), WorkForecast::kWindow);
}

TEST(LongestWaitTest, KeepsTimeForTheWorkItself) {
  EXPECT_EQ(LongestWait(WorkKind::kPlain, milliseconds(100), milliseconds(600)),
            milliseconds(100));
  EXPECT_EQ(LongestWait(WorkKind::kPlain, milliseconds(100), milliseconds(200)),
            milliseconds(60));
  EXPECT_EQ(LongestWait(WorkKind::kGeneration, milliseconds(1800),
                        milliseconds(39000)),
            milliseconds(270));
  EXPECT_EQ(
      LongestWait(WorkKind::kGeneration, milliseconds(1800), milliseconds(500)),
      milliseconds(150));
}

}  // namespace
}  // namespace balsam::dispatch
