// When a caller whose request was not run may come back.
#pragma once

#include <algorithm>
#include <chrono>

namespace balsam::execution {

// After a refusal that says nothing about the load.
inline constexpr std::chrono::milliseconds kRetryAfterRefusal{1000};
// Bounds on what is derived from the load: a caller shall neither come back
// before anything changed nor give up.
inline constexpr std::chrono::milliseconds kMinRetryAfter{250};
inline constexpr std::chrono::milliseconds kMaxRetryAfter{60000};

// After a refusal for load that is expected to last for `wait`.
constexpr std::chrono::milliseconds RetryAfter(std::chrono::milliseconds wait) {
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace balsam::execution
