// Selection of engines by querying aggregators: each engine has an entry that
// aggregates its load from all entries and is queried before the engine is
// selected. Simulated in virtual time without a network for fleets of 5 to 380
// entries, and compared with entries that know all loads and with entries that
// know only their own.
//
// Generations arrive at all entries at the same moments, as on a large site,
// where exchanging loads between all entries takes seconds.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "libraries/gossip/aggregator_load_tracker.h"
#include "libraries/gossip/digest.h"
#include "libraries/membership/aggregator_assignment.h"
#include "tests/libraries/dispatch/engine_fleet.h"
#include "tests/libraries/gossip/generation_load.h"

namespace balsam::gossip {
namespace {

using dispatch::ServerSelector;
using std::chrono::milliseconds;

// Duration of a query and its reply; requests that arrive in one step do not
// know of each other.
constexpr milliseconds kStep{5};
constexpr milliseconds kDuration{8000};
constexpr double kDatagramLossRate = 0.05;
constexpr std::size_t kCandidates = 3;
constexpr int kRounds = 3;

struct Size {
  std::size_t entries;
  std::size_t engines;
  double arrivals_per_second;
};

void PrintTo(const Size& size, std::ostream* out) {
  *out << size.entries << " entries";
}

enum class LoadKnowledge {
  kAggregators,
  // All loads, without delay.
  kComplete,
  // Only the entry's own requests.
  kOwnRequestsOnly,
};

class Fleet {
 public:
  Fleet(Size size, LoadKnowledge knowledge)
      : size_(size), knowledge_(knowledge), engines_(size.engines, now_) {
    std::vector<std::string> names;
    for (std::size_t i = 0; i < size.entries; ++i) names.push_back(NameOf(i));
    for (std::size_t i = 0; i < size.entries; ++i) {
      entries_.push_back(std::make_unique<Entry>(names[i], i));
      entries_.back()->assignment.SetMembers(names);
      by_name_[names[i]] = entries_.back().get();
    }
  }

  void Simulate() {
    std::poisson_distribution<int> arrivals(
        size_.arrivals_per_second *
        std::chrono::duration<double>(kStep).count());
    std::uniform_int_distribution<std::size_t> any_entry(0,
                                                         entries_.size() - 1);
    const BootTime end = now_ + kDuration;
    for (; now_ < end; now_ += kStep) {
      std::vector<std::pair<Entry*, std::string>> selected;
      for (int remaining = arrivals(random_); remaining > 0; --remaining) {
        Entry& entry = *entries_[any_entry(random_)];
        ++arrived_;
        const auto choice = SelectEngine(entry);
        if (choice.has_value()) selected.emplace_back(&entry, choice->id);
      }
      for (const auto& [entry, engine] : selected) Begin(*entry, engine);
      Advance();
    }
  }

  int arrived() const { return arrived_; }
  // Number of generations that were neither rejected nor late.
  int on_time() const { return load_.on_time(); }
  double bytes_per_second() const {
    return static_cast<double>(bytes_) / static_cast<double>(entries_.size()) /
           std::chrono::duration<double>(kDuration).count();
  }

 private:
  struct Entry {
    Entry(const std::string& name, std::size_t seed)
        : name(name), selector({}, seed + 1) {}
    std::string name;
    ServerSelector selector;
    membership::AggregatorAssignment assignment;
    AggregatorLoadTracker load_tracker;
  };
  struct Run {
    Entry* entry = nullptr;
    std::string engine;
    BootTime first_event_at;
    BootTime ends_at;
    bool prefill_done = false;
  };

  static std::string NameOf(std::size_t entry) {
    return "10.0." + std::to_string(entry / 250) + "." +
           std::to_string(entry % 250 + 1);
  }
  static dispatch::Demand DemandPerGeneration() {
    return GenerationLoad::DemandPerGeneration();
  }

  std::optional<ServerSelector::Choice> SelectEngine(Entry& entry) {
    if (knowledge_ != LoadKnowledge::kAggregators) {
      return engines_.Select(knowledge_ == LoadKnowledge::kComplete
                                 ? entries_.front()->selector
                                 : entry.selector,
                             DemandPerGeneration(), now_);
    }
    for (int round = 0; round < kRounds; ++round) {
      const auto candidates = engines_.Candidates(
          entry.selector, DemandPerGeneration(), kCandidates, now_);
      for (const auto& candidate : candidates) Query(entry, candidate.id);
      auto choice = engines_.SelectAmong(entry.selector, candidates,
                                         DemandPerGeneration(), now_);
      if (choice.has_value()) return choice;
    }
    return std::nullopt;
  }

  bool IsLost() {
    return std::bernoulli_distribution(kDatagramLossRate)(losses_);
  }

