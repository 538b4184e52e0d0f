// What other entries' reports add up to.
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

TEST_F(LoadReportsTest, EntriesAddUp) {
  reports_.Replace("e-1", {{ServerKey("a"), {1, 100, 50, 1}}}, now_);
  reports_.Replace("e-2", {{ServerKey("a"), {2, 200, 0, 2}}}, now_);
  EXPECT_EQ(reports_.UsageOf("a", now_), (Usage{3, 300, 50, 3}));
  EXPECT_EQ(reports_.UsageOf("b", now_), Usage{});
}

TEST_F(LoadReportsTest, AWholeReportReplacesAndAChangeDoesNot) {
  reports_.Replace("e-1", {{ServerKey("a"), {1}}, {ServerKey("b"), {2}}}, now_);
  reports_.Change("e-1", {{ServerKey("a"), {}}, {ServerKey("c"), {3}}}, now_);
  EXPECT_EQ(RequestsAt("a"), 0);
  EXPECT_EQ(RequestsAt("b"), 2);
  EXPECT_EQ(RequestsAt("c"), 3);
  reports_.Replace("e-1", {{ServerKey("a"), {1}}}, now_);
  EXPECT_EQ(RequestsAt("a"), 1);
  EXPECT_EQ(RequestsAt("b"), 0);
}

TEST_F(LoadReportsTest, AReportHoldsWhileItsEntryIsHeard) {
  reports_.Replace("e-1", {{ServerKey("a"), {1}}}, now_);
  now_ += kLifetime;
  reports_.Renew("e-1", now_);
  now_ += kLifetime;
  EXPECT_EQ(RequestsAt("a"), 1);
  now_ += milliseconds(1);
  EXPECT_EQ(RequestsAt("a"), 0);
}

TEST_F(LoadReportsTest, ASumStandsForAllReportsOfItsServer) {
  reports_.Replace("e-1", {{ServerKey("a"), {1}}, {ServerKey("b"), {2}}}, now_);
  reports_.TakeSum(ServerKey("a"), {7}, now_);
  EXPECT_EQ(RequestsAt("a"), 7);
  EXPECT_EQ(RequestsAt("b"), 2);
  EXPECT_EQ(reports_.SumHeard(ServerKey("a")), now_);
  EXPECT_FALSE(reports_.SumHeard(ServerKey("b")).has_value());
  reports_.DropSumsOf(
      [](std::uint32_t server) { return server == ServerKey("a"); });
  EXPECT_EQ(RequestsAt("a"), 1);
}

TEST_F(LoadReportsTest, AnOldSumSaysNothing) {
  reports_.TakeSum(ServerKey("a"), {7}, now_);
  now_ += LoadReports::kSumLifetime + milliseconds(1);
  EXPECT_EQ(RequestsAt("a"), 0);
  reports_.DropOld(now_);
  EXPECT_FALSE(reports_.SumHeard(ServerKey("a")).has_value());
}

TEST_F(LoadReportsTest, AReaderIsNotToldItsOwnPart) {
  reports_.Replace("e-1", {{ServerKey("a"), {1}}}, now_);
  reports_.Replace("e-2", {{ServerKey("a"), {4}}}, now_);
  const auto told_to = [&](const std::string& reader) {
    return reports_.ReportedExcept(ServerKey("a"), reader, now_).requests;
  };
  EXPECT_EQ(told_to("e-1"), 4);
  EXPECT_EQ(told_to("e-2"), 1);
  EXPECT_EQ(told_to("e-3"), 5);
  EXPECT_EQ(reports_.Reported(now_).at(ServerKey("a")).requests, 5);
}

// Load: gateways join, and the books of some servers go over to them. What was
// reported to the keepers before would count for ever beside the new sums.
TEST_F(LoadReportsTest, ABookThatIsKeptElsewhereLeavesNothingBehind) {
  reports_.Replace("e-1", {{ServerKey("a"), {1}}, {ServerKey("b"), {2}}}, now_);
  reports_.DropServer(ServerKey("a"));
  EXPECT_EQ(RequestsAt("a"), 0);
  EXPECT_EQ(RequestsAt("b"), 2);
  reports_.TakeSum(ServerKey("c"), {7}, now_);
  reports_.DropSumsOf(
      [](std::uint32_t server) { return server == ServerKey("c"); });
  EXPECT_EQ(RequestsAt("c"), 0);
}

// Found by reading: reports of gateways that were gone stayed for ever.
TEST_F(LoadReportsTest, SilentEntriesAreForgotten) {
  reports_.Replace("e-1", {{ServerKey("a"), {1}}}, now_);
  now_ += milliseconds(1);
  reports_.Replace("e-2", {{ServerKey("a"), {1}}}, now_);
  now_ += kLifetime;
  reports_.DropOld(now_);
  EXPECT_EQ(reports_.size(), 1U);
  EXPECT_EQ(RequestsAt("a"), 1);
}

}  // namespace
}  // namespace balsam::dispatch
