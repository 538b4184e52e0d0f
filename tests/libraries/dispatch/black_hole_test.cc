// A black hole: an engine that breaks off whatever it gets is never busy, so
// every entry prefers it until it has learned better. Each run that is lost
// there may not be asked for again. In virtual time, without network.
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
constexpr char kBroken[] = "i-0";
constexpr milliseconds kBetweenArrivals{17};
// With these the other engines are half full, and full.
constexpr milliseconds kShortRun{3000};
constexpr milliseconds kLongRun{12000};
constexpr milliseconds kTime{6000};

struct Run {
  std::size_t entry;
  std::string engine;
  Demand demand;
  BootTime ends;
};

// Runs lost at the broken engine. Entries tell each other what they run, and
// with `share` what failed.
int LostRuns(bool share, milliseconds run_time, std::uint64_t seed) {
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
  int lost = 0;
  const auto tell = [&](std::size_t from) {
    auto usage = entries[from].OwnUsage(now);
    if (!share) {
      for (auto& [key, used] : usage) used.failures = 0;
    }
    for (std::size_t to = 0; to < kEntries; ++to) {
      if (to == from) continue;
      entries[to].reports().Replace(std::to_string(from), usage, now);
    }
  };
  for (const BootTime end = now + kTime; now < end; now += kBetweenArrivals) {
    std::erase_if(runs, [&](const Run& run) {
      if (run.ends > now) return false;
      entries[run.entry].OnEnd(run.engine, run.demand, true);
      entries[run.entry].OnResult(run.engine, AttemptResult::kServed, now);
      return true;
    });
    const std::size_t entry = any(random);
    ServerSelector& selector = entries[entry];
    const auto choice = fleet.Select(selector, demand, now);
    if (!choice.has_value()) continue;
    selector.OnStart(choice->id, demand);
    if (choice->id == kBroken) {
      ++lost;
      selector.OnEnd(choice->id, demand, false);
      selector.OnResult(choice->id, AttemptResult::kFailed, now);
    } else {
      selector.OnFirstEvent(choice->id, demand);
      runs.push_back({entry, choice->id, demand, now + run_time});
    }
    tell(entry);
  }
  return lost;
}

class BlackHoleTest : public testing::TestWithParam<std::uint64_t> {};

// A few tries tell the whole fleet, not each entry for itself.
TEST_P(BlackHoleTest, FailuresOfOneEntryWarnAllOthers) {
  const int alone = LostRuns(false, kShortRun, GetParam());
  const int together = LostRuns(true, kShortRun, GetParam());
  EXPECT_GE(alone, static_cast<int>(kEntries));
  EXPECT_LE(together, static_cast<int>(kEntries) / 2);
}

// The one engine with room is not taken because it is the only one.
TEST_P(BlackHoleTest, ABrokenEngineIsNoRoomWhereAllOthersAreFull) {
  const int together = LostRuns(true, kLongRun, GetParam());
  EXPECT_LE(together, static_cast<int>(kEntries) / 2);
}

INSTANTIATE_TEST_SUITE_P(Seeds, BlackHoleTest, testing::Values(1, 2, 3));

}  // namespace
}  // namespace balsam::dispatch
