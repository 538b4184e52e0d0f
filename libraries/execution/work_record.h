// The state of one generation or call in a sidecar, from its acceptance until
// its retention ends.
#pragma once

#include <cstdint>
#include <optional>

#include "libraries/admission/length_model.h"
#include "libraries/base/boot_clock.h"
#include "libraries/base/outcome.h"
#include "libraries/execution/work_item.h"
#include "libraries/generation/token_log.h"
#include "libraries/quarantine/crash_ledger.h"

namespace balsam::execution {

// Identifies a generation or call within one incarnation of a sidecar.
using LocalId = std::uint64_t;

enum class Phase {
  // In the queue; nothing was sent to the backend server.
  kQueued,
  // Dispatched; may have reached the backend server.
  kRunning,
  // The stream from the backend server broke; the server may still be
  // generating.
  kBroken,
  // Ended with an outcome.
  kDone,
};

struct WorkRecord {
  LocalId local_id = 0;
  WorkItem work;
  Phase phase = Phase::kQueued;
  generation::TokenLog log;
  // Set once, when `phase` becomes kDone.
  std::optional<Outcome> outcome;
  // Learns the output lengths of generations of this kind; null for a call.
  admission::LengthModel* lengths = nullptr;

  BootTime queued_at;
  BootTime queue_deadline;
  BootTime started_at;
  BootTime done_at;
  BootTime resume_at;
  std::optional<BootTime> first_token_at;
  // When the last tokens arrived.
  std::optional<BootTime> last_token_at;
  int resume_attempts = 0;
  // The backend server crashed before the work proved harmless.
  bool is_suspected = false;
  int readers = 0;
  // When the request is cancelled for want of a reader; unset while a reader
  // is attached.
  std::optional<BootTime> abandon_at;

  bool IsDone() const { return phase == Phase::kDone; }
  // Whether the backend server has answered for long enough to show that the
  // work does not crash it.
  bool IsHarmless() const {
    return first_token_at.has_value() &&
           *last_token_at - *first_token_at >= quarantine::kHarmlessAfter;
  }
  bool IsOverBudget() const {
    return work.over_budget > std::chrono::milliseconds(0);
  }
  bool HoldsMemory() const {
    return work.kind == WorkKind::kGeneration &&
           (phase == Phase::kRunning || phase == Phase::kBroken);
  }
  // The end of the tokens that readers may receive. A generation that is
  // delivered whole has none until it has succeeded.
  std::uint64_t ReadableEnd() const {
    const bool complete =
        outcome.has_value() && outcome->code == ResultCode::kOk;
    return work.whole && !complete ? 0 : log.end();
  }
};

}  // namespace balsam::execution
