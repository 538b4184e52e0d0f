// What a sidecar holds of one generation or call, from the moment it was taken
// on until nobody may ask for it any more.
#pragma once

#include <cstdint>
#include <optional>

#include "libraries/admission/length_model.h"
#include "libraries/base/boot_clock.h"
#include "libraries/base/outcome.h"
#include "libraries/execution/work.h"
#include "libraries/generation/token_log.h"

namespace balsam::execution {

// The number of a generation in its incarnation.
using Counter = std::uint64_t;

enum class Phase {
  // Waits; nothing of it went to the backend server.
  kQueued,
  // May have reached the backend server.
  kRunning,
  // Its stream broke; the backend server may still be generating.
  kBroken,
  // Has its outcome.
  kDone,
};

struct GenerationRecord {
  Counter counter = 0;
  Work work;
  Phase phase = Phase::kQueued;
  generation::TokenLog log;
  // Set once, when `phase` becomes kDone.
  std::optional<Outcome> outcome;
  // Where this kind of generation's lengths are learned; null for a call.
  admission::LengthModel* lengths = nullptr;

  BootTime queued_at;
  BootTime queue_deadline;
  BootTime started_at;
  BootTime done_at;
  BootTime resume_at;
  // When its last tokens came.
  std::optional<BootTime> grown_at;
  int resume_attempts = 0;
  int readers = 0;
  // When the work is given up because nobody reads it; none while a reader is
  // attached.
  std::optional<BootTime> abandon_at;

  bool IsDone() const { return phase == Phase::kDone; }
  bool IsOverBudget() const {
    return work.over_budget > std::chrono::milliseconds(0);
  }
  bool HoldsMemory() const {
    return work.kind == WorkKind::kGeneration &&
           (phase == Phase::kRunning || phase == Phase::kBroken);
  }
  // The sequence number up to which readers may have tokens: a generation that
  // is delivered whole shows nothing until it has succeeded.
  std::uint64_t ReadableEnd() const {
    const bool complete =
        outcome.has_value() && outcome->code == ResultCode::kOk;
    return work.whole && !complete ? 0 : log.end();
  }
};

}  // namespace balsam::execution
