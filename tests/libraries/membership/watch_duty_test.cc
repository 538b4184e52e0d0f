// Load: a store whose calls are priced and bounded, and a fleet of hundreds
// that all watch it: each change of one server is a call of every gateway.
#include "libraries/membership/watch_duty.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace balsam::membership {
namespace {

using std::chrono::milliseconds;

// A fleet in the order of its ranks.
class Fleet {
 public:
  explicit Fleet(std::size_t size) : duties_(size, WatchDuty({})) {
    reaches_.assign(size, false);
    can_reach_.assign(size, true);
  }

  // Whoever watches reaches the store if it can.
  void Run(milliseconds time) {
    for (const BootTime end = now_ + time; now_ < end; now_ += kLook) {
      std::vector<bool> watching(duties_.size());
      for (std::size_t i = 0; i < duties_.size(); ++i) {
        const auto before = static_cast<std::size_t>(std::count(
            reaches_.begin(), reaches_.begin() + static_cast<std::ptrdiff_t>(i),
            true));
        watching[i] = duties_[i].IsOn(before, i, now_);
      }
      for (std::size_t i = 0; i < duties_.size(); ++i) {
        reaches_[i] = watching[i] && can_reach_[i];
      }
      watching_ = static_cast<std::size_t>(std::ranges::count(watching, true));
    }
  }
  void Cut(std::size_t entry, bool is_cut) { can_reach_[entry] = !is_cut; }

  std::size_t watching() const { return watching_; }
  std::size_t reaching() const {
    return static_cast<std::size_t>(std::ranges::count(reaches_, true));
  }

 private:
  static constexpr milliseconds kLook{50};
  BootTime now_ = BootTime{} + std::chrono::hours(1);
  std::vector<WatchDuty> duties_;
  std::vector<bool> reaches_;
  std::vector<bool> can_reach_;
  std::size_t watching_ = 0;
};

constexpr std::size_t kWatchers = WatchDuty::Limits{}.watchers;

TEST(WatchDutyTest, AFewWatchHoweverLargeTheFleet) {
  for (const std::size_t size : {1, 5, 24, 103, 380}) {
    Fleet fleet(size);
    fleet.Run(milliseconds(2000));
    EXPECT_EQ(fleet.watching(), std::min(size, kWatchers)) << size;
  }
}

TEST(WatchDutyTest, OthersStepInForThoseThatAreCutOff) {
  Fleet fleet(103);
  fleet.Run(milliseconds(2000));
  for (std::size_t i = 0; i < 4; ++i) fleet.Cut(i, true);
  fleet.Run(milliseconds(1000));
  EXPECT_GE(fleet.reaching(), kWatchers);
  // And leave it to them again.
  for (std::size_t i = 0; i < 4; ++i) fleet.Cut(i, false);
  fleet.Run(milliseconds(2000));
  EXPECT_EQ(fleet.watching(), kWatchers);
}

TEST(WatchDutyTest, AStoreThatIsDownIsNotTriedByAllAtOnce) {
  Fleet fleet(380);
  fleet.Run(milliseconds(2000));
  for (std::size_t i = 0; i < 380; ++i) fleet.Cut(i, true);
  fleet.Run(milliseconds(1000));
  EXPECT_LE(fleet.watching(), 20U);
  // It refuses all but one, which is found in the end.
  fleet.Cut(200, false);
  fleet.Run(milliseconds(25000));
  EXPECT_EQ(fleet.reaching(), 1U);
}

}  // namespace
}  // namespace balsam::membership
