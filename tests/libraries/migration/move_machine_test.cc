// Live migration with success and failure of each step.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "libraries/migration/migration_state_machine.h"

namespace balsam::migration {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kShortCopy{10};
constexpr milliseconds kLongCopy{300};

class MigrationStateMachineTest : public testing::Test {
 protected:
  // Advances the machine to its first copy.
  void StartFirstCopy() {
    ASSERT_EQ(machine_.OnLeaveNotice(), MigrationStep::kChooseTarget);
    ASSERT_EQ(machine_.OnTargetResult(true), MigrationStep::kCopy);
  }
  MigrationStateMachine machine_{MigrationStateMachine::Limits{}};
};

TEST_F(MigrationStateMachineTest, CopiesStopsAndResumesAtTheTarget) {
  StartFirstCopy();
  EXPECT_EQ(machine_.OnCopyResult(CopyResult::kCopied, kShortCopy),
            MigrationStep::kStopAndCopy);
  EXPECT_TRUE(machine_.stopping());
  // The stream of a stopped run closes; the response to the call is pending.
  EXPECT_EQ(machine_.OnSourceStreamEnded(StreamEnd::kClosed),
            MigrationStep::kNone);
  EXPECT_EQ(machine_.OnCopyResult(CopyResult::kCopied, kShortCopy),
            MigrationStep::kResumeAtTarget);
  EXPECT_EQ(machine_.OnResumeResult(true), MigrationStep::kNone);
  EXPECT_FALSE(machine_.active());
}

// Guards against losing generations when an engine with many long runs leaves
// and their copies queue on its link for most of the time left: the second
// copy, which queues behind the first copies of all other runs, is not waited
// for.
TEST_F(MigrationStateMachineTest, ResumesFromTheFirstCopyWhenCopiesAreSlow) {
  StartFirstCopy();
  EXPECT_EQ(machine_.OnCopyResult(CopyResult::kCopied, kLongCopy),
            MigrationStep::kStopAndCopy);
  // Closed by the engine, which was asked to stop the run.
  EXPECT_EQ(machine_.OnSourceStreamEnded(StreamEnd::kClosed),
            MigrationStep::kResumeAtTarget);
  EXPECT_EQ(machine_.OnResumeResult(true), MigrationStep::kNone);
  EXPECT_FALSE(machine_.active());
}

// Guards against a run that goes on at two engines (review/1): its stream was
// closed instead of stopping it, and the source did not care.
TEST_F(MigrationStateMachineTest, RunIsStoppedAtItsSourceHoweverLongTheCopy) {
  for (const milliseconds took : {kShortCopy, kLongCopy}) {
    machine_ = MigrationStateMachine({});
    StartFirstCopy();
    EXPECT_EQ(machine_.OnCopyResult(CopyResult::kCopied, took),
              MigrationStep::kStopAndCopy);
    // The call that was to stop it was refused: another one is in progress.
    EXPECT_EQ(machine_.OnCopyResult(CopyResult::kBusy, kShortCopy),
              MigrationStep::kRetryLater);
    EXPECT_EQ(machine_.OnSourceStreamEnded(StreamEnd::kClosed),
              MigrationStep::kNone);
    EXPECT_EQ(machine_.OnRetryTimer(), MigrationStep::kStopAndCopy);
    EXPECT_EQ(machine_.OnCopyResult(CopyResult::kCopied, kShortCopy),
              MigrationStep::kResumeAtTarget);
  }
}

// Guards against a run that goes on at two engines: the call that was to stop
// it got no response, and its stream was reset for another reason.
TEST_F(MigrationStateMachineTest, UnansweredStopIsRepeatedWhenTheStreamEnds) {
  StartFirstCopy();
  machine_.OnCopyResult(CopyResult::kCopied, kLongCopy);
  EXPECT_EQ(machine_.OnCopyResult(CopyResult::kNoResponse, kShortCopy),
            MigrationStep::kRetryLater);
  EXPECT_EQ(machine_.OnSourceStreamEnded(StreamEnd::kClosed),
            MigrationStep::kNone);
  EXPECT_EQ(machine_.OnRetryTimer(), MigrationStep::kStopAndCopy);
  EXPECT_EQ(machine_.OnCopyResult(CopyResult::kCopied, kShortCopy),
            MigrationStep::kResumeAtTarget);
}

// Guards against a run that is lost because its source, which stopped it,
// refuses it for a moment: the last copy was refused, and the first not used.
TEST_F(MigrationStateMachineTest, RefusedLastCopyAfterALongOneUsesTheFirst) {
  StartFirstCopy();
  machine_.OnCopyResult(CopyResult::kCopied, kLongCopy);
  EXPECT_EQ(machine_.OnCopyResult(CopyResult::kNoCapacity, kShortCopy),
            MigrationStep::kResumeAtTarget);
  EXPECT_EQ(machine_.OnResumeResult(false), MigrationStep::kResumeAtSource);
  EXPECT_EQ(machine_.OnResumeResult(false), MigrationStep::kLost);
}

TEST_F(MigrationStateMachineTest, StoppedRunFallsBackToItsSource) {
  StartFirstCopy();
  machine_.OnCopyResult(CopyResult::kCopied, kLongCopy);
  machine_.OnSourceStreamEnded(StreamEnd::kClosed);
  EXPECT_EQ(machine_.OnResumeResult(false), MigrationStep::kResumeAtSource);
  EXPECT_EQ(machine_.OnResumeResult(false), MigrationStep::kLost);
}

// Guards against a run that goes on at two engines (review/13): calls that
// failed, and a stream that broke, were taken for its end.
TEST_F(MigrationStateMachineTest, FailedStopsAreRepeatedUntilTheRunIsOver) {
  for (const CopyResult proof :
       {CopyResult::kCopied, CopyResult::kNoSuchRun, CopyResult::kSourceGone}) {
    machine_ = MigrationStateMachine({});
    StartFirstCopy();
    EXPECT_EQ(machine_.OnCopyResult(CopyResult::kCopied, kShortCopy),
              MigrationStep::kStopAndCopy);
    EXPECT_EQ(machine_.OnCopyResult(CopyResult::kBusy, kShortCopy),
              MigrationStep::kRetryLater);
    EXPECT_EQ(machine_.OnSourceStreamEnded(StreamEnd::kBroken),
              MigrationStep::kNone);
    for (int i = 0; i < 20; ++i) {
      EXPECT_EQ(machine_.OnRetryTimer(), MigrationStep::kStopAndCopy);
      EXPECT_TRUE(machine_.stop_is_unproven());
      EXPECT_EQ(machine_.OnCopyResult(CopyResult::kNoResponse, kShortCopy),
                MigrationStep::kRetryLater);
    }
    EXPECT_EQ(machine_.OnRetryTimer(), MigrationStep::kStopAndCopy);
    EXPECT_EQ(machine_.OnCopyResult(proof, kShortCopy),
              MigrationStep::kResumeAtTarget);
    EXPECT_FALSE(machine_.stop_is_unproven());
  }
}

// The same after a long copy, whose successor is not waited for if the engine
// closes the stream: here it was reset.
TEST_F(MigrationStateMachineTest, BrokenStreamAfterALongCopyProvesNoStop) {
  StartFirstCopy();
  machine_.OnCopyResult(CopyResult::kCopied, kLongCopy);
  EXPECT_EQ(machine_.OnSourceStreamEnded(StreamEnd::kBroken),
            MigrationStep::kNone);
  EXPECT_EQ(machine_.OnCopyResult(CopyResult::kNoResponse, kShortCopy),
            MigrationStep::kRetryLater);
}

TEST_F(MigrationStateMachineTest, RunIsLostIfTheSourceFailsBeforeTheFirstCopy) {
  StartFirstCopy();
  EXPECT_EQ(machine_.OnSourceStreamEnded(StreamEnd::kClosed),
            MigrationStep::kLost);
}

TEST_F(MigrationStateMachineTest, TriesOtherTargetsThenWaits) {
  StartFirstCopy();
  for (int target = 1; target < MigrationStateMachine::Limits{}.max_targets;
       ++target) {
    EXPECT_EQ(machine_.OnCopyResult(CopyResult::kNoCapacity, kShortCopy),
              MigrationStep::kChooseTarget);
    EXPECT_EQ(machine_.OnTargetResult(true), MigrationStep::kCopy);
  }
  EXPECT_EQ(machine_.OnCopyResult(CopyResult::kNoCapacity, kShortCopy),
            MigrationStep::kRetryLater);
  EXPECT_EQ(machine_.OnRetryTimer(), MigrationStep::kChooseTarget);
}

TEST_F(MigrationStateMachineTest, RefusedLastCopyResumesAtTheSource) {
  StartFirstCopy();
  machine_.OnCopyResult(CopyResult::kCopied, kShortCopy);
  EXPECT_EQ(machine_.OnCopyResult(CopyResult::kNoCapacity, kShortCopy),
            MigrationStep::kResumeAtSource);
  EXPECT_EQ(machine_.OnResumeResult(false), MigrationStep::kLost);
}

// Guards against losing a stopped run in an evacuated data centre (review/11):
// the first copy was not used.
TEST_F(MigrationStateMachineTest, RefusedLastCopyUsesTheFirstWithoutASource) {
  StartFirstCopy();
  machine_.OnCopyResult(CopyResult::kCopied, kShortCopy);
  EXPECT_EQ(machine_.OnCopyResult(CopyResult::kNoCapacity, kShortCopy),
            MigrationStep::kResumeAtSource);
  EXPECT_EQ(machine_.OnSourceExcluded(), MigrationStep::kResumeAtTarget);
  EXPECT_EQ(machine_.OnResumeResult(false), MigrationStep::kLost);
}

TEST_F(MigrationStateMachineTest, TargetThatRefusedIsNotAskedAgain) {
  StartFirstCopy();
  machine_.OnCopyResult(CopyResult::kCopied, kShortCopy);
  machine_.OnCopyResult(CopyResult::kCopied, kShortCopy);
  EXPECT_EQ(machine_.OnResumeResult(false), MigrationStep::kResumeAtSource);
  EXPECT_EQ(machine_.OnSourceExcluded(), MigrationStep::kLost);
}

TEST_F(MigrationStateMachineTest, RefusedResumeFallsBackToTheSource) {
  StartFirstCopy();
  machine_.OnCopyResult(CopyResult::kCopied, kShortCopy);
  machine_.OnCopyResult(CopyResult::kCopied, kShortCopy);
  EXPECT_EQ(machine_.OnResumeResult(false), MigrationStep::kResumeAtSource);
  EXPECT_EQ(machine_.OnResumeResult(true), MigrationStep::kNone);
}

// A run that the engine does not have any more is over, but its stream may
// still bring its end.
TEST_F(MigrationStateMachineTest, MissingRunWaitsForTheEndOfTheStream) {
  StartFirstCopy();
  machine_.OnCopyResult(CopyResult::kCopied, kShortCopy);
  EXPECT_EQ(machine_.OnCopyResult(CopyResult::kNoSuchRun, kShortCopy),
            MigrationStep::kRetryLater);
  EXPECT_EQ(machine_.OnSourceStreamEnded(StreamEnd::kBroken),
            MigrationStep::kResumeAtTarget);
}

// In any sequence of results, a run is never resumed while the source may still
// be running it: it is over only by the engine's own word, or with the engine.
// A stream that the engine closes after it was asked to stop the run is its
// word.
RC_GTEST_PROP(MigrationStateMachinePropertyTest, RunIsNeverActiveOnTwoEngines,
              ()) {
  MigrationStateMachine machine{MigrationStateMachine::Limits{}};
  bool source_runs = true;
  bool stop_asked = false;
  MigrationStep step = machine.OnLeaveNotice();
  bool has_stream = true;
  for (int i = 0; i < 40 && step != MigrationStep::kLost; ++i) {
    if (step == MigrationStep::kResumeAtTarget ||
        step == MigrationStep::kResumeAtSource) {
      RC_ASSERT(!source_runs);
      step = machine.OnResumeResult(*rc::gen::arbitrary<bool>());
      if (!machine.active()) break;
      continue;
    }
    stop_asked = step == MigrationStep::kStopAndCopy;
    if (has_stream && *rc::gen::inRange(0, 8) == 0) {
      has_stream = false;
      const auto end =
          *rc::gen::element(StreamEnd::kClosed, StreamEnd::kBroken);
      if (stop_asked && end == StreamEnd::kClosed) source_runs = false;
      const MigrationStep next = machine.OnSourceStreamEnded(end);
      if (next != MigrationStep::kNone) {
        step = next;
        continue;
      }
    }
    switch (step) {
      case MigrationStep::kChooseTarget:
        step = machine.OnTargetResult(*rc::gen::arbitrary<bool>());
        break;
      case MigrationStep::kCopy:
      case MigrationStep::kStopAndCopy: {
        const auto result = static_cast<CopyResult>(*rc::gen::inRange(0, 6));
        const bool stopped = stop_asked && (result == CopyResult::kCopied ||
                                            result == CopyResult::kNoCapacity);
        const bool gone = result == CopyResult::kNoSuchRun ||
                          result == CopyResult::kSourceGone;
        if (stopped || gone) source_runs = false;
        step = machine.OnCopyResult(
            result, *rc::gen::arbitrary<bool>() ? kShortCopy : kLongCopy);
        break;
      }
      case MigrationStep::kRetryLater:
        step = machine.OnRetryTimer();
        break;
      default:
        step = MigrationStep::kLost;
        break;
    }
  }
}

}  // namespace
}  // namespace balsam::migration