  void Query(Entry& entry, const std::string& engine) {
    const std::uint32_t server = dispatch::ServerKey(engine);
    Entry& aggregator = *by_name_.at(entry.assignment.AggregatorsOf(server)[0]);
    if (&aggregator == &entry) return;
    bytes_ += Encode(LoadQuery{1, {server}}).size();
    if (IsLost()) return;
    dispatch::Usage sum = aggregator.selector.reports().ReportedUsageExcept(
        server, entry.name, now_);
    const auto own = aggregator.selector.LocalUsage(now_);
    if (const auto found = own.find(server); found != own.end()) {
      sum += found->second;
    }
    bytes_ += Encode(LoadTotals{1, {{server, sum}}}).size();
    if (!IsLost()) entry.selector.reports().SetTotal(server, sum, now_);
  }

  void Send(Entry& entry) {
    if (knowledge_ != LoadKnowledge::kAggregators) return;
    const auto updates = entry.load_tracker.TakeUpdates(
        entry.selector.LocalUsage(now_),
        [&](std::uint32_t server) {
          const auto& pair = entry.assignment.AggregatorsOf(server);
          return std::vector<std::string>(pair.begin(), pair.end());
        },
        now_);
    for (const auto& [name, load] : updates) {
      if (name == entry.name) continue;
      bytes_ += Encode(LoadUpdate{1, load}).size();
      if (IsLost()) continue;
      // The reports of all peers remain valid throughout.
      by_name_.at(name)->selector.reports().UpdateReport(
          entry.name, load, now_ + std::chrono::hours(1));
    }
  }

  // Returns the entry whose selector tracks the requests of `entry`.
  Entry& TrackingEntry(Entry& entry) {
    return knowledge_ == LoadKnowledge::kComplete ? *entries_.front() : entry;
  }

  void Begin(Entry& entry, const std::string& engine) {
    TrackingEntry(entry).selector.OnStart(engine, DemandPerGeneration());
    Send(entry);
    const BootTime first_event_at = load_.Begin(engine, now_);
    runs_.push_back({&entry, engine, first_event_at,
                     first_event_at + GenerationLoad::kRunTime, false});
  }

  void Advance() {
    std::set<Entry*> changed;
    for (Run& run : runs_) {
      if (!run.prefill_done && run.first_event_at <= now_) {
        run.prefill_done = true;
        TrackingEntry(*run.entry)
            .selector.OnFirstEvent(run.engine, DemandPerGeneration());
        changed.insert(run.entry);
      }
      if (run.ends_at <= now_) {
        TrackingEntry(*run.entry)
            .selector.OnEnd(run.engine, DemandPerGeneration(), true);
        changed.insert(run.entry);
      }
    }
    for (Entry* entry : changed) Send(*entry);
    std::erase_if(runs_,
                  [this](const Run& run) { return run.ends_at <= now_; });
  }

  Size size_;
  LoadKnowledge knowledge_;
  std::mt19937_64 random_{11};
  // Separate, so that the arrivals do not depend on the lost datagrams.
  std::mt19937_64 losses_{12};
  BootTime now_ = BootTime{} + std::chrono::hours(1);
  dispatch::EngineFleet engines_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::map<std::string, Entry*> by_name_;
  std::vector<Run> runs_;
  GenerationLoad load_;
  int arrived_ = 0;
  std::uint64_t bytes_ = 0;
};

class AggregatorTest : public testing::TestWithParam<Size> {};

TEST_P(AggregatorTest, QueryingAggregatorsServesAlmostAsManyAsFullKnowledge) {
  Fleet complete(GetParam(), LoadKnowledge::kComplete);
  complete.Simulate();
  Fleet querying(GetParam(), LoadKnowledge::kAggregators);
  querying.Simulate();
  Fleet uninformed(GetParam(), LoadKnowledge::kOwnRequestsOnly);
  uninformed.Simulate();
  ASSERT_EQ(querying.arrived(), complete.arrived());
  EXPECT_GE(querying.on_time(), complete.on_time() * 95 / 100)
      << "arrived " << complete.arrived() << ", with own requests only "
      << uninformed.on_time();
  EXPECT_GE(querying.on_time(), uninformed.on_time());
}

// The limit is that of a node's control traffic minus the traffic of digests.
TEST_P(AggregatorTest, TrafficPerEntryIsBounded) {
  Fleet querying(GetParam(), LoadKnowledge::kAggregators);
  querying.Simulate();
  constexpr double kBytesPerSecond = 5000.0;
  EXPECT_LE(querying.bytes_per_second(), kBytesPerSecond);
}

INSTANTIATE_TEST_SUITE_P(Sizes, AggregatorTest,
                         testing::Values(Size{5, 12, 17}, Size{24, 40, 58},
                                         Size{103, 144, 189},
                                         Size{380, 900, 1200}));

}  // namespace
}  // namespace balsam::gossip
