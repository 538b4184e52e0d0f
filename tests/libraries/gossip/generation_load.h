// The load of the tests of loads that are told: generations of one size, at
// engines that read one prompt after the other.
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
  static constexpr std::int64_t kPrompt = 2700;
  static constexpr std::int64_t kOutput = 400;
  // From the first event to the last.
  static constexpr std::chrono::milliseconds kRunTime{3000};
  // An answer that begins later than this is late.
  static constexpr std::chrono::milliseconds kObjective{1500};

  static dispatch::Demand Work() {
    return dispatch::EngineFleet::Generation(kPrompt, kOutput);
  }

  // A generation is sent to an engine; returns when its prompt has been read.
  BootTime Begin(const std::string& engine, BootTime now) {
    BootTime& free_at = free_at_[engine];
    free_at = std::max(free_at, now) +
              std::chrono::milliseconds(
                  static_cast<int>(kPrompt / kTokensPerMillisecond));
    ++served_;
    if (free_at - now > kObjective) ++late_;
    return free_at;
  }

  int served() const { return served_; }
  int late() const { return late_; }
  int on_time() const { return served_ - late_; }

 private:
  // How fast an engine reads prompts beside its other work.
  static constexpr double kTokensPerMillisecond = 7.0;

  // When an engine has read all prompts that it was sent.
  std::map<std::string, BootTime> free_at_;
  int served_ = 0;
  int late_ = 0;
};

}  // namespace balsam::gossip
