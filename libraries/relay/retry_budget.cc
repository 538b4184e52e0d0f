// Lock-free update of the retry budget.
#include "libraries/relay/retry_budget.h"

#include <algorithm>

namespace balsam::relay {

RetryBudget::RetryBudget(double share, std::int64_t burst)
    : units_per_attempt_(static_cast<std::int64_t>(
          share * static_cast<double>(kUnitsPerRetry))),
      max_units_(burst * kUnitsPerRetry),
      units_(max_units_) {}

void RetryBudget::OnFirstAttempt() {
  std::int64_t units = units_.load(std::memory_order_relaxed);
  std::int64_t next = 0;
  do {
    next = std::min(max_units_, units + units_per_attempt_);
  } while (
      !units_.compare_exchange_weak(units, next, std::memory_order_relaxed));
}

bool RetryBudget::TryConsumeRetry() {
  std::int64_t units = units_.load(std::memory_order_relaxed);
  do {
    if (units < kUnitsPerRetry) return false;
  } while (!units_.compare_exchange_weak(units, units - kUnitsPerRetry,
                                         std::memory_order_relaxed));
  return true;
}

double RetryBudget::available() const {
  return static_cast<double>(units_.load(std::memory_order_relaxed)) /
         static_cast<double>(kUnitsPerRetry);
}

}  // namespace balsam::relay
