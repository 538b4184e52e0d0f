// What keepers are told of an entry's own load.
#include "libraries/gossip/part_journal.h"

#include <gtest/gtest.h>

#include "libraries/membership/keepers.h"

namespace balsam::gossip {
namespace {

using dispatch::Usage;
using Load = dispatch::UsageByServer;
using std::chrono::milliseconds;

constexpr Usage kOneRun{1, 3000, 2500};

class PartJournalTest : public testing::Test {
 protected:
  std::map<std::string, Load> Take(const Load& load) {
    return journal_.TakeNews(
        load,
        [this](std::uint32_t server) {
          return std::vector<std::string>{server < 10 ? low_ : high_};
        },
        now_);
  }

  std::string low_ = "10.0.0.1";
  std::string high_ = "10.0.0.2";
  BootTime now_ = BootTime{} + std::chrono::hours(1);
  PartJournal journal_;
};

TEST_F(PartJournalTest, EachKeeperIsToldOfItsServersOnce) {
  const Load load = {{1, kOneRun}, {2, kOneRun}, {11, kOneRun}};
  const auto news = Take(load);
  EXPECT_EQ(news.at(low_), (Load{{1, kOneRun}, {2, kOneRun}}));
  EXPECT_EQ(news.at(high_), (Load{{11, kOneRun}}));
  EXPECT_TRUE(Take(load).empty());
}

TEST_F(PartJournalTest, ANewKeeperIsToldAtOnce) {
  const Load load = {{1, kOneRun}};
  Take(load);
  low_ = "10.0.0.3";
  EXPECT_EQ(Take(load).at("10.0.0.3"), load);
}

// Datagrams are lost.
TEST_F(PartJournalTest, WhatDoesNotChangeIsToldAgain) {
  const Load load = {{1, kOneRun}};
  Take(load);
  now_ += PartJournal::kRefreshInterval;
  EXPECT_EQ(Take(load).at(low_), load);
}

TEST_F(PartJournalTest, ThatThereIsNothingAnyMoreIsToldAFewTimes) {
  Take({{1, kOneRun}});
  for (int telling = 0; telling < PartJournal::kZeroTellings; ++telling) {
    EXPECT_EQ(Take({}).at(low_), (Load{{1, {}}}));
    now_ += PartJournal::kRefreshInterval;
  }
  EXPECT_TRUE(Take({}).empty());
}

TEST_F(PartJournalTest, WhatWasNeverThereIsNotTold) {
  // One plain request is over before it is read.
  EXPECT_TRUE(Take({{1, {1, 0, 0}}}).empty());
}

// Load: gateways that are restarted one after the other, each back before it is
// taken to be lost. Its books were empty until all was told again anyway.
TEST_F(PartJournalTest, AKeeperThatBeganANewLifeIsToldAtOnce) {
  const Load load = {{1, kOneRun}, {11, kOneRun}};
  Take(load);
  journal_.Forget(low_);
  const auto news = Take(load);
  EXPECT_EQ(news.at(low_), (Load{{1, kOneRun}}));
  EXPECT_FALSE(news.contains(high_));
}

TEST_F(PartJournalTest, BothKeepersAreTold) {
  const Load load = {{1, kOneRun}};
  const auto news = journal_.TakeNews(
      load,
      [this](std::uint32_t) {
        return std::vector<std::string>{low_, high_};
      },
      now_);
  EXPECT_EQ(news.at(low_), load);
  EXPECT_EQ(news.at(high_), load);
}

constexpr std::uint32_t kServers = 1000;

TEST(KeepersTest, AllAgreeAndTheSecondTakesOverFromTheFirst) {
  membership::Keepers first;
  membership::Keepers second;
  EXPECT_TRUE(first.SetMembers({"d", "c", "b", "a"}));
  EXPECT_TRUE(second.SetMembers({"a", "b", "c", "d"}));
  EXPECT_FALSE(second.SetMembers({"c", "d", "a", "b"}));
  std::map<std::uint32_t, membership::Keepers::Pair> before;
  std::map<std::string, int> shares;
  for (std::uint32_t server = 0; server < kServers; ++server) {
    before[server] = first.KeepersOf(server);
    EXPECT_EQ(second.KeepersOf(server), before[server]);
    EXPECT_NE(before[server][0], before[server][1]);
    ++shares[before[server][0]];
  }
  // A quarter each, by the binomial spread.
  for (const auto& [member, share] : shares) EXPECT_NEAR(share, 250, 70);
  EXPECT_TRUE(first.SetMembers({"a", "b", "c"}));
  for (const auto& [server, pair] : before) {
    const auto& now = first.KeepersOf(server);
    EXPECT_EQ(now[0], pair[0] == "d" ? pair[1] : pair[0]);
    EXPECT_FALSE(first.Keeps("d", server));
  }
}

TEST(KeepersTest, OneAloneKeepsAllAndNobodyNothing) {
  membership::Keepers keepers;
  EXPECT_TRUE(keepers.KeepersOf(1)[0].empty());
  keepers.SetMembers({"a"});
  EXPECT_EQ(keepers.KeepersOf(1)[0], "a");
  EXPECT_TRUE(keepers.KeepersOf(1)[1].empty());
}

}  // namespace
}  // namespace balsam::gossip
