// Forecasts the memory use of an engine from its running generations, to decide
// whether another one can be admitted at an accepted risk of overflow.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "libraries/admission/length_model.h"

namespace balsam::admission {

// A generation that holds memory at the engine.
struct ResidentGeneration {
  // Numbers of prompt tokens and of tokens produced so far.
  std::int64_t prompt_tokens = 0;
  std::int64_t produced_tokens = 0;
  std::int64_t max_output_tokens = 0;
  // Must outlive the forecast. Null if the length is known to be
  // `max_output_tokens`.
  const LengthModel* length_model = nullptr;
};

struct MemoryLimits {
  std::int64_t capacity_tokens = 0;
  // Kept free for the tokens that one step adds and for partly filled blocks.
  std::int64_t reserve_tokens = 0;
};

// Whether the resident generations, all growing by one token per step, stay
// within the limits at every horizon with a probability of at least
// `1 - overflow_risk`.
bool FitsAtRisk(std::span<const ResidentGeneration> resident,
                const MemoryLimits& limits, double overflow_risk);

// Largest expected occupancy over the horizons, as a fraction of capacity.
double PeakLoad(std::span<const ResidentGeneration> resident,
                const MemoryLimits& limits);

// The number of standard deviations above the mean that a normal variable
// exceeds with probability `risk`.
double NormalQuantileAbove(double risk);

}  // namespace balsam::admission
