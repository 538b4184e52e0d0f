// Where many entries choose among many engines: each engine has one entry that
// keeps its book, is told of all load there, and is asked before the engine is
// chosen. In virtual time and without network, on fleets of 5 to 380 entries,
// against entries that know everything, and those that choose blindly.
//
// Load: generations that arrive at all entries at the same moments, as on a
// large site, where an exchange of loads between all takes seconds.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "libraries/gossip/digest.h"
#include "libraries/gossip/part_journal.h"
#include "libraries/membership/keepers.h"
#include "tests/libraries/dispatch/engine_fleet.h"
#include "tests/libraries/gossip/generation_load.h"

namespace balsam::gossip {
namespace {

using dispatch::ServerSelector;
using std::chrono::milliseconds;

// Questions and answers take this long; all that arrive in one step know
// nothing of each other.
constexpr milliseconds kStep{5};
constexpr milliseconds kTime{8000};
constexpr double kLostDatagrams = 0.05;
constexpr std::size_t kAsked = 3;
constexpr int kRounds = 3;

struct Size {
  std::size_t entries;
  std::size_t engines;
  double arrivals_per_second;
};

void PrintTo(const Size& size, std::ostream* out) {
  *out << size.entries << " entries";
}

enum class Knowledge {
  kKeepers,
  // Everything, at once.
  kOracle,
  // Its own requests only.
  kNone,
};

class Fleet {
 public:
  Fleet(Size size, Knowledge knowledge)
      : size_(size), knowledge_(knowledge), engines_(size.engines, now_) {
    std::vector<std::string> names;
    for (std::size_t i = 0; i < size.entries; ++i) names.push_back(NameOf(i));
    for (std::size_t i = 0; i < size.entries; ++i) {
      entries_.push_back(std::make_unique<Entry>(names[i], i));
      entries_.back()->keepers.SetMembers(names);
      by_name_[names[i]] = entries_.back().get();
    }
  }

  void Play() {
    std::poisson_distribution<int> arrivals(
        size_.arrivals_per_second *
        std::chrono::duration<double>(kStep).count());
    std::uniform_int_distribution<std::size_t> any(0, entries_.size() - 1);
    const BootTime end = now_ + kTime;
    for (; now_ < end; now_ += kStep) {
      std::vector<std::pair<Entry*, std::string>> chosen;
      for (int left = arrivals(random_); left > 0; --left) {
        Entry& entry = *entries_[any(random_)];
        ++arrived_;
        const auto choice = Choose(entry);
        if (choice.has_value()) chosen.emplace_back(&entry, choice->id);
      }
      for (const auto& [entry, engine] : chosen) Begin(*entry, engine);
      Advance();
    }
  }

  int arrived() const { return arrived_; }
  // Neither refused nor late.
  int on_time() const { return load_.on_time(); }
  double bytes_per_second() const {
    return static_cast<double>(bytes_) / static_cast<double>(entries_.size()) /
           std::chrono::duration<double>(kTime).count();
  }

 private:
  struct Entry {
    Entry(const std::string& name, std::size_t seed)
        : name(name), selector({}, seed + 1) {}
    std::string name;
    ServerSelector selector;
    membership::Keepers keepers;
    PartJournal parts;
  };
  struct Run {
    Entry* entry = nullptr;
    std::string engine;
    BootTime begins;
    BootTime ends;
    bool began = false;
  };

  static std::string NameOf(std::size_t entry) {
    return "10.0." + std::to_string(entry / 250) + "." +
           std::to_string(entry % 250 + 1);
  }
  static dispatch::Demand Work() { return GenerationLoad::Work(); }

  std::optional<ServerSelector::Choice> Choose(Entry& entry) {
    if (knowledge_ != Knowledge::kKeepers) {
      return engines_.Select(knowledge_ == Knowledge::kOracle
                                 ? entries_.front()->selector
                                 : entry.selector,
                             Work(), now_);
    }
    for (int round = 0; round < kRounds; ++round) {
      const auto candidates =
          engines_.Candidates(entry.selector, Work(), kAsked, now_);
      for (const auto& candidate : candidates) Ask(entry, candidate.id);
      auto choice =
          engines_.SelectAmong(entry.selector, candidates, Work(), now_);
      if (choice.has_value()) return choice;
    }
    return std::nullopt;
  }

