// Sums with exponential decay.
#include "libraries/dispatch/outcome_history.h"

#include <algorithm>
#include <cmath>

namespace balsam::dispatch {
namespace {

// Outcomes that a server is assumed to have served before anything is known.
constexpr double kPriorOutcomes = 4.0;
// What is left of an outcome after so many half-lives counts for nothing.
constexpr int kForgottenHalfLives = 10;

}  // namespace

double OutcomeHistory::RemainingShare(BootTime now) const {
  const double halves = std::chrono::duration<double>(now - faded_at_) /
                        std::chrono::duration<double>(kHalfLife);
  return std::exp2(-std::max(halves, 0.0));
}

void OutcomeHistory::Add(AttemptResult result, BootTime now) {
  if (result == AttemptResult::kNoVerdict) return;
  const double remaining = RemainingShare(now);
  for (double* weight : {&outcomes_, &served_, &failures_, &hard_failures_}) {
    *weight *= remaining;
  }
  faded_at_ = now;
  outcomes_ += 1.0;
  if (result == AttemptResult::kServed) served_ += 1.0;
  if (result == AttemptResult::kFailed) hard_failures_ += 1.0;
  if (result != AttemptResult::kServed && result != AttemptResult::kRefused) {
    failures_ += 1.0;
  }
}

double OutcomeHistory::FailureShare(std::int64_t others_failures,
                                    BootTime now) const {
  const auto others = static_cast<double>(others_failures);
  const double remaining = RemainingShare(now);
  return (others + failures_ * remaining) /
         (kPriorOutcomes + others + outcomes_ * remaining);
}

bool OutcomeHistory::IsBroken(std::int64_t others_failures,
                              BootTime now) const {
  const double remaining = RemainingShare(now);
  const double failures =
      static_cast<double>(others_failures) + hard_failures_ * remaining;
  return failures >= kBreakingFailures && failures > served_ * remaining;
}

std::int64_t OutcomeHistory::ToldFailures(BootTime now) const {
  return std::min<std::int64_t>(
      std::llround(hard_failures_ * RemainingShare(now)), kMaxToldFailures);
}

bool OutcomeHistory::IsForgotten(BootTime now) const {
  return now - faded_at_ > kForgottenHalfLives * kHalfLife;
}

}  // namespace balsam::dispatch
