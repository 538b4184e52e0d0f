// Exponentially decaying sums of outcomes.
#include "libraries/dispatch/outcome_history.h"

#include <algorithm>
#include <cmath>

namespace balsam::dispatch {
namespace {

// Prior: the number of successes that every server is assumed to have had.
constexpr double kPriorOutcomes = 4.0;
// After this many half-lives an outcome is negligible.
constexpr int kNegligibleHalfLives = 10;

}  // namespace

double OutcomeHistory::DecayFactor(BootTime now) const {
  const double half_lives = std::chrono::duration<double>(now - decayed_at_) /
                            std::chrono::duration<double>(kHalfLife);
  return std::exp2(-std::max(half_lives, 0.0));
}

void OutcomeHistory::Add(AttemptResult result, BootTime now) {
  if (result == AttemptResult::kInconclusive) return;
  const double decay = DecayFactor(now);
  for (double* weight :
       {&outcomes_, &succeeded_, &failures_, &hard_failures_}) {
    *weight *= decay;
  }
  decayed_at_ = now;
  outcomes_ += 1.0;
  if (result == AttemptResult::kSucceeded) succeeded_ += 1.0;
  if (result == AttemptResult::kFailed) hard_failures_ += 1.0;
  if (result != AttemptResult::kSucceeded &&
      result != AttemptResult::kRefused) {
    failures_ += 1.0;
  }
}

double OutcomeHistory::FailureRate(std::int64_t remote_failures,
                                   BootTime now) const {
  const auto remote = static_cast<double>(remote_failures);
  const double decay = DecayFactor(now);
  return (remote + failures_ * decay) /
         (kPriorOutcomes + remote + outcomes_ * decay);
}

bool OutcomeHistory::IsUnhealthy(std::int64_t remote_failures,
                                 BootTime now) const {
  const double decay = DecayFactor(now);
  const double failures =
      static_cast<double>(remote_failures) + hard_failures_ * decay;
  return failures >= kUnhealthyThreshold && failures > succeeded_ * decay;
}

std::int64_t OutcomeHistory::ReportedFailures(BootTime now) const {
  return std::min<std::int64_t>(std::llround(hard_failures_ * DecayFactor(now)),
                                kMaxReportedFailures);
}

bool OutcomeHistory::HasDecayed(BootTime now) const {
  return now - decayed_at_ > kNegligibleHalfLives * kHalfLife;
}

}  // namespace balsam::dispatch
