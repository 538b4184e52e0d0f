// The final result of one request.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "libraries/base/result_code.h"

namespace balsam {

struct Outcome {
  ResultCode code = ResultCode::kOk;
  RunState run_state = RunState::kUnknown;
  // Names the affected object and the reason; empty on success.
  std::string detail;
  // Time after which the caller may retry; zero if a retry would not help.
  std::chrono::milliseconds retry_after{0};
  // Number of tokens of the complete generation; zero for other requests.
  std::uint64_t total_tokens = 0;
  // The backend server's response to a request that is not a generation.
  int http_status = 0;
  std::string content_type;
  std::string body;

  bool operator==(const Outcome&) const = default;

  static Outcome NotRun(ResultCode code, std::string detail,
                        std::chrono::milliseconds retry_after = {}) {
    return {code, RunState::kNotRun, std::move(detail), retry_after, 0, 0, {},
            {}};
  }
  static Outcome Unknown(ResultCode code, std::string detail) {
    return {code, RunState::kUnknown, std::move(detail), {}, 0, 0, {}, {}};
  }
  static Outcome Ran(ResultCode code, std::string detail) {
    return {code, RunState::kRan, std::move(detail), {}, 0, 0, {}, {}};
  }
};

}  // namespace balsam
