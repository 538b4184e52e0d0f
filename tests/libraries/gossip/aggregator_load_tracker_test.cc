// Tests what aggregators are sent of an entry's own load, and how aggregators
// are assigned to servers.
#include "libraries/gossip/aggregator_load_tracker.h"

#include <gtest/gtest.h>

#include "libraries/membership/aggregator_assignment.h"

namespace balsam::gossip {
namespace {

using dispatch::Usage;
using Load = dispatch::UsageByServer;
using std::chrono::milliseconds;

constexpr Usage kGenerationUsage{1, 3000, 2500};

class AggregatorLoadTrackerTest : public testing::Test {
 protected:
  std::map<std::string, Load> TakeUpdates(const Load& load) {
    return tracker_.TakeUpdates(
        load,
        [this](std::uint32_t server) {
          return std::vector<std::string>{server < 10 ? low_aggregator_
                                                      : high_aggregator_};
        },
        now_);
  }

  std::string low_aggregator_ = "10.0.0.1";
  std::string high_aggregator_ = "10.0.0.2";
  BootTime now_ = BootTime{} + std::chrono::hours(1);
  AggregatorLoadTracker tracker_;
};

TEST_F(AggregatorLoadTrackerTest, SendsEachAggregatorItsServersOnce) {
  const Load load = {
      {1, kGenerationUsage}, {2, kGenerationUsage}, {11, kGenerationUsage}};
  const auto updates = TakeUpdates(load);
  EXPECT_EQ(updates.at(low_aggregator_),
            (Load{{1, kGenerationUsage}, {2, kGenerationUsage}}));
  EXPECT_EQ(updates.at(high_aggregator_), (Load{{11, kGenerationUsage}}));
  EXPECT_TRUE(TakeUpdates(load).empty());
}

TEST_F(AggregatorLoadTrackerTest, SendsToNewAggregatorImmediately) {
  const Load load = {{1, kGenerationUsage}};
  TakeUpdates(load);
  low_aggregator_ = "10.0.0.3";
  EXPECT_EQ(TakeUpdates(load).at("10.0.0.3"), load);
}

// Compensates for lost datagrams.
TEST_F(AggregatorLoadTrackerTest, ResendsUnchangedLoadAfterRefreshInterval) {
  const Load load = {{1, kGenerationUsage}};
  TakeUpdates(load);
  now_ += AggregatorLoadTracker::kRefreshInterval;
  EXPECT_EQ(TakeUpdates(load).at(low_aggregator_), load);
}

TEST_F(AggregatorLoadTrackerTest, SendsZeroLoadAFewTimes) {
  TakeUpdates({{1, kGenerationUsage}});
  for (int transmission = 0;
       transmission < AggregatorLoadTracker::kZeroTransmissions;
       ++transmission) {
    EXPECT_EQ(TakeUpdates({}).at(low_aggregator_), (Load{{1, {}}}));
    now_ += AggregatorLoadTracker::kRefreshInterval;
  }
  EXPECT_TRUE(TakeUpdates({}).empty());
}

TEST_F(AggregatorLoadTrackerTest, DoesNotSendNegligibleLoad) {
  // A single plain request ends before the update would be processed.
  EXPECT_TRUE(TakeUpdates({{1, {1, 0, 0}}}).empty());
}

// During a rolling restart of gateways, each is back before it is considered
// lost. Without this, its load totals stayed empty until the next refresh.
TEST_F(AggregatorLoadTrackerTest, ResendsToRestartedAggregatorImmediately) {
  const Load load = {{1, kGenerationUsage}, {11, kGenerationUsage}};
  TakeUpdates(load);
  tracker_.Forget(low_aggregator_);
  const auto updates = TakeUpdates(load);
  EXPECT_EQ(updates.at(low_aggregator_), (Load{{1, kGenerationUsage}}));
  EXPECT_FALSE(updates.contains(high_aggregator_));
}

TEST_F(AggregatorLoadTrackerTest, SendsToBothAggregators) {
  const Load load = {{1, kGenerationUsage}};
  const auto updates = tracker_.TakeUpdates(
      load,
      [this](std::uint32_t) {
        return std::vector<std::string>{low_aggregator_, high_aggregator_};
      },
      now_);
  EXPECT_EQ(updates.at(low_aggregator_), load);
  EXPECT_EQ(updates.at(high_aggregator_), load);
}

constexpr std::uint32_t kServers = 1000;

TEST(AggregatorAssignmentTest, MembersAgreeAndBackupTakesOver) {
  membership::AggregatorAssignment first;
  membership::AggregatorAssignment second;
  EXPECT_TRUE(first.SetMembers({"d", "c", "b", "a"}));
  EXPECT_TRUE(second.SetMembers({"a", "b", "c", "d"}));
  EXPECT_FALSE(second.SetMembers({"c", "d", "a", "b"}));
  std::map<std::uint32_t, membership::AggregatorAssignment::AggregatorPair>
      before;
  std::map<std::string, int> shares;
  for (std::uint32_t server = 0; server < kServers; ++server) {
    before[server] = first.AggregatorsOf(server);
    EXPECT_EQ(second.AggregatorsOf(server), before[server]);
    EXPECT_NE(before[server][0], before[server][1]);
    ++shares[before[server][0]];
  }
  // A quarter each, within the spread of the binomial distribution.
  for (const auto& [member, share] : shares) EXPECT_NEAR(share, 250, 70);
  EXPECT_TRUE(first.SetMembers({"a", "b", "c"}));
  for (const auto& [server, pair] : before) {
    const auto& now = first.AggregatorsOf(server);
    EXPECT_EQ(now[0], pair[0] == "d" ? pair[1] : pair[0]);
    EXPECT_FALSE(first.IsAggregator("d", server));
  }
}

TEST(AggregatorAssignmentTest, SingleMemberAggregatesAllAndEmptyFleetNothing) {
  membership::AggregatorAssignment assignment;
  EXPECT_TRUE(assignment.AggregatorsOf(1)[0].empty());
  assignment.SetMembers({"a"});
  EXPECT_EQ(assignment.AggregatorsOf(1)[0], "a");
  EXPECT_TRUE(assignment.AggregatorsOf(1)[1].empty());
}

}  // namespace
}  // namespace balsam::gossip
