// Transitions of a move.
#include "libraries/migration/move_machine.h"

namespace balsam::migration {

MoveStep MoveMachine::OnNotice() {
  if (state_ != State::kIdle) return MoveStep::kNone;
  targets_ = 0;
  return ChooseAgain();
}

MoveStep MoveMachine::ChooseAgain() {
  has_copy_ = false;
  if (++targets_ > limits_.max_targets) {
    targets_ = 0;
    state_ = State::kChoosing;
    return MoveStep::kRetryLater;
  }
  state_ = State::kChoosing;
  return MoveStep::kChooseTarget;
}

MoveStep MoveMachine::OnTarget(bool found) {
  if (state_ != State::kChoosing) return MoveStep::kNone;
  if (!found) return MoveStep::kRetryLater;
  state_ = State::kCopying;
  return MoveStep::kCopy;
}

MoveStep MoveMachine::OnCopyAnswer(CopyResult result,
                                   std::chrono::milliseconds took) {
  if (state_ == State::kCopying) {
    switch (result) {
      case CopyResult::kCopied:
        has_copy_ = true;
        if (source_broken_ || took > limits_.short_copy) {
          state_ = State::kResuming;
          return source_broken_ ? MoveStep::kResumeAtTarget
                                : MoveStep::kCloseAndResumeAtTarget;
        }
        state_ = State::kStopping;
        return MoveStep::kCopyAndStop;
      case CopyResult::kNoRoom:
        return source_broken_ ? MoveStep::kLost : ChooseAgain();
      case CopyResult::kNoSuchRun:
      case CopyResult::kBusy:
      case CopyResult::kNoAnswer:
        return source_broken_ ? OnSourceBroken() : MoveStep::kRetryLater;
    }
  }
  if (state_ != State::kStopping) return MoveStep::kNone;
  switch (result) {
    case CopyResult::kCopied:
      source_keeps_ = true;
      state_ = State::kResuming;
      return MoveStep::kResumeAtTarget;
    case CopyResult::kNoRoom:
      source_keeps_ = true;
      resuming_at_source_ = true;
      state_ = State::kResuming;
      return MoveStep::kResumeAtSource;
    case CopyResult::kBusy:
      return MoveStep::kRetryLater;
    case CopyResult::kNoSuchRun:
    case CopyResult::kNoAnswer:
      // The stream tells: it goes on, ends, or breaks.
      return source_broken_ ? OnSourceBroken() : MoveStep::kRetryLater;
  }
  return MoveStep::kNone;
}

MoveStep MoveMachine::OnSourceBroken() {
  const bool known = source_broken_;
  source_broken_ = true;
  // The answer to the call that stops the run is still to come.
  if (state_ == State::kStopping && !known) return MoveStep::kNone;
  if (state_ == State::kResuming) return MoveStep::kNone;
  if (!has_copy_) return MoveStep::kLost;
  state_ = State::kResuming;
  return MoveStep::kResumeAtTarget;
}

MoveStep MoveMachine::OnRetryTime() {
  switch (state_) {
    case State::kChoosing:
      return MoveStep::kChooseTarget;
    case State::kCopying:
      return MoveStep::kCopy;
    case State::kStopping:
      return MoveStep::kCopyAndStop;
    case State::kIdle:
    case State::kResuming:
      return MoveStep::kNone;
  }
  return MoveStep::kNone;
}

MoveStep MoveMachine::OnResumeAnswer(bool accepted) {
  if (state_ != State::kResuming) return MoveStep::kNone;
  if (accepted) {
    *this = MoveMachine(limits_);
    return MoveStep::kNone;
  }
  if (!resuming_at_source_ && source_keeps_) {
    resuming_at_source_ = true;
    return MoveStep::kResumeAtSource;
  }
  return MoveStep::kLost;
}

}  // namespace balsam::migration
