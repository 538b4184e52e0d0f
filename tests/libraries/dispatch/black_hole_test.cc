// Guards against an engine that fails every request and attracts more of them:
// it is never busy, so each entry prefers it until it has seen enough failures
// itself. Not every run that is lost there may be repeated. Virtual time, no
// network.
#include <gtest/gtest.h>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "libraries/dispatch/server_selector.h"
#include "tests/libraries/dispatch/engine_fleet.h"

namespace balsam::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kEntries = 24;
constexpr std::size_t kEngines = 40;
constexpr char kFailingEngine[] = "i-0";
constexpr milliseconds kArrivalInterval{17};
// Run times with which the other engines are half full and full.
constexpr milliseconds kShortRun{3000};
constexpr milliseconds kLongRun{12000};
constexpr milliseconds kDuration{6000};

struct Run {
  std::size_t entry;
  std::string engine;
  Demand demand;
  BootTime ends;
};

// Counts the runs lost at the failing engine. Entries report their load to each
// other, with `report_failures` including their failures.
int CountLostRuns(bool report_failures, milliseconds run_time,
                  std::uint64_t seed) {
  BootTime now = BootTime{} + std::chrono::hours(1);
  const EngineFleet fleet(kEngines, now);
  std::vector<ServerSelector> entries;
  for (std::size_t i = 0; i < kEntries; ++i) {
    entries.emplace_back(ServerSelector::Limits{}, seed + i);
  }
  const Demand demand = EngineFleet::Generation(2700, 400);
  std::mt19937_64 random(seed);
  std::uniform_int_distribution<std::size_t> any(0, kEntries - 1);
  std::vector<Run> runs;
  int lost_runs = 0;
  const auto send_report = [&](std::size_t from) {
    auto usage = entries[from].LocalUsage(now);
    if (!report_failures) {
      for (auto& [key, used] : usage) used.failures = 0;
    }
    for (std::size_t to = 0; to < kEntries; ++to) {
      if (to == from) continue;
      entries[to].reports().ReplaceReport(std::to_string(from), usage, now);
    }
  };
  for (const BootTime end = now + kDuration; now < end;
       now += kArrivalInterval) {
    std::erase_if(runs, [&](const Run& run) {
      if (run.ends > now) return false;
      entries[run.entry].OnEnd(run.engine, run.demand, true);
      entries[run.entry].OnResult(run.engine, AttemptResult::kSucceeded, now);
      return true;
    });
    const std::size_t entry = any(random);
    ServerSelector& selector = entries[entry];
    const auto choice = fleet.Select(selector, demand, now);
    if (!choice.has_value()) continue;
    selector.OnStart(choice->id, demand);
    if (choice->id == kFailingEngine) {
      ++lost_runs;
      selector.OnEnd(choice->id, demand, false);
      selector.OnResult(choice->id, AttemptResult::kFailed, now);
    } else {
      selector.OnFirstEvent(choice->id, demand);
      runs.push_back({entry, choice->id, demand, now + run_time});
    }
    send_report(entry);
  }
  return lost_runs;
}

class FailingEngineTest : public testing::TestWithParam<std::uint64_t> {};

// A few failures steer all entries away, instead of a few for each entry.
TEST_P(FailingEngineTest, ReportedFailuresKeepOtherEntriesAway) {
  const int without_failure_reports =
      CountLostRuns(false, kShortRun, GetParam());
  const int with_failure_reports = CountLostRuns(true, kShortRun, GetParam());
  EXPECT_GE(without_failure_reports, static_cast<int>(kEntries));
  EXPECT_LE(with_failure_reports, static_cast<int>(kEntries) / 2);
}

// An unhealthy engine is not selected even if it is the only one with capacity.
TEST_P(FailingEngineTest, UnhealthyEngineIsNotUsedWhenAllOthersAreFull) {
  const int with_failure_reports = CountLostRuns(true, kLongRun, GetParam());
  EXPECT_LE(with_failure_reports, static_cast<int>(kEntries) / 2);
}

INSTANTIATE_TEST_SUITE_P(Seeds, FailingEngineTest, testing::Values(1, 2, 3));

}  // namespace
}  // namespace balsam::dispatch
