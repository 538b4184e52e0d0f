// A monotonic clock that includes the time while the machine is suspended, so
// that deadlines have expired when a process resumes late.
#pragma once

#include <chrono>

namespace balsam {

// Implements the TrivialClock requirements with CLOCK_BOOTTIME.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // Name required by TrivialClock.
  static constexpr bool is_steady = true;  // NOLINT

  static time_point now() noexcept;
};

using BootTime = BootClock::time_point;
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

// One reading of both clocks: `boot` for deadlines within this process, `wall`
// for times exchanged with other processes.
struct ClockReading {
  BootTime boot;
  WallTime wall;

  static ClockReading Now();

  friend ClockReading operator+(ClockReading moment,
                                std::chrono::milliseconds later) {
    return {moment.boot + later, moment.wall + later};
  }
};

}  // namespace balsam
