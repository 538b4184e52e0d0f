// Sequences of calls to the executor, one for each kind of fault.
#include "libraries/execution/executor.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "tests/libraries/execution/work_builder.h"

namespace balsam::execution {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr milliseconds kTick{100};

class ExecutorTest : public testing::Test {
 protected:
  ExecutorTest() : executor_(ConfigOf("a"), now_) {
    executor_.key_ownership().AdoptList(ListOf(1, {"a"}), now_.wall);
    // Keys are accepted only if they were created after the sidecar's first
    // list, by more than the grace period of removed VMs and the clock error.
    AdvanceTime(seconds(15));
  }

  // Advances time for a running process. Adding to `now_` alone simulates a
  // suspended process.
  void AdvanceTime(milliseconds duration) {
    for (milliseconds elapsed{0}; elapsed < duration; elapsed += kTick) {
      now_ = now_ + kTick;
      executor_.Tick(now_);
    }
  }

  LocalId Accept(WorkItem work) {
    work.received = now_.wall;
    const SubmitResult result = executor_.Submit(std::move(work), now_);
    EXPECT_TRUE(std::holds_alternative<Accepted>(result));
    return std::get<Accepted>(result).local_id;
  }
  Outcome SubmitRefused(WorkItem work) {
    work.received = now_.wall;
    const SubmitResult result = executor_.Submit(std::move(work), now_);
    EXPECT_TRUE(std::holds_alternative<Outcome>(result));
    return std::get<Outcome>(result);
  }
  Outcome OutcomeOf(LocalId local_id) {
    const WorkRecord* record = executor_.Find(local_id);
    return record != nullptr ? record->outcome.value_or(Outcome{}) : Outcome{};
  }
  WorkItem KeyedCall() { return CallWithKey(KeyCreatedAt(now_.wall)); }

