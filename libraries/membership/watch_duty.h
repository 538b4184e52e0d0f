// Which processes of a fleet watch the store, so that its load does not grow
// with the fleet: the first few by a rank on which all agree. Others stand by,
// learn changes from their peers, and step in one after the other while too few
// of those before them reach the store.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

#include "libraries/base/boot_clock.h"

namespace balsam::membership {

class WatchDuty {
 public:
  struct Limits {
    // Processes that watch. Enough that a part of them may be dead, frozen or
    // cut off unnoticed at the moment of a change.
    std::size_t watchers = 6;
    // One more may step in after each such time in which they are too few.
    std::chrono::milliseconds step{100};
  };

  explicit WatchDuty(Limits limits) : limits_(limits) {}

  // Whether this process is to watch. `reachers_before`: processes that reach
  // the store and rank before this one; `peers_before`: all that are alive and
  // do. To be asked often.
  bool IsOn(std::size_t reachers_before, std::size_t peers_before,
            BootTime now) {
    if (reachers_before >= limits_.watchers) {
      short_since_.reset();
      return false;
    }
    if (!short_since_.has_value()) short_since_ = now;
    const auto steps =
        static_cast<std::size_t>((now - *short_since_) / limits_.step);
    return peers_before < limits_.watchers + steps;
  }

  const Limits& limits() const { return limits_; }

 private:
  Limits limits_;
  // Since when too few that rank before this process reach the store.
  std::optional<BootTime> short_since_;
};

}  // namespace balsam::membership
