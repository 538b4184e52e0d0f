// The steps that move one live generation from an engine that leaves to
// another: copy its memory while it runs, stop it, go on at the target. Where
// copies wait long for the engine's link, there is no second one: the target
// reads the few tokens that it lacks. Free of I/O; the caller carries out each
// step and reports what came of it.
#pragma once

#include <chrono>

namespace balsam::migration {

// What came of a call that copies a run's memory.
enum class CopyResult {
  kCopied,
  // The engine has no such run now: not begun, or ended.
  kNoSuchRun,
  // Another copy of the run is under way.
  kBusy,
  // The target has no room or cannot be reached.
  kNoRoom,
  // No usable answer: the engine may have stopped the run or not.
  kNoAnswer,
};

enum class MoveStep {
  // Wait for what is under way.
  kNone,
  // Choose a target, then report it by `OnTarget`.
  kChooseTarget,
  // Copy while the run goes on.
  kCopy,
  // Stop the run and copy the rest.
  kCopyAndStop,
  // Repeat the last step a little later.
  kRetryLater,
  // Go on at the target, from the copy.
  kResumeAtTarget,
  // Close the stream at the source, which stops the run there; then go on at
  // the target, from a copy that lacks the run's last tokens.
  kCloseAndResumeAtTarget,
  // Go on at the source, which stopped the run and keeps its memory.
  kResumeAtSource,
  // There is nothing to go on from.
  kLost,
};

class MoveMachine {
 public:
  struct Limits {
    // A copy that took no longer met short transfer queues: another one for
    // the rest takes less time than a reader notices.
    std::chrono::milliseconds short_copy{60};
    // Targets tried before the run is left where it is for a while.
    int max_targets = 4;
  };

  explicit MoveMachine(Limits limits) : limits_(limits) {}

  // The source is known to leave.
  MoveStep OnNotice();
  // Whether a target with room was found.
  MoveStep OnTarget(bool found);
  // `took`: the time of this copy.
  MoveStep OnCopyAnswer(CopyResult result, std::chrono::milliseconds took);
  // The source's stream ended without the run's end.
  MoveStep OnSourceBroken();
  // The time for `kRetryLater` has passed.
  MoveStep OnRetryTime();
  // Whether the server that was to go on accepted the run.
  MoveStep OnResumeAnswer(bool accepted);

  // A move is under way.
  bool active() const { return state_ != State::kIdle; }
  // The run has stopped, or is asked to.
  bool stopping() const {
    return state_ == State::kStopping || state_ == State::kResuming;
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

  MoveStep ChooseAgain();

  Limits limits_;
  State state_ = State::kIdle;
  // The target holds a copy, perhaps an old one.
  bool has_copy_ = false;
  // The source stopped the run and keeps its memory, so far as is known.
  bool source_keeps_ = false;
  bool source_broken_ = false;
  bool resuming_at_source_ = false;
  int targets_ = 0;
};

}  // namespace balsam::migration
