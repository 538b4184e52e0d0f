// State machine for the live migration of one generation from a leaving engine
// to another: pre-copy its memory while it runs, stop it and copy the rest,
// then resume it at the target. The run is always stopped by a call, since an
// engine may go on with it after its connection has closed. The call is
// repeated until the engine itself shows that the run is over, or is gone;
// neither a call without a response nor a stream that broke shows it. If copies
// queue for a long time on the engine's link, the second copy is not waited for
// once the engine has closed the stream, and the target prefills the few
// missing tokens. Free of I/O; the caller performs each step and reports its
// result.
#pragma once

#include <chrono>

namespace balsam::migration {

// Result of a call that copies the memory of a run.
enum class CopyResult {
  kCopied,
  // The engine has no such run: it has not started, or it has ended.
  kNoSuchRun,
  // Another copy of the run is in progress.
  kBusy,
  // The target has no capacity or is unreachable.
  kNoCapacity,
  // No usable response; the engine may or may not have stopped the run.
  kNoResponse,
  // The engine is gone, and the run with it: nothing listens there, it cannot
  // be reached, or it has started anew.
  kSourceGone,
};

// How the stream of the source ended before the run did.
enum class StreamEnd {
  // The engine closed it, as it does when it stops a run.
  kClosed,
  // It was reset, or what arrived was invalid.
  kBroken,
};

enum class MigrationStep {
  // Wait for the pending operation.
  kNone,
  // Choose a target, then report the result by `OnTargetResult`.
  kChooseTarget,
  // Copy the memory while the run continues.
  kCopy,
  // Stop the run and copy the remaining memory.
  kStopAndCopy,
  // Call `OnRetryTimer` after a short delay.
  kRetryLater,
  // Resume the run at the target from the copy.
  kResumeAtTarget,
  // Resume the run at the source, which stopped it and still holds its memory.
  kResumeAtSource,
  // The run cannot be resumed: there is no copy, or no server accepted it.
  kLost,
};

class MigrationStateMachine {
 public:
  struct Limits {
    // A copy that took at most this long met short transfer queues, so waiting
    // for a second copy of the rest interrupts the stream for less time than a
    // client notices.
    std::chrono::milliseconds max_short_copy{60};
    // Number of targets to try before waiting for a retry.
    int max_targets = 4;
  };

  explicit MigrationStateMachine(Limits limits) : limits_(limits) {}

  // The source announced that it leaves.
  MigrationStep OnLeaveNotice();
  // `found`: whether a target with capacity was found.
  MigrationStep OnTargetResult(bool found);
  // `took`: the duration of this copy.
  MigrationStep OnCopyResult(CopyResult result, std::chrono::milliseconds took);
  // The stream from the source ended before the run did.
  MigrationStep OnSourceStreamEnded(StreamEnd end);
  // The delay of `kRetryLater` has passed.
  MigrationStep OnRetryTimer();
  // `accepted`: whether the server that was to resume the run accepted it.
  MigrationStep OnResumeResult(bool accepted);
  // The source must not resume the run, although it holds its memory.
  MigrationStep OnSourceExcluded();

  // A migration is in progress.
  bool active() const { return state_ != State::kIdle; }
  // The run has been stopped or is being stopped.
  bool stopping() const {
    return state_ == State::kStopping || state_ == State::kResuming;
  }
  // The run was asked to stop, and nothing shows yet that it has.
  bool stop_is_unproven() const { return state_ == State::kStopping; }
  // The source has been asked to resume the run.
  bool resuming_at_source() const {
    return state_ == State::kResuming && resuming_at_source_;
  }
  bool choosing() const { return state_ == State::kChoosing; }
  bool has_copy() const { return has_copy_; }

 private:
  enum class State {
    kIdle,
    kChoosing,
    kCopying,
    kStopping,
    kResuming,
  };

  MigrationStep ChooseNextTarget();
  // The run is over at its source, which keeps nothing of it.
  MigrationStep ResumeWithoutSource();

  Limits limits_;
  State state_ = State::kIdle;
  // The target holds a copy, which may be outdated.
  bool has_copy_ = false;
  // The source stopped the run and, as far as is known, still holds its memory.
  bool source_holds_memory_ = false;
  bool source_stream_ended_ = false;
  // The source said that it has no such run, which had begun: it is over.
  bool run_is_missing_ = false;
  // The run was asked to stop after a long copy, so that the end of its stream
  // is all that is waited for. False after a call without a useful response.
  bool stream_end_proves_stop_ = false;
  bool resuming_at_source_ = false;
  // The target did not resume the run.
  bool target_refused_ = false;
  int targets_tried_ = 0;
};

}  // namespace balsam::migration
