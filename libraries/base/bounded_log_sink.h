// Writes log lines without ever waiting: a line that the reader does not take
// now, or that exceeds its event's rate, is dropped and counted, and the count
// is written with the next line that goes out.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "libraries/base/boot_clock.h"

namespace balsam {

class BoundedLogSink {
 public:
  // Lines of one event that may be written in one second.
  static constexpr std::int64_t kLinesPerSecond = 200;

  explicit BoundedLogSink(int descriptor) : descriptor_(descriptor) {}

  // `event`: what the rate is counted by. `line` ends with a newline; one that
  // a pipe does not take at once is cut. Returns whether it was written.
  bool Write(std::string_view event, std::string_view line, BootTime now);
  std::uint64_t dropped() const { return dropped_; }

 private:
  bool MayWrite(std::string_view event, BootTime now);
  bool WriteNow(std::string_view text) const;

  int descriptor_;
  BootTime second_began_;
  std::map<std::string, std::int64_t, std::less<>> lines_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_ = 0;
};

// Sends the log of this process to standard output through such a sink.
// `process` stands in every line.
void InitializeBoundedLog(std::string_view process);

}  // namespace balsam
