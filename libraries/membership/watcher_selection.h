// Selects the processes of a fleet that watch the store, so that the load on
// the store does not grow with the fleet: the first few by a rank on which all
// processes agree. The others learn of changes from their peers, and take over
// one by one while too few of those ranked before them reach the store.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

#include "libraries/base/boot_clock.h"

namespace balsam::membership {

class WatcherSelection {
 public:
  struct Limits {
    // Number of processes that watch: enough that changes still arrive while
    // some of them are dead, frozen or partitioned without having been
    // detected.
    std::size_t watchers = 6;
    // While there are too few watchers, one more process may take over after
    // each such interval.
    std::chrono::milliseconds takeover_interval{100};
  };

  explicit WatcherSelection(Limits limits) : limits_(limits) {}

  // Returns whether this process should watch; has to be called frequently.
  // `reachers_before` is the number of processes ranked before this one that
  // reach the store, `peers_before` the number of all alive ones.
  bool ShouldWatch(std::size_t reachers_before, std::size_t peers_before,
                   BootTime now) {
    if (reachers_before >= limits_.watchers) {
      too_few_since_.reset();
      return false;
    }
    if (!too_few_since_.has_value()) too_few_since_ = now;
    const auto additional = static_cast<std::size_t>((now - *too_few_since_) /
                                                     limits_.takeover_interval);
    return peers_before < limits_.watchers + additional;
  }

  const Limits& limits() const { return limits_; }

 private:
  Limits limits_;
  // Since when too few processes ranked before this one reach the store.
  std::optional<BootTime> too_few_since_;
};

}  // namespace balsam::membership
