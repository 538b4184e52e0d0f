// Limits what one process sends to its peers, independently of the size of the
// fleet: a token bucket of bytes.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "libraries/base/boot_clock.h"

namespace balsam::gossip {

class SendRateLimiter {
 public:
  // `bytes_per_second` is the average rate and the size of the largest burst.
  explicit SendRateLimiter(double bytes_per_second)
      : bytes_per_second_(bytes_per_second),
        available_bytes_(bytes_per_second) {}

  // Returns how many messages of `bytes` each may be sent now; at least one, so
  // that its peers never take the process to be unreachable.
  std::size_t SendableMessages(std::size_t bytes, BootTime now) {
    Refill(now);
    return static_cast<std::size_t>(
        std::max(available_bytes_ / static_cast<double>(bytes), 1.0));
  }

  // Records bytes that are sent even above the limit; later messages have to
  // wait until the debt is made up.
  void Consume(std::size_t bytes, BootTime now) {
    Refill(now);
    available_bytes_ -= static_cast<double>(bytes);
  }

  // Consumes the bytes of one message if it may be sent now. A message larger
  // than the largest burst may be sent when nothing was sent for a while.
  bool TryConsume(std::size_t bytes, BootTime now) {
    Refill(now);
    if (available_bytes_ <
        std::min(static_cast<double>(bytes), bytes_per_second_)) {
      return false;
    }
    available_bytes_ -= static_cast<double>(bytes);
    return true;
  }

 private:
  void Refill(BootTime now) {
    if (last_refill_ != BootTime{}) {
      available_bytes_ +=
          bytes_per_second_ *
          std::chrono::duration<double>(now - last_refill_).count();
    }
    last_refill_ = now;
    available_bytes_ = std::min(available_bytes_, bytes_per_second_);
  }

  double bytes_per_second_;
  double available_bytes_;
  BootTime last_refill_;
};

}  // namespace balsam::gossip
