// Claims of engine memory: who respects them, what bounds them and what ends
// them. Load: every engine is full, and a request arrives that fits only after
// several generations have ended.
#include "libraries/dispatch/memory_claims.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>

#include "libraries/dispatch/server_selector.h"
#include "tests/libraries/dispatch/engine_fleet.h"

namespace balsam::dispatch {
namespace {

using std::chrono::milliseconds;

class MemoryClaimsTest : public testing::Test {
 protected:
  static constexpr std::size_t kEngines = 8;

  MemoryClaimsTest() {
    for (std::size_t i = 0; i < kEngines; ++i) Fill(i);
  }

  // Room for a small request is left.
  void Fill(std::size_t engine) {
    for (int i = 0; i < 5; ++i) {
      selector_.OnStart(fleet_.id(engine), running_);
      selector_.OnFirstEvent(fleet_.id(engine), running_);
    }
  }
  std::optional<ClaimId> Begin() {
    return fleet_.BeginClaim(selector_, large_, expires_at_, now_);
  }
  std::size_t ClaimedEngine(ClaimId claim) {
    const std::string& server = selector_.claims().Find(claim)->server;
    return static_cast<std::size_t>(std::stoi(server.substr(2)));
  }
  void Report(ServerSelector& to) {
    to.reports().ReplaceReport("entry", selector_.LocalUsage(now_), now_);
  }
  // Leaves no engine but `engine`.
  Demand Only(Demand demand, std::size_t engine) {
    for (std::size_t i = 0; i < kEngines; ++i) {
      if (i != engine) demand.excluded.insert(fleet_.id(i));
    }
    return demand;
  }

  BootTime now_ = BootTime{} + std::chrono::hours(1);
  BootTime expires_at_ = now_ + std::chrono::seconds(4);
  EngineFleet fleet_{kEngines, now_};
  ServerSelector selector_{{}, 1};
  ServerSelector other_{{}, 2};
  const Demand running_ = EngineFleet::Generation(4000, 100);
  const Demand small_ = EngineFleet::Generation(1000, 100);
  Demand large_ = EngineFleet::Generation(5000, 500);
};

TEST_F(MemoryClaimsTest, KeepsOthersOffTheClaimedEngineOnly) {
  const auto claim = Begin();
  ASSERT_TRUE(claim.has_value());
  Report(other_);
  for (ServerSelector* selector : {&selector_, &other_}) {
    for (std::size_t i = 0; i < kEngines; ++i) {
      EXPECT_EQ(fleet_.Select(*selector, Only(small_, i), now_).has_value(),
                i != ClaimedEngine(*claim));
    }
  }
}

TEST_F(MemoryClaimsTest, OwnerStartsAsSoonAsTheRestHasRoom) {
  large_.claim = *Begin();
  const std::string server = selector_.claims().Find(large_.claim)->server;
  EXPECT_FALSE(fleet_.Select(selector_, large_, now_).has_value());
  EXPECT_EQ(fleet_.Candidates(selector_, large_, 3, now_).at(0).id, server);
  selector_.OnEnd(server, running_, true);
  selector_.OnEnd(server, running_, true);
  const auto choice = fleet_.Select(selector_, large_, now_);
  ASSERT_TRUE(choice.has_value());
  EXPECT_EQ(choice->id, server);
}

// A run without a target would be lost, whereas the claim only takes longer.
TEST_F(MemoryClaimsTest, MigrationsIgnoreClaims) {
  const auto claim = Begin();
  Demand migration = Only(small_, ClaimedEngine(*claim));
  migration.is_migration = true;
  EXPECT_TRUE(fleet_.Select(selector_, migration, now_).has_value());
}

TEST_F(MemoryClaimsTest, SmallRequestsClaimNothing) {
  EXPECT_FALSE(
      fleet_.BeginClaim(selector_, small_, expires_at_, now_).has_value());
}

TEST_F(MemoryClaimsTest, EngineIsClaimedByOneRequestAtATime) {
  Begin();
  Report(other_);
  const auto second = fleet_.BeginClaim(other_, large_, expires_at_, now_);
  ASSERT_TRUE(second.has_value());
  EXPECT_NE(other_.claims().Find(*second)->server,
            selector_.claims().claims().begin()->second.server);
}

// Load: many large requests at once, at two entries.
TEST_F(MemoryClaimsTest, ClaimedMemoryIsBounded) {
  const MemoryClaims::Limits limits;
  const auto fleet_tokens = static_cast<double>(kEngines) *
                            static_cast<double>(fleet_.traits().memory_tokens);
  while (Begin().has_value()) {
  }
  EXPECT_LE(selector_.claims().claims().size(), limits.max_claims);
  Report(other_);
  while (fleet_.BeginClaim(other_, large_, expires_at_, now_).has_value()) {
  }
  const std::int64_t claimed =
      selector_.claims().tokens() + other_.claims().tokens();
  EXPECT_LE(static_cast<double>(claimed),
            limits.max_fleet_share * fleet_tokens);
  EXPECT_GT(other_.claims().tokens(), 0);
}

TEST_F(MemoryClaimsTest, EndsWhenItsEngineCannotServeIt) {
  const ClaimId leaving = *Begin();
  const ClaimId restarted = *Begin();
  const ClaimId resting = *Begin();
  for (const ClaimId claim : {leaving, restarted, resting}) {
    EXPECT_EQ(fleet_.FindClaimEnd(selector_, claim, now_), std::nullopt);
  }
  fleet_.Announce(ClaimedEngine(leaving), true, now_);
  fleet_.Restart(ClaimedEngine(restarted), milliseconds(5), now_);
  selector_.OnBackoffRequested(selector_.claims().Find(resting)->server,
                               expires_at_, now_);
  EXPECT_EQ(fleet_.FindClaimEnd(selector_, leaving, now_),
            ClaimEnd::kServerClosed);
  EXPECT_EQ(fleet_.FindClaimEnd(selector_, restarted, now_),
            ClaimEnd::kServerRestarted);
  EXPECT_EQ(fleet_.FindClaimEnd(selector_, resting, now_),
            ClaimEnd::kServerUnavailable);
}

TEST_F(MemoryClaimsTest, EndsInTime) {
  const ClaimId claim = *Begin();
  EXPECT_EQ(fleet_.FindClaimEnd(selector_, claim, expires_at_),
            ClaimEnd::kExpired);
  EXPECT_EQ(MaxClaimTime(milliseconds(4000), milliseconds(39000)),
            milliseconds(4000));
  EXPECT_EQ(MaxClaimTime(milliseconds(4000), milliseconds(5000)),
            milliseconds(1500));
}

TEST_F(MemoryClaimsTest, LapsesWhenItsEntryDies) {
  const std::size_t engine = ClaimedEngine(*Begin());
  Report(other_);
  EXPECT_FALSE(fleet_.Select(other_, Only(small_, engine), now_).has_value());
  now_ += ServerSelector::Limits{}.report_lifetime + milliseconds(1);
  EXPECT_TRUE(fleet_.Select(other_, Only(small_, engine), now_).has_value());
}

}  // namespace
}  // namespace balsam::dispatch
