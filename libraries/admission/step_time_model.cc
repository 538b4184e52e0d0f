// Linear regression with exponential decay.
#include "libraries/admission/step_time_model.h"

#include <algorithm>

namespace balsam::admission {
namespace {

// Number of tokens after which the weight of a token has fallen to about a
// third.
constexpr double kDecayTokens = 20000.0;
// Minimum variance of the number of running generations; below it, the slope
// would be noise.
constexpr double kMinVariance = 0.25;

}  // namespace

void StepTimeModel::OnToken(std::int64_t running,
                            std::chrono::nanoseconds gap) {
  const auto x = static_cast<double>(running);
  const double y = std::chrono::duration<double>(gap).count();
  constexpr double kDecay = 1.0 - 1.0 / kDecayTokens;
  weight_sum_ = weight_sum_ * kDecay + 1.0;
  running_sum_ = running_sum_ * kDecay + x;
  gap_sum_ = gap_sum_ * kDecay + y;
  running_squared_sum_ = running_squared_sum_ * kDecay + x * x;
  running_gap_sum_ = running_gap_sum_ * kDecay + x * y;
}

double StepTimeModel::Slope() const {
  const double mean_running = running_sum_ / weight_sum_;
  const double mean_gap = gap_sum_ / weight_sum_;
  const double variance =
      running_squared_sum_ / weight_sum_ - mean_running * mean_running;
  // The gap grows at most in proportion, since the fixed cost of a step cannot
  // be negative.
  const double max_slope = mean_gap / std::max(mean_running, 1.0);
  if (variance < kMinVariance) return max_slope;
  const double covariance =
      running_gap_sum_ / weight_sum_ - mean_running * mean_gap;
  return std::clamp(covariance / variance, 0.0, max_slope);
}

double StepTimeModel::PredictGap(double running) const {
  return gap_sum_ / weight_sum_ +
         Slope() * (running - running_sum_ / weight_sum_);
}

double StepTimeModel::SlowdownFactor(std::int64_t fewer,
                                     std::int64_t more) const {
  const auto low = static_cast<double>(std::max<std::int64_t>(fewer, 1));
  const double high = std::max(low, static_cast<double>(more));
  if (weight_sum_ < 1.0) return high / low;
  const double before = PredictGap(low);
  if (before <= 0.0) return high / low;
  return std::max(1.0, PredictGap(high) / before);
}

}  // namespace balsam::admission
