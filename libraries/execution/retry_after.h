// The delay after which a caller whose request was not run may retry.
#pragma once

#include <algorithm>
#include <chrono>

namespace balsam::execution {

// After a refusal that is unrelated to load.
inline constexpr std::chrono::milliseconds kRetryAfterRefusal{1000};
// Bounds of the delay that is derived from the load. A caller should neither
// retry before anything has changed nor give up.
inline constexpr std::chrono::milliseconds kMinRetryAfter{250};
inline constexpr std::chrono::milliseconds kMaxRetryAfter{60000};

// After a refusal due to a load that is expected to last for `wait`.
constexpr std::chrono::milliseconds RetryAfter(std::chrono::milliseconds wait) {
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace balsam::execution
