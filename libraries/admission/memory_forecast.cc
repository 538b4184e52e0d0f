// Normal approximation of the memory occupied at each horizon.
#include "libraries/admission/memory_forecast.h"

#include <algorithm>
#include <array>
#include <boost/math/distributions/normal.hpp>
#include <cmath>
#include <numeric>

namespace balsam::admission {
namespace {

// Numbers of steps ahead for which memory use is forecast.
constexpr std::array<double, 13> kHorizonTokens = {
    0, 8, 24, 48, 80, 128, 180, 256, 350, 500, 700, 1000, 1400};

// Number of horizons that count as independent. The accepted risk of exceeding
// the limit at any horizon is divided by it.
constexpr double kIndependentHorizons = 3.0;

// Number of observations that the learned survival is based on, as limited by
// the decay in LengthModel. Its error is common to all generations that are
// forecast with it, so it does not average out among them.
constexpr double kEffectiveObservations = 80.0;

struct Occupancy {
  double mean = 0.0;
  double variance = 0.0;
  // Sum of the individual standard deviations, with which the common error
  // grows.
  double deviation_sum = 0.0;

  double StandardDeviation() const {
    return std::sqrt(variance +
                     deviation_sum * deviation_sum / kEffectiveObservations);
  }
};

Occupancy OccupancyOf(const ResidentGeneration& generation, double horizon) {
  const auto produced = static_cast<double>(generation.produced_tokens);
  const auto limit = static_cast<double>(generation.max_output_tokens);
  if (horizon > 0 && produced + horizon > limit) return {};
  const double survival =
      generation.length_model == nullptr
          ? 1.0
          : generation.length_model->SurvivalAfter(produced, horizon);
  const double size =
      static_cast<double>(generation.prompt_tokens) + produced + horizon;
  const double deviation = std::sqrt(survival * (1.0 - survival)) * size;
  return {survival * size, deviation * deviation, deviation};
}

Occupancy TotalAt(std::span<const ResidentGeneration> resident,
                  double horizon) {
  return std::transform_reduce(
      resident.begin(), resident.end(), Occupancy{},
      [](Occupancy a, const Occupancy& b) {
        return Occupancy{a.mean + b.mean, a.variance + b.variance,
                         a.deviation_sum + b.deviation_sum};
      },
      [horizon](const ResidentGeneration& generation) {
        return OccupancyOf(generation, horizon);
      });
}

}  // namespace

double NormalQuantileAbove(double risk) {
  return boost::math::quantile(
      boost::math::complement(boost::math::normal_distribution<>(), risk));
}

bool FitsAtRisk(std::span<const ResidentGeneration> resident,
                const MemoryLimits& limits, double overflow_risk) {
  const double deviations =
      NormalQuantileAbove(overflow_risk / kIndependentHorizons);
  const auto usable_tokens =
      static_cast<double>(limits.capacity_tokens - limits.reserve_tokens);
  return std::ranges::all_of(kHorizonTokens, [&](double horizon) {
    const Occupancy total = TotalAt(resident, horizon);
    return total.mean + deviations * total.StandardDeviation() <= usable_tokens;
  });
}

double PeakLoad(std::span<const ResidentGeneration> resident,
                const MemoryLimits& limits) {
  const auto peak = std::transform_reduce(
      kHorizonTokens.begin(), kHorizonTokens.end(), 0.0,
      [](double a, double b) { return std::max(a, b); },
      [&](double horizon) { return TotalAt(resident, horizon).mean; });
  return peak /
         static_cast<double>(std::max<std::int64_t>(1, limits.capacity_tokens));
}

}  // namespace balsam::admission
