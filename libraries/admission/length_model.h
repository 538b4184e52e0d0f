// Learns how long generations become. The hazard of ending is kept for ranges
// of lengths, from what each generation passed through, so generations that
// still run or were cut off count for the lengths that they did reach. Old
// observations fade, so a change of lengths is followed.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace balsam::admission {

class LengthModel {
 public:
  LengthModel();

  // The length ranges; range i begins at `RangeStart(i)` tokens.
  static constexpr std::size_t kRanges = 48;
  static double RangeStart(std::size_t range);
  static std::size_t RangeOf(double tokens);

  // A generation grew from `from` to `to` tokens without ending.
  void OnGrowth(std::int64_t from, std::int64_t to);
  // A generation ended by itself at `length` tokens; its growth was reported.
  void OnEnd(std::int64_t length);

  // The chance that a generation reaches `length` tokens.
  double Survival(double length) const;
  // The chance that one that produced `produced` tokens produces at least
  // `more` of them.
  double SurvivalAfter(double produced, double more) const;
  // Mean of the tokens that one with `produced` tokens is still to produce.
  double ExpectedRemaining(double produced) const;

  // Replaces the starting assumption by another model's estimates, for a
  // narrower population that has few observations of its own.
  void InheritFrom(const LengthModel& parent);
  // Generations seen, with fading.
  double observations() const { return exposure_[0]; }

 private:
  double HazardOf(std::size_t range) const;
  void Refresh() const;

  // Generations that entered each range and that ended in it, with fading.
  std::array<double, kRanges> exposure_{};
  std::array<double, kRanges> ends_{};
  // The hazards assumed before anything is observed.
  std::array<double, kRanges> prior_hazard_{};
  // Survival to each range's start; rebuilt when `stale_`.
  mutable std::array<double, kRanges + 1> survival_{};
  mutable bool stale_ = true;
};

}  // namespace balsam::admission
