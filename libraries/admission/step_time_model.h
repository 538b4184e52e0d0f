// Learns how the time between tokens depends on the number of generations that
// run at an engine, by linear least squares over recent tokens.
#pragma once

#include <chrono>
#include <cstdint>

namespace balsam::admission {

class StepTimeModel {
 public:
  // A token arrived `gap` after the previous one of its generation, while
  // `running` generations ran.
  void OnToken(std::int64_t running, std::chrono::nanoseconds gap);
  // The factor by which gaps are expected to grow when `more` generations run
  // instead of `fewer`; at least 1. Without observations, gaps are assumed to
  // grow in proportion.
  double SlowdownFactor(std::int64_t fewer, std::int64_t more) const;

 private:
  double PredictGap(double running) const;
  double Slope() const;

  // Sums over tokens, decaying with age: of weights, of running generations, of
  // gaps in seconds, and of their products.
  double weight_sum_ = 0.0;
  double running_sum_ = 0.0;
  double gap_sum_ = 0.0;
  double running_squared_sum_ = 0.0;
  double running_gap_sum_ = 0.0;
};

}  // namespace balsam::admission
