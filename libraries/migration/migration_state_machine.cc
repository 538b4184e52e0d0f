// Transitions of the migration state machine.
#include "libraries/migration/migration_state_machine.h"

namespace balsam::migration {

MigrationStep MigrationStateMachine::OnLeaveNotice() {
  if (state_ != State::kIdle) return MigrationStep::kNone;
  targets_tried_ = 0;
  return ChooseNextTarget();
}

MigrationStep MigrationStateMachine::ChooseNextTarget() {
  has_copy_ = false;
  if (++targets_tried_ > limits_.max_targets) {
    targets_tried_ = 0;
    state_ = State::kChoosing;
    return MigrationStep::kRetryLater;
  }
  state_ = State::kChoosing;
  return MigrationStep::kChooseTarget;
}

MigrationStep MigrationStateMachine::OnTargetResult(bool found) {
  if (state_ != State::kChoosing) return MigrationStep::kNone;
  if (!found) return MigrationStep::kRetryLater;
  state_ = State::kCopying;
  return MigrationStep::kCopy;
}

MigrationStep MigrationStateMachine::ResumeWithoutSource() {
  source_holds_memory_ = false;
  if (!has_copy_) return MigrationStep::kLost;
  state_ = State::kResuming;
  return MigrationStep::kResumeAtTarget;
}

MigrationStep MigrationStateMachine::OnCopyResult(
    CopyResult result, std::chrono::milliseconds took) {
  if (state_ == State::kCopying) {
    switch (result) {
      case CopyResult::kCopied:
        has_copy_ = true;
        stream_end_proves_stop_ = took > limits_.max_short_copy;
        state_ = State::kStopping;
        return MigrationStep::kStopAndCopy;
      case CopyResult::kNoCapacity:
        return source_stream_ended_ ? MigrationStep::kLost : ChooseNextTarget();
      case CopyResult::kNoSuchRun:
      case CopyResult::kBusy:
      case CopyResult::kNoResponse:
      case CopyResult::kSourceGone:
        return source_stream_ended_ ? MigrationStep::kLost
                                    : MigrationStep::kRetryLater;
    }
  }
  if (state_ != State::kStopping) return MigrationStep::kNone;
  switch (result) {
    case CopyResult::kCopied:
      source_holds_memory_ = true;
      state_ = State::kResuming;
      return MigrationStep::kResumeAtTarget;
    case CopyResult::kNoCapacity:
      source_holds_memory_ = true;
      state_ = State::kResuming;
      // The first copy was to serve in any case.
      if (stream_end_proves_stop_) return MigrationStep::kResumeAtTarget;
      resuming_at_source_ = true;
      return MigrationStep::kResumeAtSource;
    case CopyResult::kSourceGone:
      return ResumeWithoutSource();
    case CopyResult::kNoSuchRun:
      run_is_missing_ = true;
      // The stream shows whether the run was completed.
      return source_stream_ended_ ? ResumeWithoutSource()
                                  : MigrationStep::kRetryLater;
    case CopyResult::kBusy:
    case CopyResult::kNoResponse:
      stream_end_proves_stop_ = false;
      return MigrationStep::kRetryLater;
  }
  return MigrationStep::kNone;
}

MigrationStep MigrationStateMachine::OnSourceStreamEnded(StreamEnd end) {
  source_stream_ended_ = true;
  switch (state_) {
    case State::kIdle:
    case State::kChoosing:
    case State::kCopying:
      // The run was not asked to stop, and there is no copy.
      return MigrationStep::kLost;
    case State::kStopping:
      if (run_is_missing_) return ResumeWithoutSource();
      if (!stream_end_proves_stop_ || end != StreamEnd::kClosed) {
        return MigrationStep::kNone;
      }
      source_holds_memory_ = true;
      state_ = State::kResuming;
      return MigrationStep::kResumeAtTarget;
    case State::kResuming:
      return MigrationStep::kNone;
  }
  return MigrationStep::kNone;
}

MigrationStep MigrationStateMachine::OnRetryTimer() {
  switch (state_) {
    case State::kChoosing:
      return MigrationStep::kChooseTarget;
    case State::kCopying:
      return MigrationStep::kCopy;
    case State::kStopping:
      return MigrationStep::kStopAndCopy;
    case State::kIdle:
    case State::kResuming:
      return MigrationStep::kNone;
  }
  return MigrationStep::kNone;
}

MigrationStep MigrationStateMachine::OnResumeResult(bool accepted) {
  if (state_ != State::kResuming) return MigrationStep::kNone;
  if (accepted) {
    *this = MigrationStateMachine(limits_);
    return MigrationStep::kNone;
  }
  target_refused_ |= !resuming_at_source_;
  if (!resuming_at_source_ && source_holds_memory_) {
    resuming_at_source_ = true;
    return MigrationStep::kResumeAtSource;
  }
  return MigrationStep::kLost;
}

MigrationStep MigrationStateMachine::OnSourceExcluded() {
  if (state_ != State::kResuming) return MigrationStep::kNone;
  source_holds_memory_ = false;
  if (!has_copy_ || target_refused_) return MigrationStep::kLost;
  // The target keeps an earlier copy, and prefills what that lacks.
  resuming_at_source_ = false;
  return MigrationStep::kResumeAtTarget;
}

}  // namespace balsam::migration
