// Bounds what one process sends to its peers, whatever the size of the fleet:
// a token bucket of bytes.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "libraries/base/boot_clock.h"

namespace balsam::gossip {

class SendAllowance {
 public:
  // `bytes_per_second`: on average; what one second allows may be sent at once.
  explicit SendAllowance(double bytes_per_second)
      : bytes_per_second_(bytes_per_second), left_(bytes_per_second) {}

  // How many messages of `bytes` each may be sent now. One always may, so that
  // a process is heard at all.
  std::size_t Affordable(std::size_t bytes, BootTime now) {
    Refill(now);
    return static_cast<std::size_t>(
        std::max(left_ / static_cast<double>(bytes), 1.0));
  }

  // So much is sent whatever is left; later messages make up for it.
  void Spend(std::size_t bytes, BootTime now) {
    Refill(now);
    left_ -= static_cast<double>(bytes);
  }

  // Takes one message, if it may be sent now.
  bool TryTake(std::size_t bytes, BootTime now) {
    Refill(now);
    if (left_ < static_cast<double>(bytes)) return false;
    left_ -= static_cast<double>(bytes);
    return true;
  }

 private:
  void Refill(BootTime now) {
    if (taken_ != BootTime{}) {
      left_ += bytes_per_second_ *
               std::chrono::duration<double>(now - taken_).count();
    }
    taken_ = now;
    left_ = std::min(left_, bytes_per_second_);
  }

  double bytes_per_second_;
  double left_;
  BootTime taken_;
};

}  // namespace balsam::gossip
