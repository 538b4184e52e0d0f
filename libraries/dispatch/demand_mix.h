// Which requests leave room for others when engines are nearly full. A request
// that is admitted in the last free memory makes the next ones wait; for some
// of them that costs their callers more. Requests that can wait therefore see a
// smaller engine, as long as others that cannot wait arrive (trunk
// reservation). All entries decide alike from what each has received, without a
// message.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>

#include "libraries/base/boot_clock.h"

namespace balsam::dispatch {

// How much it costs a caller to wait.
struct Urgency {
  // 0 is the highest.
  int priority = 0;
  // A response that starts within this time is on time.
  std::chrono::milliseconds latency_objective{0};

  auto operator<=>(const Urgency&) const = default;

  // Whether a request of this urgency leaves room for one of `other`: it does
  // not outrank it, and it can still be on time when the other is late.
  bool YieldsTo(const Urgency& other) const;
};

// The recent requests for one service at this entry.
class DemandMix {
 public:
  // Requests within this time count as present demand.
  static constexpr std::chrono::milliseconds kWindow{10000};

  void OnArrival(const Urgency& urgency, BootTime now);
  // The part of an engine's memory that a request leaves free, from 0 to 1.
  double MemoryLeftFree(const Urgency& urgency, BootTime now);

 private:
  struct Arrival {
    BootTime at;
    Urgency urgency;
  };

  void RemoveExpired(BootTime now);

  // In order of arrival.
  std::deque<Arrival> arrivals_;
  // Number of `arrivals_` of each urgency; none is zero.
  std::map<Urgency, std::size_t> counts_;
};

}  // namespace balsam::dispatch
