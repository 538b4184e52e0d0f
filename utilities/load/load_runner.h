// Sends a plan's requests at their times, whether earlier ones were answered
// or not, and times every token.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "utilities/load/load_options.h"

namespace balsam::load {

struct RequestResult {
  PlannedRequest planned;
  // HTTP status; zero if no answer came.
  int status = 0;
  // The numbered result code; zero on success.
  int code = 0;
  bool complete = false;
  std::int64_t tokens = 0;
  std::chrono::microseconds first_token{0};
  std::chrono::microseconds total{0};
  // Time without a token beyond 250 ms, summed.
  std::chrono::microseconds stall{0};
};

struct LoadResult {
  std::vector<RequestResult> requests;
  // Gaps between tokens of live answers, in milliseconds.
  std::vector<float> gaps_ms;
  std::int64_t preemptions = 0;
  std::int64_t engine_tokens = 0;
  std::chrono::microseconds elapsed{0};
  // How much later than planned the latest request was sent.
  std::chrono::microseconds latest_send{0};
};

LoadResult RunLoad(const LoadOptions& options,
                   const std::vector<PlannedRequest>& plan, bool show_progress);

}  // namespace balsam::load
