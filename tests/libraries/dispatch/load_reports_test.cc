// Sums and expiry of load reports and totals of other entries.
#include "libraries/dispatch/load_reports.h"

#include <gtest/gtest.h>

namespace balsam::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLifetime{1500};

class LoadReportsTest : public testing::Test {
 protected:
  std::int64_t RequestsAt(const char* server) const {
    return reports_.UsageOf(server, now_).requests;
  }

  BootTime now_ = BootTime{} + std::chrono::hours(1);
  LoadReports reports_{kLifetime};
};

TEST_F(LoadReportsTest, ReportsOfAllEntriesAreSummed) {
  reports_.ReplaceReport("e-1", {{ServerKey("a"), {1, 100, 50, 1}}}, now_);
  reports_.ReplaceReport("e-2", {{ServerKey("a"), {2, 200, 0, 2}}}, now_);
  EXPECT_EQ(reports_.UsageOf("a", now_), (Usage{3, 300, 50, 3}));
  EXPECT_EQ(reports_.UsageOf("b", now_), Usage{});
}

TEST_F(LoadReportsTest, ReplacingDropsOldServersAndUpdatingKeepsThem) {
  reports_.ReplaceReport("e-1", {{ServerKey("a"), {1}}, {ServerKey("b"), {2}}},
                         now_);
  reports_.UpdateReport("e-1", {{ServerKey("a"), {}}, {ServerKey("c"), {3}}},
                        now_);
  EXPECT_EQ(RequestsAt("a"), 0);
  EXPECT_EQ(RequestsAt("b"), 2);
  EXPECT_EQ(RequestsAt("c"), 3);
  reports_.ReplaceReport("e-1", {{ServerKey("a"), {1}}}, now_);
  EXPECT_EQ(RequestsAt("a"), 1);
  EXPECT_EQ(RequestsAt("b"), 0);
}

TEST_F(LoadReportsTest, ReportIsValidWhileItIsRenewed) {
  reports_.ReplaceReport("e-1", {{ServerKey("a"), {1}}}, now_);
  now_ += kLifetime;
  reports_.RenewReport("e-1", now_);
  now_ += kLifetime;
  EXPECT_EQ(RequestsAt("a"), 1);
  now_ += milliseconds(1);
  EXPECT_EQ(RequestsAt("a"), 0);
}

TEST_F(LoadReportsTest, TotalReplacesTheReportsOfItsServer) {
  reports_.ReplaceReport("e-1", {{ServerKey("a"), {1}}, {ServerKey("b"), {2}}},
                         now_);
  reports_.SetTotal(ServerKey("a"), {7}, now_);
  EXPECT_EQ(RequestsAt("a"), 7);
  EXPECT_EQ(RequestsAt("b"), 2);
  EXPECT_EQ(reports_.TotalReceivedAt(ServerKey("a")), now_);
  EXPECT_FALSE(reports_.TotalReceivedAt(ServerKey("b")).has_value());
  reports_.RemoveTotals(
      [](std::uint32_t server) { return server == ServerKey("a"); });
  EXPECT_EQ(RequestsAt("a"), 1);
}

TEST_F(LoadReportsTest, ExpiredTotalIsIgnored) {
  reports_.SetTotal(ServerKey("a"), {7}, now_);
  now_ += LoadReports::kTotalLifetime + milliseconds(1);
  EXPECT_EQ(RequestsAt("a"), 0);
  reports_.RemoveExpired(now_);
  EXPECT_FALSE(reports_.TotalReceivedAt(ServerKey("a")).has_value());
}

TEST_F(LoadReportsTest, TotalForAnEntryExcludesItsOwnReport) {
  reports_.ReplaceReport("e-1", {{ServerKey("a"), {1}}}, now_);
  reports_.ReplaceReport("e-2", {{ServerKey("a"), {4}}}, now_);
  const auto total_for = [&](const std::string& recipient) {
    return reports_.ReportedUsageExcept(ServerKey("a"), recipient, now_)
        .requests;
  };
  EXPECT_EQ(total_for("e-1"), 4);
  EXPECT_EQ(total_for("e-2"), 1);
  EXPECT_EQ(total_for("e-3"), 5);
  EXPECT_EQ(reports_.ReportedUsage(now_).at(ServerKey("a")).requests, 5);
}

// Guards against stale usage when gateways join and become the aggregators of
// some servers: reports sent to the previous aggregators would otherwise count
// forever in addition to the new totals.
TEST_F(LoadReportsTest, RemovedServersAndTotalsLeaveNoUsage) {
  reports_.ReplaceReport("e-1", {{ServerKey("a"), {1}}, {ServerKey("b"), {2}}},
                         now_);
  reports_.RemoveServer(ServerKey("a"));
  EXPECT_EQ(RequestsAt("a"), 0);
  EXPECT_EQ(RequestsAt("b"), 2);
  reports_.SetTotal(ServerKey("c"), {7}, now_);
  reports_.RemoveTotals(
      [](std::uint32_t server) { return server == ServerKey("c"); });
  EXPECT_EQ(RequestsAt("c"), 0);
}

// Guards against a leak: the reports of removed gateways were never dropped.
TEST_F(LoadReportsTest, ReportsOfSilentEntriesExpire) {
  reports_.ReplaceReport("e-1", {{ServerKey("a"), {1}}}, now_);
  now_ += milliseconds(1);
  reports_.ReplaceReport("e-2", {{ServerKey("a"), {1}}}, now_);
  now_ += kLifetime;
  reports_.RemoveExpired(now_);
  EXPECT_EQ(reports_.size(), 1U);
  EXPECT_EQ(RequestsAt("a"), 1);
}

}  // namespace
}  // namespace balsam::dispatch
