// What a stopping gateway accepts, and when, without network.
#include <gtest/gtest.h>

#include "services/gateway/planned_stop.h"

namespace balsam::gateway {
namespace {

using std::chrono::milliseconds;

const BootTime kStart{std::chrono::hours(1)};
constexpr milliseconds kGrace{8000};
// How long a client of a long generation would wait.
constexpr milliseconds kPatience{13000};

PlannedStop::ExpectedEnd EndsIn(BootTime now, milliseconds likely,
                                milliseconds latest) {
  return {now + likely, now + latest};
}

TEST(PlannedStopTimesTest, AcceptsWhatWillLikelyEndWhileClientsStillArrive) {
  const PlannedStop stop(kStart, kGrace);
  const BootTime now = kStart + milliseconds(1000);
  EXPECT_TRUE(
      stop.Accepts(EndsIn(now, milliseconds(5000), milliseconds(30000)), now));
  EXPECT_FALSE(
      stop.Accepts(EndsIn(now, milliseconds(7000), milliseconds(30000)), now));
}

// Guards against streams that are accepted late in the grace period and cut at
// its end, because they became longer than expected (all gateways stopped
// within four seconds, seed 1).
TEST(PlannedStopTimesTest, LaterAcceptsOnlyWhatIsSureToEnd) {
  const PlannedStop stop(kStart, kGrace);
  const BootTime now = kStart + milliseconds(5200);
  EXPECT_FALSE(
      stop.Accepts(EndsIn(now, milliseconds(2000), milliseconds(9000)), now));
  EXPECT_TRUE(
      stop.Accepts(EndsIn(now, milliseconds(1000), milliseconds(2000)), now));
}

// Guards against clients that are refused twice by the only gateway of their
// data centre, because the load balancer has not noticed its stop yet.
TEST(PlannedStopTimesTest, ClientsReturnOnceTheyReachAnotherGateway) {
  const PlannedStop stop(kStart, kGrace);
  constexpr milliseconds kCheckInterval{1000};
  for (const milliseconds since : {milliseconds(0), milliseconds(700)}) {
    const BootTime now = kStart + since;
    EXPECT_GT(now + stop.RetryAfter(false, kPatience, 0.0, now),
              kStart + 2 * kCheckInterval);
    EXPECT_LE(stop.RetryAfter(true, kPatience, 0.0, now), milliseconds(100));
  }
}

// Guards against clients that are refused for good, because the load balancer
// sends their only retry to another of the gateways that are stopping.
TEST(PlannedStopTimesTest, LateClientsReturnOnceGatewaysHaveRestarted) {
  const PlannedStop stop(kStart, kGrace);
  const BootTime late = kStart + milliseconds(5000);
  for (const bool reaches_another : {false, true}) {
    EXPECT_GT(late + stop.RetryAfter(reaches_another, kPatience, 0.0, late),
              kStart + kGrace);
    EXPECT_GT(stop.RetryAfter(reaches_another, kPatience, 1.0, late),
              stop.RetryAfter(reaches_another, kPatience, 0.0, late));
    // A client that cannot wait so long tries at once.
    EXPECT_LE(stop.RetryAfter(reaches_another, milliseconds(2000), 0.0, late),
              milliseconds(100));
  }
}

TEST(PlannedStopTimesTest, AnswersBeforeTheProcessIsTerminated) {
  const PlannedStop stop(kStart, kGrace);
  EXPECT_LT(stop.deadline(), kStart + kGrace);
  EXPECT_GT(stop.deadline(), kStart + kGrace - milliseconds(1000));
}

}  // namespace
}  // namespace balsam::gateway
