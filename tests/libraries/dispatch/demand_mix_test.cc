// Requests that can wait leave room for those that cannot.
//
// Load: long generations, which may start late, keep all engines full, while
// short ones that must start at once arrive among them.
#include "libraries/dispatch/demand_mix.h"

#include <gtest/gtest.h>

#include <array>
#include <cstdint>
#include <functional>
#include <queue>
#include <string>
#include <vector>

#include "tests/libraries/dispatch/engine_fleet.h"

namespace balsam::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr Urgency kUrgent{0, milliseconds(1500)};
constexpr Urgency kPatient{2, milliseconds(4000)};

class DemandMixTest : public testing::Test {
 protected:
  double LeftFree(const Urgency& urgency) {
    return mix_.MemoryLeftFree(urgency, now_);
  }

  BootTime now_ = BootTime{} + std::chrono::hours(1);
  DemandMix mix_;
};

TEST_F(DemandMixTest, OnlyThePatientLeaveRoom) {
  for (const Urgency& urgency : {kUrgent, kPatient}) {
    mix_.OnArrival(urgency, now_);
  }
  EXPECT_GT(LeftFree(kPatient), 0.0);
  EXPECT_EQ(LeftFree(kUrgent), 0.0);
}

TEST_F(DemandMixTest, SimilarObjectivesLeaveNoRoom) {
  mix_.OnArrival(kUrgent, now_);
  EXPECT_EQ(LeftFree({1, milliseconds(1800)}), 0.0);
}

TEST_F(DemandMixTest, WithoutObjectiveNothingIsUrgent) {
  const Urgency none{2, milliseconds(0)};
  mix_.OnArrival(none, now_);
  EXPECT_EQ(LeftFree(none), 0.0);
  EXPECT_EQ(LeftFree(kPatient), 0.0);
}

TEST_F(DemandMixTest, HigherPriorityNeverYields) {
  mix_.OnArrival({1, milliseconds(1500)}, now_);
  EXPECT_EQ(LeftFree({0, milliseconds(4000)}), 0.0);
  EXPECT_GT(LeftFree({1, milliseconds(4000)}), 0.0);
}

TEST_F(DemandMixTest, WithoutUrgentDemandNothingIsLeftFree) {
  EXPECT_EQ(LeftFree(kPatient), 0.0);
  mix_.OnArrival(kUrgent, now_);
  now_ += DemandMix::kWindow + milliseconds(1);
  EXPECT_EQ(LeftFree(kPatient), 0.0);
}

TEST_F(DemandMixTest, RareUrgentRequestsLeaveNoRoom) {
  for (int i = 0; i < 100; ++i) mix_.OnArrival(kPatient, now_);
  mix_.OnArrival(kUrgent, now_);
  EXPECT_EQ(LeftFree(kPatient), 0.0);
}

TEST_F(DemandMixTest, MigrationsMayUseWhatIsLeftFree) {
  EngineFleet fleet(1, now_);
  ServerSelector selector({}, 1);
  Demand demand =
      EngineFleet::Generation(fleet.traits().memory_tokens * 3 / 4, 0);
  selector.OnStart(fleet.id(0), demand);
  selector.OnFirstEvent(fleet.id(0), demand);
  demand = EngineFleet::Generation(fleet.traits().memory_tokens / 8, 0);
  EXPECT_TRUE(fleet.Select(selector, demand, now_).has_value());
  demand.memory_left_free = 0.2;
  EXPECT_FALSE(fleet.Select(selector, demand, now_).has_value());
  demand.is_migration = true;
  EXPECT_TRUE(fleet.Select(selector, demand, now_).has_value());
}

// What part of the requests found room at once.
struct Started {
  double urgent = 0.0;
  double patient = 0.0;
};

Started PlayFullFleet(bool leaves_room) {
  constexpr std::size_t kEngines = 12;
  constexpr milliseconds kUrgentInterval{80};
  constexpr milliseconds kPatientInterval{40};
  // Small ones take what the large ones of them leave.
  constexpr std::array<std::int64_t, 4> kPatientPrompts = {800, 1600, 2400,
                                                           4000};
  constexpr milliseconds kUrgentRun{400};
  constexpr milliseconds kPatientRun{6000};
  constexpr milliseconds kLength{60'000};
  const BootTime start = BootTime{} + std::chrono::hours(1);
  struct End {
    BootTime at;
    std::string server;
    Demand demand;
    bool operator>(const End& other) const { return at > other.at; }
  };
  EngineFleet fleet(kEngines, start);
  ServerSelector selector({}, 1);
  DemandMix mix;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  const auto begin = [&](const Urgency& urgency, Demand demand,
                         milliseconds run, BootTime now) {
    mix.OnArrival(urgency, now);
    if (leaves_room) demand.memory_left_free = mix.MemoryLeftFree(urgency, now);
    const auto choice = fleet.Select(selector, demand, now);
    if (!choice.has_value()) return 0;
    selector.OnStart(choice->id, demand);
    selector.OnFirstEvent(choice->id, demand);
    ends.push({now + run, choice->id, demand});
    return 1;
  };
  int urgent = 0;
  int patient = 0;
  for (milliseconds at{0}; at < kLength; at += milliseconds(10)) {
    const BootTime now = start + at;
    while (!ends.empty() && ends.top().at <= now) {
      selector.OnEnd(ends.top().server, ends.top().demand, true);
      ends.pop();
    }
    if (at % kPatientInterval == milliseconds(0)) {
      const auto prompt =
          kPatientPrompts.at(static_cast<std::size_t>(at / kPatientInterval) %
                             kPatientPrompts.size());
      patient += begin(kPatient, EngineFleet::Generation(prompt, 750),
                       kPatientRun, now);
    }
    if (at % kUrgentInterval == milliseconds(40)) {
      urgent +=
          begin(kUrgent, EngineFleet::Generation(2200, 10), kUrgentRun, now);
    }
  }
  return {static_cast<double>(urgent * kUrgentInterval.count()) /
              static_cast<double>(kLength.count()),
          static_cast<double>(patient * kPatientInterval.count()) /
              static_cast<double>(kLength.count())};
}

TEST(DemandMixLoadTest, ShortUrgentGenerationsAmongLongOnesThatFillEngines) {
  const Started before = PlayFullFleet(false);
  const Started after = PlayFullFleet(true);
  EXPECT_LT(before.urgent, 0.95);
  EXPECT_GE(after.urgent, 0.98);
  // No more than the memory that is left free.
  EXPECT_GE(after.patient, before.patient * 0.8);
}

}  // namespace
}  // namespace balsam::dispatch
