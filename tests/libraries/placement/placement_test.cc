// Placement policies, the retry budget and the preferred VMs of a request.
#include "libraries/placement/placement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "libraries/placement/load_tracker.h"
#include "libraries/relay/retry_budget.h"

namespace balsam::placement {
namespace {

std::vector<Candidate> Candidates(int count) {
  std::vector<Candidate> candidates;
  for (int i = 0; i < count; ++i) {
    Candidate candidate;
    candidate.vm = "vm-" + std::to_string(i);
    candidate.report = execution::LoadReport{};
    candidate.report->capacity_tokens = 10000;
    candidates.push_back(candidate);
  }
  return candidates;
}

TEST(OverloadPlacementTest, ForecastPrefersTheLessLoadedCandidate) {
  auto candidates = Candidates(12);
  const PlacementQuery query{42, 100};
  Forecast policy(2);
  const std::size_t first = policy.Choose(query, candidates);
  candidates[first].report->peak_load = 0.9;
  const std::size_t second = policy.Choose(query, candidates);
  EXPECT_NE(second, first);
}

TEST(OverloadPlacementTest, EngineWithALongQueueGetsLess) {
  auto candidates = Candidates(2);
  candidates[0].report->queued = 30;
  Forecast policy(2);
  for (std::uint64_t fingerprint = 0; fingerprint < 50; ++fingerprint) {
    EXPECT_EQ(policy.Choose({fingerprint, 10}, candidates), 1U);
  }
}

TEST(PoisonPlacementTest, RequestGoesToTheSameTwoVmsAtAnyLoad) {
  auto candidates = Candidates(12);
  Forecast policy(2);
  std::set<std::size_t> chosen;
  for (int i = 0; i < 100; ++i) {
    for (Candidate& candidate : candidates) {
      candidate.report->peak_load = static_cast<double>((i * 7) % 13) / 13.0;
    }
    candidates[static_cast<std::size_t>(i % 12)].report->peak_load = 0.99;
    chosen.insert(policy.Choose({7, 10}, candidates));
  }
  EXPECT_LE(chosen.size(), 2U);
}

TEST(PoisonPlacementTest, RemovingOtherVmsKeepsThePreferredOnes) {
  std::vector<std::string> vms;
  vms.reserve(12);
  for (int i = 0; i < 12; ++i) vms.push_back("vm-" + std::to_string(i));
  const auto preferred = PreferredVms(7, vms);
  std::erase_if(vms, [&](const std::string& vm) {
    return vm != preferred[0] && vm != preferred[1] && vm.back() == '1';
  });
  EXPECT_EQ(PreferredVms(7, vms), preferred);
}

TEST(LeavingPlacementTest, DrainingSidecarIsNoCandidateUntilItReconnects) {
  LoadTracker board;
  execution::LoadReport draining;
  draining.draining = true;
  board.OnReport("a", draining);
  EXPECT_EQ(board.Candidates({"a", "b"}).size(), 1U);
  board.OnConnected("a");
  EXPECT_EQ(board.Candidates({"a", "b"}).size(), 2U);
}

// Guards against what is kept of VMs that have left: it grew with each, and a
// VM that was listed again within two seconds had no lagged report.
TEST(LeavingPlacementTest, NothingIsKeptOfVmsThatAreNotListed) {
  LoadTracker tracker;
  execution::LoadReport report;
  report.queued = 3;
  constexpr int kVms = 1000;
  for (int i = 0; i < kVms; ++i) {
    const std::string vm = "vm-" + std::to_string(i);
    tracker.OnReport(vm, report);
    tracker.Retain({vm});
    EXPECT_EQ(tracker.tracked_vms(), 1U);
  }
  tracker.Retain({});
  EXPECT_EQ(tracker.tracked_vms(), 0U);
  tracker.OnReport("vm-0", report);
  const auto candidates = tracker.Candidates({"vm-0"});
  ASSERT_EQ(candidates.size(), 1U);
  ASSERT_TRUE(candidates.front().lagged_report.has_value());
  EXPECT_EQ(candidates.front().lagged_report->queued, 3);
}

TEST(OverloadRetryBudgetTest, RetriesStayWithinTheBudgetDuringAnOutage) {
  relay::RetryBudget budget(0.1, 20);
  int retries = 0;
  constexpr int kRequests = 10000;
  for (int i = 0; i < kRequests; ++i) {
    budget.OnFirstAttempt();
    // During an outage every request is retried several times.
    for (int attempt = 0; attempt < 3; ++attempt) {
      retries += budget.TryConsumeRetry() ? 1 : 0;
    }
  }
  EXPECT_LE(retries, kRequests / 10 + 20);
  EXPECT_GE(retries, kRequests / 10 - 20);
}

TEST(OverloadPlacementTest, EveryPolicyNameIsKnown) {
  for (const std::string name :
       {"round_robin", "least_outstanding", "two_choices", "forecast"}) {
    auto policy = TryOr([&] { return MakePolicy(name, 1); },
                        [&](const Error& error) {
                          ADD_FAILURE() << error.detail;
                          return AnyPolicy(RoundRobin());
                        });
    EXPECT_LT(Choose(policy, {1, 1}, Candidates(3)), 3U);
  }
}

}  // namespace
}  // namespace balsam::placement
