// Which of several statements about a server's limit holds.
#include "libraries/limits/limit_table.h"

#include <gtest/gtest.h>

namespace balsam::limits {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kServer = 7;
const BootTime kStart{std::chrono::hours(1)};

TEST(LimitTableTest, LimitHoldsUntilAResponseNamesNone) {
  LimitTable table;
  EXPECT_FALSE(table.OnResponse(kServer, std::nullopt, kStart));
  EXPECT_EQ(table.size(), 0U);
  EXPECT_TRUE(table.OnResponse(kServer, 4.5, kStart));
  EXPECT_FALSE(table.OnResponse(kServer, 4.5, kStart + milliseconds(1)));
  EXPECT_TRUE(table.OnResponse(kServer, 3.0, kStart + milliseconds(2)));
  EXPECT_EQ(table.LimitOf(kServer), 3.0);
  EXPECT_FALSE(table.LimitOf(kServer + 1).has_value());
  EXPECT_TRUE(
      table.OnResponse(kServer, std::nullopt, kStart + milliseconds(3)));
  EXPECT_FALSE(table.LimitOf(kServer).has_value());
}

// Guards against forgetting the limit that a new incarnation named before its
// start is known, and against one of the former that a peer passes on later.
TEST(LimitTableTest, RestartEndsOnlyEarlierLimits) {
  LimitTable table;
  table.OnResponse(kServer, 4.5, kStart);
  table.OnRestarted(kServer, kStart - milliseconds(1000));
  EXPECT_EQ(table.LimitOf(kServer), 4.5);
  table.OnRestarted(kServer, kStart + milliseconds(1000));
  EXPECT_FALSE(table.LimitOf(kServer).has_value());
  EXPECT_FALSE(table.OnStatement({kServer, 4.5, milliseconds(1500)},
                                 kStart + milliseconds(2000)));
  EXPECT_FALSE(table.LimitOf(kServer).has_value());
  table.OnRestarted(kServer + 1, kStart);
  EXPECT_EQ(table.size(), 1U);
}

// Peers pass on what they know, which may be older than what is known here.
TEST(LimitTableTest, NewestStatementCounts) {
  LimitTable table;
  EXPECT_TRUE(table.OnStatement({kServer, 4.5, milliseconds(100)}, kStart));
  EXPECT_FALSE(table.OnStatement({kServer, 9.0, milliseconds(200)}, kStart));
  EXPECT_EQ(table.LimitOf(kServer), 4.5);
  EXPECT_TRUE(table.OnResponse(kServer, std::nullopt, kStart));
  EXPECT_FALSE(table.OnStatement({kServer, 4.5, milliseconds(60)},
                                 kStart + milliseconds(50)));
  EXPECT_FALSE(table.LimitOf(kServer).has_value());
  EXPECT_EQ(table.StatementOf(kServer, kStart + milliseconds(50)),
            (Statement{kServer, std::nullopt, milliseconds(50)}));
}

// Two entries that tell each other of a server that is gone would keep it for
// ever.
TEST(LimitTableTest, StatementsExpire) {
  LimitTable table;
  table.OnResponse(kServer, 4.5, kStart);
  const BootTime later = kStart + LimitTable::kLimitRetention + milliseconds(1);
  table.RemoveExpired(later);
  EXPECT_EQ(table.size(), 0U);
  EXPECT_FALSE(table.OnStatement(
      {kServer, 4.5, LimitTable::kLimitRetention + milliseconds(1)}, later));
  EXPECT_EQ(table.size(), 0U);
}

TEST(LimitTableTest, StatementsAreTakenInTurn) {
  LimitTable table;
  for (std::uint32_t server = 1; server <= 3; ++server) {
    table.OnResponse(server, 1.0, kStart);
  }
  EXPECT_EQ(table.TakeStatements(2, kStart).size(), 2U);
  const auto next = table.TakeStatements(2, kStart);
  ASSERT_EQ(next.size(), 2U);
  EXPECT_EQ(next[0].server, 3U);
  EXPECT_EQ(next[1].server, 1U);
  EXPECT_EQ(table.TakeStatements(9, kStart).size(), 3U);
}

TEST(LimitTableTest, NumbersOutOfRangeAreBounded) {
  LimitTable table;
  table.OnStatement({kServer, -3.0, milliseconds(-5)}, kStart);
  EXPECT_EQ(table.LimitOf(kServer), 0.0);
  table.OnResponse(kServer, 1e300, kStart);
  EXPECT_EQ(table.LimitOf(kServer), LimitTable::kMaxRequestsPerSecond);
}

// Guards against a cold rate that turns into a statement or ends one, here or
// at an entry that is told of it.
TEST(LimitTableTest, ColdRateIsNoStatement) {
  LimitTable table;
  EXPECT_TRUE(table.SetCold(kServer, 25.0, kStart + milliseconds(500)));
  EXPECT_FALSE(table.SetCold(kServer, 25.0, kStart + milliseconds(500)));
  EXPECT_EQ(table.LimitOf(kServer), 25.0);
  EXPECT_TRUE(table.TakeStatements(8, kStart).empty());
  LimitTable peer;
  peer.OnResponse(kServer, 40.0, kStart - milliseconds(20000));
  EXPECT_FALSE(
      peer.OnStatement(table.StatementForMessage(kServer, kStart), kStart));
  EXPECT_EQ(peer.LimitOf(kServer), 40.0);
  table.RemoveExpired(kStart + milliseconds(500));
  EXPECT_FALSE(table.LimitOf(kServer).has_value());
}

// An issuer that has not heard yet that the server is cold.
TEST(LimitTableTest, ColdClaimOfAPeerHoldsForAMoment) {
  LimitTable table;
  table.OnColdClaim(kServer, 25.0, kStart);
  EXPECT_EQ(table.LimitOf(kServer), 25.0);
  EXPECT_FALSE(table.OwnColdRateOf(kServer).has_value());
  table.EndCold(kServer);
  EXPECT_EQ(table.LimitOf(kServer), 25.0);
  table.RemoveExpired(kStart + LimitTable::kColdClaimRetention);
  EXPECT_FALSE(table.LimitOf(kServer).has_value());
}

}  // namespace
}  // namespace balsam::limits