  bool IsLost() { return std::bernoulli_distribution(kLostDatagrams)(losses_); }

  void Ask(Entry& entry, const std::string& engine) {
    const std::uint32_t server = dispatch::ServerKey(engine);
    Entry& keeper = *by_name_.at(entry.keepers.KeepersOf(server)[0]);
    if (&keeper == &entry) return;
    bytes_ += Encode(LoadQuestion{1, {server}}).size();
    if (IsLost()) return;
    dispatch::Usage sum =
        keeper.selector.reports().ReportedExcept(server, entry.name, now_);
    const auto own = keeper.selector.OwnUsage(now_);
    if (const auto found = own.find(server); found != own.end()) {
      sum += found->second;
    }
    bytes_ += Encode(LoadSums{1, {{server, sum}}}).size();
    if (!IsLost()) entry.selector.reports().TakeSum(server, sum, now_);
  }

  void Tell(Entry& entry) {
    if (knowledge_ != Knowledge::kKeepers) return;
    const auto news = entry.parts.TakeNews(
        entry.selector.OwnUsage(now_),
        [&](std::uint32_t server) {
          const auto& pair = entry.keepers.KeepersOf(server);
          return std::vector<std::string>(pair.begin(), pair.end());
        },
        now_);
    for (const auto& [name, load] : news) {
      if (name == entry.name) continue;
      bytes_ += Encode(LoadUpdate{1, load}).size();
      if (IsLost()) continue;
      // Peers are heard all the while.
      by_name_.at(name)->selector.reports().Change(
          entry.name, load, now_ + std::chrono::hours(1));
    }
  }

  // Whose book a run is in.
  Entry& BookOf(Entry& entry) {
    return knowledge_ == Knowledge::kOracle ? *entries_.front() : entry;
  }

  void Begin(Entry& entry, const std::string& engine) {
    BookOf(entry).selector.OnStart(engine, Work());
    Tell(entry);
    const BootTime begins = load_.Begin(engine, now_);
    runs_.push_back(
        {&entry, engine, begins, begins + GenerationLoad::kRunTime, false});
  }

  void Advance() {
    std::set<Entry*> changed;
    for (Run& run : runs_) {
      if (!run.began && run.begins <= now_) {
        run.began = true;
        BookOf(*run.entry).selector.OnFirstEvent(run.engine, Work());
        changed.insert(run.entry);
      }
      if (run.ends <= now_) {
        BookOf(*run.entry).selector.OnEnd(run.engine, Work(), true);
        changed.insert(run.entry);
      }
    }
    for (Entry* entry : changed) Tell(*entry);
    std::erase_if(runs_, [this](const Run& run) { return run.ends <= now_; });
  }

  Size size_;
  Knowledge knowledge_;
  std::mt19937_64 random_{11};
  // Apart, so that the same requests arrive whatever is lost.
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

class KeeperTest : public testing::TestWithParam<Size> {};

TEST_P(KeeperTest, WhoAsksServesAlmostAsManyAsWhoKnowsAll) {
  Fleet oracle(GetParam(), Knowledge::kOracle);
  oracle.Play();
  Fleet asking(GetParam(), Knowledge::kKeepers);
  asking.Play();
  Fleet blind(GetParam(), Knowledge::kNone);
  blind.Play();
  ASSERT_EQ(asking.arrived(), oracle.arrived());
  EXPECT_GE(asking.on_time(), oracle.on_time() * 95 / 100)
      << "arrived " << oracle.arrived() << ", blind " << blind.on_time();
  EXPECT_GE(asking.on_time(), blind.on_time());
}

// The bound of a node's control traffic, less what digests take.
TEST_P(KeeperTest, WhatEachSendsFollowsFromItsRequests) {
  Fleet asking(GetParam(), Knowledge::kKeepers);
  asking.Play();
  constexpr double kBytesPerSecond = 5000.0;
  EXPECT_LE(asking.bytes_per_second(), kBytesPerSecond);
}

INSTANTIATE_TEST_SUITE_P(Sizes, KeeperTest,
                         testing::Values(Size{5, 12, 17}, Size{24, 40, 58},
                                         Size{103, 144, 189},
                                         Size{380, 900, 1200}));

}  // namespace
}  // namespace balsam::gossip
