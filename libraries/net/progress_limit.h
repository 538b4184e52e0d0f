// The time that a transfer of unknown length may take. A fixed limit would cut
// off every long transfer on a slow link, and a limit on silence alone would
// never end one that trickles; so each byte received extends the time allowed.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "libraries/base/boot_clock.h"

namespace balsam::net {

class ProgressLimit {
 public:
  struct Limits {
    // The longest time without any byte; also the time allowed at first.
    std::chrono::milliseconds silence{1000};
    // Each byte extends the time allowed by what it takes at this rate.
    std::size_t min_bytes_per_second = 32 << 10;
  };

  explicit ProgressLimit(Limits limits) : limits_(limits) {}

  // `bytes` of the transfer arrived.
  void OnBytes(std::size_t bytes, BootTime now) {
    if (bytes_ == 0) started_at_ = now;
    bytes_ += bytes;
    last_received_at_ = now;
  }

  std::size_t bytes() const { return bytes_; }

  // How long the transfer may go on without another byte; zero once it is too
  // slow. Before the first byte the limit does not hold, and this is `silence`.
  std::chrono::milliseconds TimeLeft(BootTime now) const {
    if (bytes_ == 0) return limits_.silence;
    const std::chrono::duration<double> at_min_rate(
        static_cast<double>(bytes_) /
        static_cast<double>(limits_.min_bytes_per_second));
    const auto total = std::chrono::ceil<std::chrono::milliseconds>(
        started_at_ + limits_.silence + at_min_rate - now);
    const auto silent = std::chrono::ceil<std::chrono::milliseconds>(
        last_received_at_ + limits_.silence - now);
    return std::max(std::min(total, silent), std::chrono::milliseconds(0));
  }

 private:
  Limits limits_;
  std::size_t bytes_ = 0;
  // Of the first and the last byte; meaningless before it.
  BootTime started_at_;
  BootTime last_received_at_;
};

}  // namespace balsam::net
