// Load for the tests of load exchange: generations of a fixed size on engines
// that process prompts sequentially.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "tests/libraries/dispatch/engine_fleet.h"

namespace balsam::gossip {

class GenerationLoad {
 public:
  static constexpr std::int64_t kPromptTokens = 2700;
  static constexpr std::int64_t kOutputTokens = 400;
  // From the first event to the last.
  static constexpr std::chrono::milliseconds kRunTime{3000};
  // A response whose first event comes later than this is late.
  static constexpr std::chrono::milliseconds kMaxTimeToFirstEvent{1500};

  static dispatch::Demand DemandPerGeneration() {
    return dispatch::EngineFleet::Generation(kPromptTokens, kOutputTokens);
  }

  // Starts a generation on an engine; returns when its prefill is done.
  BootTime Begin(const std::string& engine, BootTime now) {
    BootTime& prefills_done_at = prefills_done_at_[engine];
    prefills_done_at = std::max(prefills_done_at, now) +
                       std::chrono::milliseconds(static_cast<int>(
                           kPromptTokens / kTokensPerMillisecond));
    ++started_;
    if (prefills_done_at - now > kMaxTimeToFirstEvent) ++late_;
    return prefills_done_at;
  }

  int started() const { return started_; }
  int late() const { return late_; }
  int on_time() const { return started_ - late_; }

 private:
  // Prefill rate of an engine in addition to its other work.
  static constexpr double kTokensPerMillisecond = 7.0;

  // When each engine will have finished all prefills sent to it.
  std::map<std::string, BootTime> prefills_done_at_;
  int started_ = 0;
  int late_ = 0;
};

}  // namespace balsam::gossip
