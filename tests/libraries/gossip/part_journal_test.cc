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
        [this](std::uint32_t server) -> const std::string& {
          return server < 10 ? low_ : high_;
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

TEST(KeepersTest, AllAgreeAndALossMovesOnlyItsPart) {
  const std::vector<std::string> members = {"a", "b", "c", "d"};
  membership::Keepers first("a");
  membership::Keepers second("b");
  EXPECT_TRUE(first.SetMembers({"d", "c", "b", "a"}));
  EXPECT_TRUE(second.SetMembers(members));
  EXPECT_FALSE(second.SetMembers({"c", "d", "a"}));
  constexpr std::uint32_t kServers = 1000;
  std::map<std::uint32_t, std::string> before;
  for (std::uint32_t server = 0; server < kServers; ++server) {
    before[server] = first.KeeperOf(server);
    EXPECT_EQ(second.KeeperOf(server), before[server]);
  }
  EXPECT_TRUE(first.SetMembers({"b", "c"}));
  for (const auto& [server, keeper] : before) {
    if (keeper != "d") EXPECT_EQ(first.KeeperOf(server), keeper);
    if (keeper == "d") EXPECT_NE(first.KeeperOf(server), keeper);
  }
}

}  // namespace
}  // namespace balsam::gossip
