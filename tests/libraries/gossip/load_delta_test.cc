// Herd effect: many entries select engines at the same time by what they know
// of each other's loads. If that is half a second old, prompts pile up at
// engines that all entries considered idle. Simulated in virtual time without a
// network.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "libraries/gossip/digest.h"
#include "libraries/gossip/load_delta_tracker.h"
#include "libraries/gossip/send_rate_limiter.h"
#include "tests/libraries/dispatch/engine_fleet.h"
#include "tests/libraries/gossip/generation_load.h"

namespace balsam::gossip {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kEntries = 24;
constexpr std::size_t kEngines = 40;
constexpr double kArrivalsPerSecond = 58.0;
constexpr milliseconds kStep{20};
constexpr milliseconds kDuration{30000};
// Limit of what one entry may send about its load.
constexpr double kBytesPerSecond = 5000.0;

struct Run {
  std::size_t entry;
  std::string engine;
  dispatch::Demand demand;
  BootTime first_event_at;
  BootTime ends_at;
  bool prefill_done = false;
};

class Simulation {
 public:
  // `use_deltas`: entries send changes of load as they occur; otherwise they
  // send the full load to their peers in turn.
  Simulation(bool use_deltas, std::uint64_t seed)
      : use_deltas_(use_deltas), random_(seed) {
    for (std::size_t i = 0; i < kEntries; ++i) {
      entries_.push_back({dispatch::ServerSelector({}, seed + i),
                          {},
                          SendRateLimiter(kBytesPerSecond)});
    }
  }

  void Simulate() {
    std::poisson_distribution<int> arrivals(
        kArrivalsPerSecond * std::chrono::duration<double>(kStep).count());
    std::uniform_int_distribution<std::size_t> entry(0, kEntries - 1);
    const BootTime end = now_ + kDuration;
    for (; now_ < end; now_ += kStep) {
      for (int remaining = arrivals(random_); remaining > 0; --remaining) {
        Arrive(entry(random_));
      }
      Advance();
      for (std::size_t i = 0; i < kEntries; ++i) Send(i);
    }
  }

  int late() const { return load_.late(); }
  int on_time() const { return load_.on_time(); }
  double bytes_per_second() const {
    return static_cast<double>(bytes_) / kEntries /
           std::chrono::duration<double>(kDuration).count();
  }

 private:
  struct Entry {
    dispatch::ServerSelector selector;
    LoadDeltaTracker load_tracker;
    SendRateLimiter rate_limiter;
    std::size_t next_peer = 0;
  };

  static std::string NameOf(std::size_t entry) {
    return "10.0.1." + std::to_string(entry);
  }

  void Arrive(std::size_t entry) {
    const auto demand = GenerationLoad::DemandPerGeneration();
    dispatch::ServerSelector& selector = entries_[entry].selector;
    const auto choice = fleet_.Select(selector, demand, now_);
    if (!choice.has_value()) return;
    selector.OnStart(choice->id, demand);
    const BootTime first_event_at = load_.Begin(choice->id, now_);
    runs_.push_back({entry, choice->id, demand, first_event_at,
                     first_event_at + GenerationLoad::kRunTime, false});
  }

  void Advance() {
    for (Run& run : runs_) {
      dispatch::ServerSelector& selector = entries_[run.entry].selector;
      if (!run.prefill_done && run.first_event_at <= now_) {
        run.prefill_done = true;
        selector.OnFirstEvent(run.engine, run.demand);
      }
      if (run.ends_at <= now_) selector.OnEnd(run.engine, run.demand, true);
    }
    std::erase_if(runs_,
                  [this](const Run& run) { return run.ends_at <= now_; });
  }

  void Send(std::size_t from) {
    Entry& entry = entries_[from];
    entry.load_tracker.Update(entry.selector.LocalUsage(now_));
    for (std::size_t tried = 0; tried + 1 < kEntries; ++tried) {
      const std::size_t to = (from + 1 + entry.next_peer) % kEntries;
      LoadUpdate update;
      bool is_full = true;
      if (use_deltas_) {
        LoadDeltaTracker::Delta delta =
            entry.load_tracker.DeltaFor(NameOf(to), now_);
        if (delta.empty()) {
          entry.next_peer = (entry.next_peer + 1) % (kEntries - 1);
          continue;
        }
        is_full = delta.is_full;
        update.load = std::move(delta.load);
      } else {
        update.load = entry.selector.LocalUsage(now_);
      }
      const std::size_t bytes = Encode(update).size();
      if (!entry.rate_limiter.TryConsume(bytes, now_)) return;
      bytes_ += bytes;
      entry.load_tracker.OnSent(NameOf(to), now_);
      entry.next_peer = (entry.next_peer + 1) % (kEntries - 1);
      dispatch::ServerSelector& receiver = entries_[to].selector;
      if (is_full) {
        receiver.reports().ReplaceReport(NameOf(from), update.load, now_);
      } else {
        receiver.reports().UpdateReport(NameOf(from), update.load, now_);
      }
    }
  }

  bool use_deltas_;
  std::mt19937_64 random_;
  BootTime now_ = BootTime{} + std::chrono::hours(1);
  dispatch::EngineFleet fleet_{kEngines, now_};
  std::vector<Entry> entries_;
  std::vector<Run> runs_;
  GenerationLoad load_;
  std::uint64_t bytes_ = 0;
};

class LoadDeltaTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(LoadDeltaTest, DeltasPreventPromptPileUp) {
  Simulation full_loads(false, GetParam());
  full_loads.Simulate();
  Simulation deltas(true, GetParam());
  deltas.Simulate();
  // Deltas stay within the rate limit and cause at most a third of the late
  // responses.
  EXPECT_LE(deltas.bytes_per_second(), kBytesPerSecond * 1.05);
  EXPECT_GE(deltas.on_time(), full_loads.on_time());
  EXPECT_LE(deltas.late() * 3, full_loads.late());
}

INSTANTIATE_TEST_SUITE_P(Seeds, LoadDeltaTest, testing::Values(1, 2, 3));

}  // namespace
}  // namespace balsam::gossip
