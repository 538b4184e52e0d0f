// A token bucket that limits retries to a share of first attempts, so that an
// outage does not multiply the load. Shared by all threads of an entry.
#pragma once

#include <atomic>
#include <cstdint>

namespace balsam::relay {

class RetryBudget {
 public:
  // Each first attempt adds `share` of a retry, up to `burst` retries.
  RetryBudget(double share, std::int64_t burst);

  void OnFirstAttempt();
  // Consumes one retry; returns false if none is available.
  bool TryConsumeRetry();

  double available() const;

 private:
  static constexpr std::int64_t kUnitsPerRetry = 1000;

  std::int64_t units_per_attempt_;
  std::int64_t max_units_;
  // Between 0 and `max_units_`.
  std::atomic<std::int64_t> units_;
};

}  // namespace balsam::relay
