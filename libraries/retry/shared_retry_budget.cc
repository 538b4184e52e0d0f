// Counts of first attempts and retries over a sliding window.
#include "libraries/retry/shared_retry_budget.h"

#include <algorithm>

namespace balsam::retry {
namespace {

// Fraction of the budget that an entry uses. It is below 1 because an entry
// that knows of too few others would overspend the slack.
constexpr double kUsableFraction = 0.7;

void RemoveBefore(std::deque<BootTime>& times, BootTime limit) {
  while (!times.empty() && times.front() < limit) times.pop_front();
}

}  // namespace

void SharedRetryBudget::SetEntryCount(std::size_t entry_count) {
  entry_count_ = std::max<std::size_t>(entry_count, 1);
}

void SharedRetryBudget::RemoveExpired(BootTime now) {
  RemoveBefore(first_attempts_, now - limits_.window);
  RemoveBefore(retries_, now - limits_.window);
}

void SharedRetryBudget::OnFirstAttempt(BootTime now) {
  RemoveExpired(now);
  first_attempts_.push_back(now);
}

bool SharedRetryBudget::CanSpend(BootTime now) {
  RemoveExpired(now);
  const double allowed =
      limits_.ratio * static_cast<double>(first_attempts_.size()) +
      limits_.slack / static_cast<double>(entry_count_);
  return static_cast<double>(retries_.size()) + 1.0 <=
         kUsableFraction * allowed;
}

bool SharedRetryBudget::TrySpend(BootTime now) {
  if (!CanSpend(now)) return false;
  retries_.push_back(now);
  return true;
}

}  // namespace balsam::retry
