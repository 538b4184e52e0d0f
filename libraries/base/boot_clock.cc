// Reads CLOCK_BOOTTIME; the header explains the choice.
#include "libraries/base/boot_clock.h"

#include <ctime>

namespace balsam {

BootClock::time_point BootClock::now() noexcept {
  timespec value{};
  clock_gettime(CLOCK_BOOTTIME, &value);
  return time_point(std::chrono::seconds(value.tv_sec) +
                    std::chrono::nanoseconds(value.tv_nsec));
}

ClockReading ClockReading::Now() {
  return {BootClock::now(),
          std::chrono::time_point_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now())};
}

}  // namespace balsam