  ClockReading now_ = StartTime();
  Executor executor_;
};

// Guards against a peer's confirmation that waited while this process was
// suspended and possibly replaced.
TEST_F(ExecutorTest, ConfirmationOfBeforeASuspensionConfirmsNothing) {
  KeyOwnership& ownership = executor_.key_ownership();
  ownership.AdoptList(ListOf(2, {"a", "b"}), now_.wall);
  const std::uint64_t round = ownership.confirmation_round();
  now_ = now_ + seconds(5);
  executor_.Tick(now_);
  const Confirmation confirmation{"b", 1, 2, false, false};
  ownership.OnConfirmation(confirmation, round, now_.wall);
  EXPECT_EQ(ownership.UnconfirmedPeers(), std::vector<std::string>{"b"});
  ownership.OnConfirmation(confirmation, ownership.confirmation_round(),
                           now_.wall);
  EXPECT_TRUE(ownership.UnconfirmedPeers().empty());
}

class ExecutorNotRunTest : public ExecutorTest {};

TEST_F(ExecutorNotRunTest, CancelledBeforeDispatchIsNotRunAndNeverDispatched) {
  const LocalId local_id = Accept(Call());
  executor_.Cancel(local_id, now_);
  EXPECT_EQ(OutcomeOf(local_id).run_state, RunState::kNotRun);
  EXPECT_TRUE(executor_.TakeDispatches(now_).empty());
}

TEST_F(ExecutorNotRunTest, CancelledAfterDispatchIsNeverNotRun) {
  const LocalId call = Accept(Call());
  const LocalId generation = Accept(Generation());
  EXPECT_EQ(executor_.TakeDispatches(now_).size(), 2U);
  executor_.Cancel(call, now_);
  executor_.Cancel(generation, now_);
  EXPECT_FALSE(executor_.Find(call)->IsDone());
  EXPECT_EQ(OutcomeOf(generation).run_state, RunState::kRan);
}

TEST_F(ExecutorNotRunTest,
       WorkWhoseQueueDeadlinePassedDuringAPauseIsNotDispatched) {
  const LocalId local_id = Accept(Call());
  now_ = now_ + seconds(60);
  EXPECT_TRUE(executor_.TakeDispatches(now_).empty());
  EXPECT_EQ(OutcomeOf(local_id).code, ResultCode::kDeadlineInQueue);
  EXPECT_EQ(OutcomeOf(local_id).run_state, RunState::kNotRun);
}

TEST_F(ExecutorNotRunTest, ARequestReadAfterItsQueueDeadlineIsRefused) {
  WorkItem work = Call();
  work.received = now_.wall;
  now_ = now_ + work.queue_deadline + seconds(2);
  const SubmitResult result = executor_.Submit(work, now_);
  ASSERT_TRUE(std::holds_alternative<Outcome>(result));
  EXPECT_EQ(std::get<Outcome>(result).run_state, RunState::kNotRun);
}

TEST_F(ExecutorNotRunTest, ACallWhoseConnectionBreaksIsUnknownAtOnce) {
  const LocalId local_id = Accept(Call());
  executor_.TakeDispatches(now_);
  executor_.OnStreamBroken(local_id, "cut", now_);
  EXPECT_EQ(OutcomeOf(local_id).run_state, RunState::kUnknown);
}

TEST_F(ExecutorNotRunTest, ACallThatWasNotSentIsNotRun) {
  const LocalId local_id = Accept(Call());
  executor_.TakeDispatches(now_);
  executor_.OnNotSent(local_id, "refused", now_);
  EXPECT_EQ(OutcomeOf(local_id).run_state, RunState::kNotRun);
}

TEST_F(ExecutorNotRunTest, ACallThatExceedsItsRunDeadlineIsUnknown) {
  const LocalId local_id = Accept(Call());
  executor_.TakeDispatches(now_);
  now_ = now_ + seconds(600);
  executor_.Tick(now_);
  EXPECT_EQ(OutcomeOf(local_id).run_state, RunState::kUnknown);
}

class ExecutorAtMostOnceTest : public ExecutorTest {};

TEST_F(ExecutorAtMostOnceTest, AResentKeyReturnsTheFirstExecution) {
  const WorkItem work = KeyedCall();
  const LocalId first = Accept(work);
  EXPECT_EQ(executor_.TakeDispatches(now_).size(), 1U);
  EXPECT_EQ(Accept(work), first);
  Outcome done;
  done.run_state = RunState::kRan;
  done.body = "released";
  executor_.OnCompleted(first, done, now_);
  AdvanceTime(minutes(5));
  EXPECT_EQ(Accept(work), first);
  EXPECT_EQ(OutcomeOf(first).body, "released");
  EXPECT_TRUE(executor_.TakeDispatches(now_).empty());
}

TEST_F(ExecutorAtMostOnceTest, AKeyOfAnotherWorkspaceIsAnotherKey) {
  WorkItem work = KeyedCall();
  const LocalId first = Accept(work);
  work.workspace = "other";
  EXPECT_NE(Accept(work), first);
}

TEST_F(ExecutorAtMostOnceTest, AKeyUsedForAnotherRequestIsRefused) {
  WorkItem work = KeyedCall();
  Accept(work);
  work.fingerprint += 1;
  EXPECT_EQ(SubmitRefused(work).code, ResultCode::kKeyReusedForOtherRequest);
}

TEST_F(ExecutorAtMostOnceTest, AnExpiredKeyIsUnknownAndNotRunAgain) {
  const WorkItem work = KeyedCall();
  const LocalId first = Accept(work);
  executor_.TakeDispatches(now_);
  executor_.OnCompleted(first, Outcome{}, now_);
  AdvanceTime(minutes(60));
  EXPECT_EQ(executor_.Find(first), nullptr);
  EXPECT_EQ(SubmitRefused(work).run_state, RunState::kUnknown);
}

TEST_F(ExecutorAtMostOnceTest, AKeyOlderThanTheSidecarIsUnknown) {
  const WorkItem work = CallWithKey(KeyCreatedAt(now_.wall - minutes(1)));
  EXPECT_EQ(SubmitRefused(work).code, ResultCode::kKeyHistoryUnknown);
}

TEST_F(ExecutorAtMostOnceTest, AKeyCreatedDuringAPauseIsUnknown) {
  now_ = now_ + seconds(20);
  const WorkItem work = CallWithKey(KeyCreatedAt(now_.wall));
  EXPECT_EQ(SubmitRefused(work).code, ResultCode::kKeyHistoryUnknown);
  EXPECT_EQ(executor_.pauses(), 1U);
}

TEST_F(ExecutorAtMostOnceTest, AKeyWithoutCreationTimeIsRefusedForOneLifetime) {
  WorkItem work = CallWithKey(KeyOf("opaque-key-1"));
  EXPECT_EQ(SubmitRefused(work).code, ResultCode::kKeyHistoryUnknown);
  AdvanceTime(ConfigOf("a").keys.key_lifetime + seconds(10));
  work.key = KeyOf("opaque-key-2");
  Accept(work);
}

TEST_F(ExecutorAtMostOnceTest, ACopySentBeforeTheNotRunAnswerStaysNotRun) {
  WorkItem work = KeyedCall();
  work.received = now_.wall;
  const WorkItem late_copy = work;
  const LocalId first = Accept(work);
  executor_.Cancel(first, now_);
  ASSERT_EQ(OutcomeOf(first).run_state, RunState::kNotRun);
  now_ = now_ + milliseconds(200);
  const SubmitResult copy = executor_.Submit(late_copy, now_);
  ASSERT_TRUE(std::holds_alternative<Outcome>(copy));
  EXPECT_EQ(std::get<Outcome>(copy).run_state, RunState::kNotRun);
  EXPECT_TRUE(executor_.TakeDispatches(now_).empty());
  // The caller retries after the "not run" answer: now it runs.
  AdvanceTime(seconds(2));
  Accept(work);
  EXPECT_EQ(executor_.TakeDispatches(now_).size(), 1U);
}

TEST_F(ExecutorAtMostOnceTest, ACopySentBeforeTheQueueFullRefusalStaysNotRun) {
  WorkItem work = KeyedCall();
  work.queue_limit = 0;
  const Outcome refused = SubmitRefused(work);
  EXPECT_EQ(refused.run_state, RunState::kNotRun);
  work.queue_limit = 64;
  work.received = now_.wall;
  const SubmitResult copy = executor_.Submit(work, now_);
  EXPECT_TRUE(std::holds_alternative<Outcome>(copy));
}

TEST_F(ExecutorAtMostOnceTest, ATicketRunsOnceInItsIncarnationOnly) {
  WorkItem work = Call();
  work.ticket = executor_.IssueTicket(work.workspace, now_);
  const LocalId first = Accept(work);
  EXPECT_EQ(executor_.TakeDispatches(now_).size(), 1U);
  EXPECT_EQ(Accept(work), first);
  ExecutorConfig config = ConfigOf("a");
  config.incarnation += 1;
  Executor restarted(config, now_);
  const SubmitResult there = restarted.Submit(work, now_);
  ASSERT_TRUE(std::holds_alternative<Outcome>(there));
  EXPECT_EQ(std::get<Outcome>(there).run_state, RunState::kUnknown);
}

TEST_F(ExecutorAtMostOnceTest, ATicketOfAnotherWorkspaceIsRefused) {
  WorkItem work = Call();
  work.ticket = executor_.IssueTicket("other", now_);
  EXPECT_EQ(SubmitRefused(work).code, ResultCode::kTicketExpired);
}

class ExecutorOwnAnswerTest : public ExecutorTest {};

TEST_F(ExecutorOwnAnswerTest, AGenerationIsVisibleToItsWorkspaceOnly) {
  const LocalId local_id = Accept(Generation());
  const auto id = executor_.IdOf(local_id);
  EXPECT_NE(executor_.Find(id, Generation().workspace), nullptr);
  EXPECT_EQ(executor_.Find(id, "other"), nullptr);
  auto earlier = id;
  earlier.incarnation -= 1;
  EXPECT_EQ(executor_.Find(earlier, Generation().workspace), nullptr);
}

class ExecutorTokensOnceTest : public ExecutorTest {};

TEST_F(ExecutorTokensOnceTest, ABrokenStreamIsResumedFromTheNextToken) {
  const LocalId local_id = Accept(Generation());
  executor_.TakeDispatches(now_);
  const std::vector<std::string> tokens = {"a", "b"};
  executor_.OnTokens(local_id, 0, tokens, now_);
  executor_.OnStreamBroken(local_id, "cut", now_);
  EXPECT_TRUE(executor_.TakeResumes(now_).empty());
  now_ = now_ + seconds(1);
  const auto resumes = executor_.TakeResumes(now_);
  ASSERT_EQ(resumes.size(), 1U);
  EXPECT_EQ(resumes[0], std::pair(local_id, std::uint64_t{2}));
  // The engine repeats a token, which must be stored once.
  const std::vector<std::string> repeated = {"b", "c"};
  executor_.OnTokens(local_id, 1, repeated, now_);
  EXPECT_EQ(executor_.Find(local_id)->log.end(), 3U);
}

// What a stream sends after it was given up must not complete the generation,
// nor become a token of it.
TEST_F(ExecutorTokensOnceTest, NothingOfAStreamThatWasGivenUpCounts) {
  const LocalId local_id = Accept(Generation());
  executor_.TakeDispatches(now_);
  const std::vector<std::string> tokens = {"a", "b"};
  executor_.OnTokens(local_id, 0, tokens, now_);
  const std::vector<std::string> after_gap = {"d"};
  executor_.OnTokens(local_id, 3, after_gap, now_);
  const std::vector<std::string> wrong = {"x"};
  executor_.OnTokens(local_id, 2, wrong, now_);
  EXPECT_EQ(executor_.Find(local_id)->log.end(), 2U);
  executor_.OnCompleted(local_id, Outcome{}, now_);
  EXPECT_FALSE(executor_.Find(local_id)->IsDone());
  now_ = now_ + seconds(1);
  EXPECT_EQ(executor_.TakeResumes(now_).size(), 1U);
  const std::vector<std::string> rest = {"c", "d"};
  executor_.OnTokens(local_id, 2, rest, now_);
  executor_.OnCompleted(local_id, Outcome{}, now_);
  EXPECT_EQ(OutcomeOf(local_id).code, ResultCode::kOk);
  EXPECT_EQ(OutcomeOf(local_id).total_tokens, 4U);
}

// The engine would go on with a generation that nobody can read.
TEST_F(ExecutorTokensOnceTest, AStreamThatCannotBeResumedIsCancelled) {
  const LocalId local_id = Accept(Generation());
  executor_.TakeDispatches(now_);
  for (int i = 0; i <= ConfigOf("a").max_resume_attempts; ++i) {
    executor_.OnStreamBroken(local_id, "cut", now_);
    now_ = now_ + seconds(1);
    executor_.TakeResumes(now_);
  }
  EXPECT_EQ(OutcomeOf(local_id).code, ResultCode::kBackendServerLost);
  EXPECT_EQ(executor_.TakeCancellations(), std::vector<LocalId>{local_id});
}

TEST_F(ExecutorTokensOnceTest, AWholeDeliveryIsUnreadableUntilItSucceeds) {
  WorkItem work = Generation();
  work.whole = true;
  const LocalId local_id = Accept(work);
  executor_.TakeDispatches(now_);
  const std::vector<std::string> tokens = {"a", "b"};
  executor_.OnTokens(local_id, 0, tokens, now_);
  EXPECT_EQ(executor_.Find(local_id)->ReadableEnd(), 0U);
  executor_.OnCompleted(local_id, Outcome{}, now_);
  EXPECT_EQ(executor_.Find(local_id)->ReadableEnd(), 2U);
}

TEST_F(ExecutorTokensOnceTest,
       AGenerationWithoutReaderIsCancelledAfterTheGracePeriod) {
  const LocalId local_id = Accept(Generation());
  executor_.AttachReader(local_id);
  executor_.TakeDispatches(now_);
  executor_.DetachReader(local_id, now_);
  now_ = now_ + (ConfigOf("a").reader_grace - milliseconds(1));
  executor_.Tick(now_);
  EXPECT_FALSE(executor_.Find(local_id)->IsDone());
  now_ = now_ + milliseconds(1);
  executor_.Tick(now_);
  EXPECT_EQ(executor_.TakeCancellations().size(), 1U);
}

TEST_F(ExecutorTokensOnceTest, AReturningReaderKeepsItsGeneration) {
  const LocalId local_id = Accept(Generation());
  executor_.AttachReader(local_id);
  executor_.TakeDispatches(now_);
  executor_.DetachReader(local_id, now_);
  executor_.OnReaderLeft(local_id, now_);
  executor_.AttachReader(local_id);
  now_ = now_ + minutes(1);
  executor_.Tick(now_);
  EXPECT_FALSE(executor_.Find(local_id)->IsDone());
}

class ExecutorPlannedStopTest : public ExecutorTest {};

TEST_F(ExecutorPlannedStopTest, ADrainReturnsQueuedWorkAndFinishesRunningWork) {
  ExecutorConfig config = ConfigOf("a");
  config.max_running_generations = 1;
  Executor executor(config, now_);
  WorkItem work = Generation();
  work.received = now_.wall;
  const LocalId runs = std::get<Accepted>(executor.Submit(work, now_)).local_id;
  const LocalId waits =
      std::get<Accepted>(executor.Submit(work, now_)).local_id;
  EXPECT_EQ(executor.TakeDispatches(now_).size(), 1U);
  executor.BeginDrain(now_);
  EXPECT_EQ(executor.Find(waits)->outcome->run_state, RunState::kNotRun);
  EXPECT_FALSE(executor.Find(runs)->IsDone());
  const SubmitResult late = executor.Submit(work, now_);
  EXPECT_EQ(std::get<Outcome>(late).code, ResultCode::kDraining);
  executor.OnCompleted(runs, Outcome{}, now_);
  EXPECT_TRUE(executor.IsIdle());
}

TEST_F(ExecutorPlannedStopTest, AStopDeadlineEndsRunningWorkWithItsOwnCode) {
  const LocalId local_id = Accept(Generation());
  executor_.TakeDispatches(now_);
  executor_.BeginDrain(now_);
  EXPECT_EQ(executor_.AbandonAll(now_), 1U);
  EXPECT_EQ(OutcomeOf(local_id).code, ResultCode::kStopDeadline);
}

class ExecutorOverloadTest : public ExecutorTest {};

TEST_F(ExecutorOverloadTest, AFullQueueRefusesAtOnceWithRetryAfter) {
  WorkItem work = Generation();
  work.queue_limit = 2;
  Accept(work);
  Accept(work);
  const Outcome refused = SubmitRefused(work);
  EXPECT_EQ(refused.code, ResultCode::kQueueFull);
  EXPECT_EQ(refused.run_state, RunState::kNotRun);
  EXPECT_GT(refused.retry_after, milliseconds(0));
}

TEST_F(ExecutorOverloadTest, AFloodingWorkspaceLeavesOthersTheirShare) {
  ExecutorConfig config = ConfigOf("a");
  config.max_running_generations = 1;
  Executor executor(config, now_);
  WorkItem flood = Generation();
  flood.workspace = "flood";
  flood.received = now_.wall;
  for (int i = 0; i < 60; ++i) executor.Submit(flood, now_);
  WorkItem other = Generation();
  other.workspace = "other";
  other.received = now_.wall;
  executor.Submit(other, now_);
  // One of the next two dispatches belongs to the other workspace.
  int others = 0;
  for (int i = 0; i < 2; ++i) {
    const auto dispatched = executor.TakeDispatches(now_);
    ASSERT_EQ(dispatched.size(), 1U);
    const WorkRecord* record = executor.Find(dispatched[0]);
    others += record->work.workspace == "other" ? 1 : 0;
    executor.OnCompleted(dispatched[0], Outcome{}, now_);
  }
  EXPECT_EQ(others, 1);
}

TEST_F(ExecutorOverloadTest, WorkOverBudgetRunsOnlyWhileNoOtherWorkWaits) {
  ExecutorConfig config = ConfigOf("a");
  config.max_running_generations = 1;
  Executor executor(config, now_);
  const auto submit = [&](const std::string& workspace, milliseconds over) {
    WorkItem work = Generation();
    work.workspace = workspace;
    work.over_budget = over;
    work.received = now_.wall;
    return executor.Submit(work, now_);
  };
  // No request waits, so the budget is not enforced.
  ASSERT_TRUE(std::holds_alternative<Accepted>(submit("rich", seconds(3))));
  const auto running = executor.TakeDispatches(now_);
  ASSERT_EQ(running.size(), 1U);
  ASSERT_TRUE(std::holds_alternative<Accepted>(submit("rich", seconds(3))));
  ASSERT_TRUE(std::holds_alternative<Accepted>(submit("poor", seconds(0))));
  // Another workspace waits: work over budget is refused with a retry delay.
  const SubmitResult refused = submit("rich", seconds(3));
  ASSERT_TRUE(std::holds_alternative<Outcome>(refused));
  const auto& outcome = std::get<Outcome>(refused);
  EXPECT_EQ(outcome.code, ResultCode::kBudgetSpent);
  EXPECT_EQ(outcome.run_state, RunState::kNotRun);
  EXPECT_EQ(outcome.retry_after, seconds(3));
  // The request within budget is dispatched first, though it arrived later.
  executor.OnCompleted(running[0], Outcome{}, now_);
  const auto next = executor.TakeDispatches(now_);
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(executor.Find(next[0])->work.workspace, "poor");
}

class ExecutorPoisonTest : public ExecutorTest {};

TEST_F(ExecutorPoisonTest, TheSecondCrashQuarantinesTheSuspectOnly) {
  WorkItem poison = Generation();
  poison.fingerprint = 1;
  WorkItem innocent = Generation();
  innocent.fingerprint = 2;
  const LocalId bad = Accept(poison);
  const LocalId good = Accept(innocent);
  executor_.TakeDispatches(now_);
  for (const LocalId local_id : {bad, good}) {
    executor_.OnStreamBroken(local_id, "cut", now_);
  }
  now_ = now_ + seconds(1);
  executor_.TakeResumes(now_);
  executor_.OnResumeFailed(bad, now_);
  EXPECT_EQ(OutcomeOf(good).code, ResultCode::kBackendServerLost);

  // Both are submitted again, and only one suspect runs at a time.
  const LocalId bad_again = Accept(poison);
  const LocalId good_again = Accept(innocent);
  EXPECT_EQ(executor_.TakeDispatches(now_), std::vector<LocalId>{bad_again});
  executor_.OnStreamBroken(bad_again, "cut", now_);
  now_ = now_ + seconds(1);
  executor_.TakeResumes(now_);
  executor_.OnResumeFailed(bad_again, now_);
  EXPECT_EQ(SubmitRefused(poison).code, ResultCode::kQuarantined);
  EXPECT_EQ(executor_.TakeDispatches(now_), std::vector<LocalId>{good_again});
  executor_.OnCompleted(good_again, Outcome{}, now_);
  EXPECT_EQ(OutcomeOf(good_again).code, ResultCode::kOk);

  now_ = now_ + ConfigOf("a").suspicion_lifetime;
  Accept(poison);
}

// Entries must not suspect what ran well beside the cause of a crash.
TEST_F(ExecutorPoisonTest, OnlyRunsThatHadJustBegunAreSuspected) {
  const LocalId old_run = Accept(Generation());
  const LocalId new_run = Accept(Generation());
  executor_.TakeDispatches(now_);
  const std::vector<std::string> token = {"t"};
  executor_.OnTokens(old_run, 0, token, now_);
  now_ = now_ + quarantine::kHarmlessAfter;
  executor_.OnTokens(old_run, 1, token, now_);
  executor_.OnTokens(new_run, 0, token, now_);
  for (const LocalId local_id : {old_run, new_run}) {
    executor_.OnStreamBroken(local_id, "cut", now_);
  }
  now_ = now_ + seconds(1);
  executor_.TakeResumes(now_);
  executor_.OnResumeFailed(new_run, now_);
  EXPECT_FALSE(executor_.Find(old_run)->is_suspected);
  EXPECT_TRUE(executor_.Find(new_run)->is_suspected);
}

}  // namespace
}  // namespace balsam::execution
