// Writes log lines without blocking. A line that the reader does not accept
// immediately, or that exceeds the rate limit of its event, is dropped. The
// number of dropped lines is written before the next line.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "libraries/base/boot_clock.h"

namespace balsam {

class BoundedLogSink {
 public:
  // Rate limit of each event.
  static constexpr std::int64_t kMaxLinesPerSecond = 200;

  explicit BoundedLogSink(int descriptor) : descriptor_(descriptor) {}

  // Writes `line`, which ends with a newline, subject to the rate limit of
  // `event`. A line longer than a pipe accepts without blocking is truncated.
  // Returns whether the line was written.
  bool Write(std::string_view event, std::string_view line, BootTime now);
  std::uint64_t dropped() const { return dropped_; }

 private:
  bool IsWithinRateLimit(std::string_view event, BootTime now);
  bool TryWrite(std::string_view text) const;

  int descriptor_;
  BootTime window_start_;
  std::map<std::string, std::int64_t, std::less<>> event_lines_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
};

// Sends the log of this process to standard output through a bounded sink.
// `process` is part of every line.
void InitializeBoundedLog(std::string_view process);

}  // namespace balsam
