// Learns the distribution of output lengths as a survival curve. The hazard of
// ending is estimated for each range of lengths from the generations that
// passed through it, so generations that are still running or were cut off
// count for the lengths that they reached (censored observations). Old
// observations decay, so the model follows a change of lengths.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace balsam::admission {

class LengthModel {
 public:
  LengthModel();

  // Length ranges; range i starts at `RangeStart(i)` tokens.
  static constexpr std::size_t kRanges = 48;
  static double RangeStart(std::size_t range);
  static std::size_t RangeOf(double tokens);

  // A generation grew from `from` to `to` tokens without ending.
  void OnGrowth(std::int64_t from, std::int64_t to);
  // A generation ended by itself at `length` tokens; its growth must have been
  // reported by `OnGrowth`.
  void OnEnd(std::int64_t length);

  // The probability that a generation reaches `length` tokens.
  double Survival(double length) const;
  // The probability that a generation which has produced `produced` tokens
  // produces at least `more` further ones.
  double SurvivalAfter(double produced, double more) const;
  // Expected number of further tokens of a generation which has produced
  // `produced` tokens.
  double ExpectedRemaining(double produced) const;

  // Uses the estimates of `parent` as the prior, for a narrower population with
  // few observations of its own.
  void SetPrior(const LengthModel& parent);
  // Number of generations observed, with decay.
  double observations() const { return exposure_[0]; }

 private:
  double HazardOf(std::size_t range) const;
  void RebuildSurvival() const;

  // Numbers of generations that entered each range and that ended in it, with
  // decay.
  std::array<double, kRanges> exposure_{};
  std::array<double, kRanges> ends_{};
  // Prior hazards.
  std::array<double, kRanges> prior_hazard_{};
  // Survival to the start of each range; rebuilt when `stale_`.
  mutable std::array<double, kRanges + 1> survival_{};
  mutable bool stale_ = true;
};

}  // namespace balsam::admission
