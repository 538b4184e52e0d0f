// Measures one generation for the metrics: queueing time, time to first token,
// gaps between tokens, stall time and preemptions.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "libraries/base/boot_clock.h"
#include "libraries/telemetry/request_metrics.h"

namespace balsam::sidecar {

class TokenTimer {
 public:
  explicit TokenTimer(telemetry::RequestInstruments& instruments,
                      BootTime queued_at)
      : instruments_(&instruments), queued_at_(queued_at) {}

  void OnDispatched(BootTime now);
  // `count` tokens arrived together.
  void OnTokens(std::uint64_t count, BootTime now);
  void OnPreempted() { ++preemptions_; }
  // Records the totals of the generation.
  void OnEnd();

 private:
  telemetry::RequestInstruments* instruments_;
  BootTime queued_at_;
  std::optional<BootTime> last_token_;
  std::chrono::nanoseconds stall_{0};
  int preemptions_ = 0;
};

}  // namespace balsam::sidecar
