// Forecasts an engine's memory from its running generations, and says whether
// one more can be admitted at an accepted risk of overflow.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "libraries/admission/length_model.h"

namespace balsam::admission {

// One generation that holds memory at the engine.
struct ResidentGeneration {
  // Tokens of its prompt and tokens that it has produced.
  std::int64_t prompt_tokens = 0;
  std::int64_t produced_tokens = 0;
  std::int64_t max_output_tokens = 0;
  // Outlives the forecast. Null if the length is known: `max_output_tokens`.
  const LengthModel* lengths = nullptr;
};

struct MemoryLimits {
  std::int64_t capacity_tokens = 0;
  // Kept free for what one step adds and for blocks that are partly filled.
  std::int64_t reserve_tokens = 0;
};

// Whether the resident generations, all growing in step, stay within the
// limits at every horizon but for a chance of `overflow_risk`.
bool FitsAtRisk(std::span<const ResidentGeneration> resident,
                const MemoryLimits& limits, double overflow_risk);

// The largest expected occupancy over the horizons, as a share of capacity.
double PeakLoad(std::span<const ResidentGeneration> resident,
                const MemoryLimits& limits);

// How many standard deviations above the mean a normal variable exceeds with
// chance `risk`.
double NormalQuantileAbove(double risk);

}  // namespace balsam::admission
