// A retry budget that all entries share without messages on the request path.
// Within any window, the retries for a service may be at most a ratio of its
// first attempts plus a fixed slack. Each entry may spend the ratio of its own
// first attempts and an equal part of the slack.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

#include "libraries/base/boot_clock.h"

namespace balsam::retry {

class SharedRetryBudget {
 public:
  struct Limits {
    // Retries allowed for each first attempt.
    double ratio = 0.1;
    // Additional retries allowed in a window, over all entries.
    double slack = 0.0;
    std::chrono::milliseconds window{10000};
  };

  explicit SharedRetryBudget(Limits limits) : limits_(limits) {}

  // Number of entries that share the slack; at least one.
  void SetEntryCount(std::size_t entry_count);
  void OnFirstAttempt(BootTime now);
  // Spends one retry; returns false if none is left in this window.
  bool TrySpend(BootTime now);
  // Whether `TrySpend` would succeed.
  bool CanSpend(BootTime now);

 private:
  void RemoveExpired(BootTime now);

  Limits limits_;
  std::size_t entry_count_ = 1;
  // Times of first attempts and of retries within the window, oldest first.
  std::deque<BootTime> first_attempts_;
  std::deque<BootTime> retries_;
};

}  // namespace balsam::retry
