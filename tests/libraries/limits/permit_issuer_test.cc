// Rates, bursts and turns of the permits for limited servers.
#include "libraries/limits/permit_issuer.h"

#include <gtest/gtest.h>

#include <set>

namespace balsam::limits {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kServer = 7;
constexpr double kRate = 4.0;
const BootTime kStart{std::chrono::hours(1)};

int GrantsAt(PermitIssuer& issuer, BootTime now, int requests) {
  int grants = 0;
  for (int i = 0; i < requests; ++i) {
    if (issuer.Request(kServer, kRate, now).is_granted) ++grants;
  }
  return grants;
}

// The issuer before may have used the limit up in its last second.
TEST(PermitIssuerTest, NewServerHasNoPermits) {
  PermitIssuer issuer({});
  EXPECT_EQ(GrantsAt(issuer, kStart, 10), 0);
  EXPECT_EQ(GrantsAt(issuer, kStart + milliseconds(250), 10), 1);
}

TEST(PermitIssuerTest, IssuesTheRateAndNoLongBursts) {
  PermitIssuer issuer({});
  GrantsAt(issuer, kStart, 1);
  int grants = 0;
  for (milliseconds at{0}; at < milliseconds(10000); at += milliseconds(10)) {
    grants += GrantsAt(issuer, kStart + at, 3);
  }
  EXPECT_GE(grants, 39);
  EXPECT_LE(grants, 40);
  // Half a second of permits, and one.
  EXPECT_EQ(GrantsAt(issuer, kStart + std::chrono::hours(1), 10), 3);
}

// A limit of zero ends only with a response that names none.
TEST(PermitIssuerTest, LimitOfZeroLeavesProbes) {
  PermitIssuer issuer({});
  int grants = 0;
  for (milliseconds at{0}; at <= milliseconds(10000); at += milliseconds(50)) {
    if (issuer.Request(kServer, 0.0, kStart + at).is_granted) ++grants;
  }
  EXPECT_EQ(grants, 5);
}

TEST(PermitIssuerTest, EntriesWithoutPermitGetDifferentTurns) {
  PermitIssuer issuer({});
  std::set<milliseconds> turns;
  for (int i = 0; i < 10; ++i) {
    const auto decision = issuer.Request(kServer, kRate, kStart);
    EXPECT_FALSE(decision.is_granted);
    turns.insert(decision.retry_after);
  }
  EXPECT_EQ(turns.size(), 10U);
  EXPECT_EQ(*turns.begin(), milliseconds(250));
  for (int i = 0; i < 1000; ++i) {
    EXPECT_LE(issuer.Request(kServer, kRate, kStart).retry_after,
              milliseconds(2000));
  }
}

TEST(PermitIssuerTest, RequestsWithoutPermitAreMadeUpFor) {
  PermitIssuer issuer({});
  issuer.Charge(kServer, kRate, kStart);
  issuer.Charge(kServer, kRate, kStart);
  EXPECT_EQ(GrantsAt(issuer, kStart + milliseconds(500), 3), 0);
  EXPECT_EQ(GrantsAt(issuer, kStart + milliseconds(750), 3), 1);
}

TEST(PermitIssuerTest, ForgetsServersThatNobodyAsksFor) {
  PermitIssuer issuer({});
  GrantsAt(issuer, kStart, 1);
  issuer.RemoveIdle(kStart + milliseconds(9000));
  EXPECT_EQ(issuer.size(), 1U);
  issuer.RemoveIdle(kStart + milliseconds(11000));
  EXPECT_EQ(issuer.size(), 0U);
}

}  // namespace
}  // namespace balsam::limits
