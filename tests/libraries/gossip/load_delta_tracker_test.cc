// Tests which load deltas are sent to each peer.
#include "libraries/gossip/load_delta_tracker.h"

#include <gtest/gtest.h>

namespace balsam::gossip {
namespace {

using dispatch::Usage;
using Load = std::map<std::uint32_t, Usage>;
using std::chrono::milliseconds;

constexpr Usage kPrefillPending{1, 3000, 2500};
constexpr Usage kPrefillDone{1, 3000, 0};

class LoadDeltaTrackerTest : public testing::Test {
 protected:
  // Sends `peer` its delta, and returns it.
  LoadDeltaTracker::Delta Send(const std::string& peer) {
    LoadDeltaTracker::Delta delta = tracker_.DeltaFor(peer, now_);
    EXPECT_EQ(tracker_.HasDeltaFor(peer, now_), !delta.empty());
    if (!delta.empty()) tracker_.OnSent(peer, now_);
    return delta;
  }

  BootTime now_ = BootTime{} + std::chrono::hours(1);
  LoadDeltaTracker tracker_;
};

TEST_F(LoadDeltaTrackerTest, NewPeerGetsFullLoadThenDeltas) {
  tracker_.Update({{1, kPrefillPending}, {2, kPrefillPending}});
  const LoadDeltaTracker::Delta first = Send("a");
  EXPECT_TRUE(first.is_full);
  EXPECT_EQ(first.load.size(), 2U);
  EXPECT_TRUE(Send("a").empty());
  tracker_.Update({{1, kPrefillDone}, {2, kPrefillPending}});
  const LoadDeltaTracker::Delta delta = Send("a");
  EXPECT_FALSE(delta.is_full);
  EXPECT_EQ(delta.load, (Load{{1, kPrefillDone}}));
  EXPECT_TRUE(Send("a").empty());
}

TEST_F(LoadDeltaTrackerTest, TracksDeltasPerPeer) {
  Send("a");
  Send("b");
  tracker_.Update({{1, kPrefillPending}});
  EXPECT_EQ(Send("a").load.size(), 1U);
  tracker_.Update({{1, kPrefillPending}, {2, kPrefillPending}});
  EXPECT_EQ(Send("a").load.size(), 1U);
  EXPECT_EQ(Send("b").load.size(), 2U);
}

TEST_F(LoadDeltaTrackerTest, SendsZeroToAllPeersWhenServerHasNoLoad) {
  tracker_.Update({{1, kPrefillPending}});
  Send("a");
  Send("b");
  tracker_.Update({});
  EXPECT_EQ(Send("a").load, (Load{{1, {}}}));
  EXPECT_EQ(Send("b").load, (Load{{1, {}}}));
  EXPECT_TRUE(Send("a").empty());
}

TEST_F(LoadDeltaTrackerTest, SendsLoadOfServerThatIsUsedAgain) {
  tracker_.Update({{1, kPrefillPending}});
  Send("a");
  tracker_.Update({});
  Send("a");
  tracker_.Update({{1, kPrefillPending}});
  EXPECT_EQ(Send("a").load, (Load{{1, kPrefillPending}}));
}

// Compensates for lost datagrams.
TEST_F(LoadDeltaTrackerTest, ResendsFullLoadAfterRefreshInterval) {
  tracker_.Update({{1, kPrefillPending}});
  Send("a");
  now_ += LoadDeltaTracker::kRefreshInterval - milliseconds(1);
  EXPECT_TRUE(Send("a").empty());
  now_ += milliseconds(1);
  const LoadDeltaTracker::Delta again = Send("a");
  EXPECT_TRUE(again.is_full);
  EXPECT_EQ(again.load.size(), 1U);
  EXPECT_TRUE(Send("a").empty());
}

TEST_F(LoadDeltaTrackerTest, ForgottenPeerGetsFullLoad) {
  tracker_.Update({{1, kPrefillPending}});
  Send("a");
  tracker_.Forget("a");
  EXPECT_TRUE(Send("a").is_full);
}

TEST_F(LoadDeltaTrackerTest, RoundsNumberOfPlainRequests) {
  Send("a");
  tracker_.Update({{1, {1, 0, 0}}});
  EXPECT_TRUE(Send("a").empty());
  tracker_.Update({{1, {3, 0, 0}}});
  EXPECT_EQ(Send("a").load, (Load{{1, {2, 0, 0}}}));
  tracker_.Update({{1, {2, 0, 0}}});
  EXPECT_TRUE(Send("a").empty());
}

}  // namespace
}  // namespace balsam::gossip
