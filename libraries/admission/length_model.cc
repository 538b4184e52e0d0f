// Hazard estimates and the survival curve that follows from them.
#include "libraries/admission/length_model.h"

#include <algorithm>
#include <cmath>

namespace balsam::admission {
namespace {

// Ranges grow by a constant factor, from 4 tokens to about 38,000.
constexpr double kFirstRangeTokens = 4.0;
constexpr double kRangeGrowth = 1.215;
// Weight of the prior, in generations.
constexpr double kPriorGenerations = 3.0;
// Each new observation of a range multiplies the weight of earlier ones by
// this.
constexpr double kDecay = 1.0 - 1.0 / 80.0;
// Prior distribution of lengths: lognormal.
constexpr double kPriorMedianTokens = 150.0;
constexpr double kPriorSigma = 1.2;

double LognormalSurvival(double tokens) {
  if (tokens <= 0) return 1.0;
  const double z = std::log(tokens / kPriorMedianTokens) / kPriorSigma;
  return 0.5 * std::erfc(z / std::sqrt(2.0));
}

}  // namespace

double LengthModel::RangeStart(std::size_t range) {
  if (range == 0) return 0.0;
  return kFirstRangeTokens *
         std::pow(kRangeGrowth, static_cast<double>(range - 1));
}

std::size_t LengthModel::RangeOf(double tokens) {
  if (tokens < kFirstRangeTokens) return 0;
  static const double kInverseLogGrowth = 1.0 / std::log(kRangeGrowth);
  const double steps = std::log(tokens / kFirstRangeTokens) * kInverseLogGrowth;
  return std::min(kRanges - 1, static_cast<std::size_t>(steps) + 1);
}

LengthModel::LengthModel() {
  for (std::size_t i = 0; i < kRanges; ++i) {
    const double at_start = LognormalSurvival(RangeStart(i));
    const double at_end = LognormalSurvival(RangeStart(i + 1));
    prior_hazard_[i] = at_start <= 0 ? 1.0 : 1.0 - at_end / at_start;
  }
}

void LengthModel::OnGrowth(std::int64_t from, std::int64_t to) {
  if (to <= from) return;
  const std::size_t first =
      from == 0 ? 0 : RangeOf(static_cast<double>(from)) + 1;
  const std::size_t last = RangeOf(static_cast<double>(to));
  for (std::size_t i = first; i <= last && i < kRanges; ++i) {
    exposure_[i] = exposure_[i] * kDecay + 1.0;
    ends_[i] *= kDecay;
    stale_ = true;
  }
}

void LengthModel::OnEnd(std::int64_t length) {
  ends_[RangeOf(static_cast<double>(length))] += 1.0;
  stale_ = true;
}

double LengthModel::HazardOf(std::size_t range) const {
  const double ended = ends_[range] + kPriorGenerations * prior_hazard_[range];
  const double entered = exposure_[range] + kPriorGenerations;
  return std::clamp(ended / entered, 0.0, 1.0);
}

void LengthModel::RebuildSurvival() const {
  if (!stale_) return;
  survival_[0] = 1.0;
  for (std::size_t i = 0; i < kRanges; ++i) {
    survival_[i + 1] = survival_[i] * (1.0 - HazardOf(i));
  }
  stale_ = false;
}

double LengthModel::Survival(double length) const {
  RebuildSurvival();
  const std::size_t range = RangeOf(length);
  const double start = RangeStart(range);
  const double width = RangeStart(range + 1) - start;
  const double part = std::clamp((length - start) / width, 0.0, 1.0);
  return survival_[range] + (survival_[range + 1] - survival_[range]) * part;
}

double LengthModel::SurvivalAfter(double produced, double more) const {
  const double now = Survival(produced);
  // Beyond all observed lengths there is no evidence that it will end.
  constexpr double kNegligible = 1e-9;
  if (now <= kNegligible) return 1.0;
  return std::min(1.0, Survival(produced + more) / now);
}

double LengthModel::ExpectedRemaining(double produced) const {
  const double now = std::max(Survival(produced), 1e-9);
  const std::size_t range = RangeOf(produced);
  double sum =
      (RangeStart(range + 1) - produced) * (now + survival_[range + 1]) / 2.0;
  for (std::size_t i = range + 1; i < kRanges; ++i) {
    const double width = RangeStart(i + 1) - RangeStart(i);
    sum += width * (survival_[i] + survival_[i + 1]) / 2.0;
  }
  return std::max(0.0, sum / now);
}

void LengthModel::SetPrior(const LengthModel& parent) {
  for (std::size_t i = 0; i < kRanges; ++i) {
    prior_hazard_[i] = parent.HazardOf(i);
  }
  stale_ = true;
}

}  // namespace balsam::admission
