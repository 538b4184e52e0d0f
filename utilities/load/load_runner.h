// Open-loop load generator: sends the requests of a plan at their planned
// times, whether or not earlier ones have completed, and records when tokens
// arrive.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "utilities/load/load_options.h"

namespace balsam::load {

struct RequestResult {
  PlannedRequest planned;
  // HTTP status; zero if there was no response.
  int status = 0;
  // The numeric result code; zero on success.
  int code = 0;
  bool complete = false;
  std::int64_t tokens = 0;
  std::chrono::microseconds first_token{0};
  std::chrono::microseconds total{0};
  // Sum of the time by which gaps between tokens exceeded 250 ms.
  std::chrono::microseconds stall{0};
};

struct LoadResult {
  std::vector<RequestResult> requests;
  // Gaps between tokens of live responses, in milliseconds.
  std::vector<float> gaps_ms;
  std::int64_t preemptions = 0;
  std::int64_t engine_tokens = 0;
  std::chrono::microseconds elapsed{0};
  // The largest delay of a request against its planned time.
  std::chrono::microseconds max_send_delay{0};
};

LoadResult RunLoad(const LoadOptions& options,
                   const std::vector<PlannedRequest>& plan, bool show_progress);

}  // namespace balsam::load
