// Learns how the time between tokens grows with the number of generations that
// run at an engine: a line, fitted by least squares over recent tokens.
#pragma once

#include <chrono>
#include <cstdint>

namespace balsam::admission {

class StepModel {
 public:
  // One token came `gap` after the one before it, while `running` ran.
  void OnToken(std::int64_t running, std::chrono::nanoseconds gap);
  // How many times longer the gaps are expected to be with `more` running than
  // with `fewer`; at least 1. Without knowledge they are taken to grow in
  // proportion.
  double Growth(std::int64_t fewer, std::int64_t more) const;

 private:
  double Predict(double running) const;
  double Slope() const;

  // Weighted sums over tokens: of ones, of running, of gaps in seconds, and of
  // their products. Older tokens weigh less.
  double weight_ = 0.0;
  double running_ = 0.0;
  double gap_ = 0.0;
  double running_squared_ = 0.0;
  double running_gap_ = 0.0;
};

}  // namespace balsam::admission
