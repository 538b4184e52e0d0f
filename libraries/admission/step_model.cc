// A fading straight line.
#include "libraries/admission/step_model.h"

#include <algorithm>

namespace balsam::admission {
namespace {

// Tokens over which the weight of one falls to about a third.
constexpr double kMemoryTokens = 20000.0;
// Below this spread of the running number, a slope would be noise.
constexpr double kMinVariance = 0.25;

}  // namespace

void StepModel::OnToken(std::int64_t running, std::chrono::nanoseconds gap) {
  const auto x = static_cast<double>(running);
  const double y = std::chrono::duration<double>(gap).count();
  constexpr double kKeep = 1.0 - 1.0 / kMemoryTokens;
  weight_ = weight_ * kKeep + 1.0;
  running_ = running_ * kKeep + x;
  gap_ = gap_ * kKeep + y;
  running_squared_ = running_squared_ * kKeep + x * x;
  running_gap_ = running_gap_ * kKeep + x * y;
}

double StepModel::Slope() const {
  const double mean_running = running_ / weight_;
  const double mean_gap = gap_ / weight_;
  const double variance =
      running_squared_ / weight_ - mean_running * mean_running;
  // The gap at most grows in proportion: a step has no negative fixed cost.
  const double most = mean_gap / std::max(mean_running, 1.0);
  if (variance < kMinVariance) return most;
  const double covariance = running_gap_ / weight_ - mean_running * mean_gap;
  return std::clamp(covariance / variance, 0.0, most);
}

double StepModel::Predict(double running) const {
  return gap_ / weight_ + Slope() * (running - running_ / weight_);
}

double StepModel::Growth(std::int64_t fewer, std::int64_t more) const {
  const auto low = static_cast<double>(std::max<std::int64_t>(fewer, 1));
  const double high = std::max(low, static_cast<double>(more));
  if (weight_ < 1.0) return high / low;
  const double before = Predict(low);
  if (before <= 0.0) return high / low;
  return std::max(1.0, Predict(high) / before);
}

}  // namespace balsam::admission
