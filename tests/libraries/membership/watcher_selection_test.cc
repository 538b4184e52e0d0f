// Calls to the store are priced and limited. In a fleet of hundreds of gateways
// that all watch the store, each change of one server would cause a call by
// every gateway.
#include "libraries/membership/watcher_selection.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace balsam::membership {
namespace {

using std::chrono::milliseconds;

// A fleet whose members are indexed by rank.
class Fleet {
 public:
  explicit Fleet(std::size_t size) : selections_(size, WatcherSelection({})) {
    reaches_.assign(size, false);
    can_reach_.assign(size, true);
  }

  // Watching members reach the store unless they are partitioned from it.
  void Run(milliseconds time) {
    for (const BootTime end = now_ + time; now_ < end; now_ += kCheckInterval) {
      std::vector<bool> watching(selections_.size());
      for (std::size_t i = 0; i < selections_.size(); ++i) {
        const auto before = static_cast<std::size_t>(std::count(
            reaches_.begin(), reaches_.begin() + static_cast<std::ptrdiff_t>(i),
            true));
        watching[i] = selections_[i].ShouldWatch(before, i, now_);
      }
      for (std::size_t i = 0; i < selections_.size(); ++i) {
        reaches_[i] = watching[i] && can_reach_[i];
      }
      watching_ = static_cast<std::size_t>(std::ranges::count(watching, true));
    }
  }
  void SetPartitioned(std::size_t entry, bool is_partitioned) {
    can_reach_[entry] = !is_partitioned;
  }

  std::size_t watching() const { return watching_; }
  std::size_t reaching() const {
    return static_cast<std::size_t>(std::ranges::count(reaches_, true));
  }

 private:
  static constexpr milliseconds kCheckInterval{50};
  BootTime now_ = BootTime{} + std::chrono::hours(1);
  std::vector<WatcherSelection> selections_;
  std::vector<bool> reaches_;
  std::vector<bool> can_reach_;
  std::size_t watching_ = 0;
};

constexpr std::size_t kWatchers = WatcherSelection::Limits{}.watchers;

TEST(WatcherSelectionTest, NumberOfWatchersIsIndependentOfFleetSize) {
  for (const std::size_t size : {1, 5, 24, 103, 380}) {
    Fleet fleet(size);
    fleet.Run(milliseconds(2000));
    EXPECT_EQ(fleet.watching(), std::min(size, kWatchers)) << size;
  }
}

TEST(WatcherSelectionTest, ReplacesPartitionedWatchers) {
  Fleet fleet(103);
  fleet.Run(milliseconds(2000));
  for (std::size_t i = 0; i < 4; ++i) fleet.SetPartitioned(i, true);
  fleet.Run(milliseconds(1000));
  EXPECT_GE(fleet.reaching(), kWatchers);
  // The replacements stop watching once the partition has healed.
  for (std::size_t i = 0; i < 4; ++i) fleet.SetPartitioned(i, false);
  fleet.Run(milliseconds(2000));
  EXPECT_EQ(fleet.watching(), kWatchers);
}

TEST(WatcherSelectionTest, UnavailableStoreIsNotContactedByAllAtOnce) {
  Fleet fleet(380);
  fleet.Run(milliseconds(2000));
  for (std::size_t i = 0; i < 380; ++i) fleet.SetPartitioned(i, true);
  fleet.Run(milliseconds(1000));
  EXPECT_LE(fleet.watching(), 20U);
  // Only one member can reach the store; it eventually takes over.
  fleet.SetPartitioned(200, false);
  fleet.Run(milliseconds(25000));
  EXPECT_EQ(fleet.reaching(), 1U);
}

}  // namespace
}  // namespace balsam::membership
