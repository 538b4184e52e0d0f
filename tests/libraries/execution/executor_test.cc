// The sidecar's decisions, fault by fault, as sequences of calls.
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
    executor_.authority().AdoptList(ListOf(1, {"a"}), now_.wall);
    // Keys are taken on once they are younger than the sidecar's first list by
    // more than the grace of removed VMs and the clocks' error.
    Pass(seconds(15));
  }

  // Lets time pass for a process that runs; adding to `now_` alone is a pause.
  void Pass(milliseconds duration) {
    for (milliseconds passed{0}; passed < duration; passed += kTick) {
      now_ = now_ + kTick;
      executor_.Tick(now_);
    }
  }

  Counter Accept(Work work) {
    work.received = now_.wall;
    const Submission submission = executor_.Submit(std::move(work), now_);
    EXPECT_TRUE(std::holds_alternative<Accepted>(submission));
    return std::get<Accepted>(submission).counter;
  }
  Outcome Refused(Work work) {
    work.received = now_.wall;
    const Submission submission = executor_.Submit(std::move(work), now_);
    EXPECT_TRUE(std::holds_alternative<Outcome>(submission));
    return std::get<Outcome>(submission);
  }
  Outcome OutcomeOf(Counter counter) {
    const GenerationRecord* record = executor_.Find(counter);
    return record != nullptr ? record->outcome.value_or(Outcome{}) : Outcome{};
  }
  Work KeyedCall() { return CallWith(KeyBornAt(now_.wall)); }

  Moment now_ = StartOfTime();
  Executor executor_;
};

class ExecutorNotRunTest : public ExecutorTest {};

TEST_F(ExecutorNotRunTest, CancelledBeforeDispatchIsNotRunAndNeverDispatched) {
  const Counter counter = Accept(Call());
  executor_.Cancel(counter, now_);
  EXPECT_EQ(OutcomeOf(counter).run_state, RunState::kNotRun);
  EXPECT_TRUE(executor_.TakeDispatches(now_).empty());
}

TEST_F(ExecutorNotRunTest, CancelledAfterDispatchIsNeverNotRun) {
  const Counter call = Accept(Call());
  const Counter generation = Accept(Generation());
  EXPECT_EQ(executor_.TakeDispatches(now_).size(), 2U);
  executor_.Cancel(call, now_);
  executor_.Cancel(generation, now_);
  EXPECT_FALSE(executor_.Find(call)->IsDone());
  EXPECT_EQ(OutcomeOf(generation).run_state, RunState::kRan);
}

TEST_F(ExecutorNotRunTest,
       AQueueDeadlineThatPassedWhileStoppedIsNotDispatched) {
  const Counter counter = Accept(Call());
  now_ = now_ + seconds(60);
  EXPECT_TRUE(executor_.TakeDispatches(now_).empty());
  EXPECT_EQ(OutcomeOf(counter).code, ResultCode::kDeadlineInQueue);
  EXPECT_EQ(OutcomeOf(counter).run_state, RunState::kNotRun);
}

TEST_F(ExecutorNotRunTest,
       ARequestThatWaitedInASocketPastItsDeadlineIsNotTakenOn) {
  Work work = Call();
  work.received = now_.wall;
  now_ = now_ + work.queue_deadline + seconds(2);
  const Submission submission = executor_.Submit(work, now_);
  ASSERT_TRUE(std::holds_alternative<Outcome>(submission));
  EXPECT_EQ(std::get<Outcome>(submission).run_state, RunState::kNotRun);
}

TEST_F(ExecutorNotRunTest, ABrokenCallIsUnknownAtOnce) {
  const Counter counter = Accept(Call());
  executor_.TakeDispatches(now_);
  executor_.OnStreamBroken(counter, "cut", now_);
  EXPECT_EQ(OutcomeOf(counter).run_state, RunState::kUnknown);
}

TEST_F(ExecutorNotRunTest, ACallThatProvablyNeverLeftIsNotRun) {
  const Counter counter = Accept(Call());
  executor_.TakeDispatches(now_);
  executor_.OnNotSent(counter, "refused", now_);
  EXPECT_EQ(OutcomeOf(counter).run_state, RunState::kNotRun);
}

TEST_F(ExecutorNotRunTest, ARunDeadlineOfACallIsUnknown) {
  const Counter counter = Accept(Call());
  executor_.TakeDispatches(now_);
  now_ = now_ + seconds(600);
  executor_.Tick(now_);
  EXPECT_EQ(OutcomeOf(counter).run_state, RunState::kUnknown);
}

class ExecutorAtMostOnceTest : public ExecutorTest {};

TEST_F(ExecutorAtMostOnceTest, AResentKeyJoinsTheFirstRun) {
  const Work work = KeyedCall();
  const Counter first = Accept(work);
  EXPECT_EQ(executor_.TakeDispatches(now_).size(), 1U);
  EXPECT_EQ(Accept(work), first);
  Outcome done;
  done.run_state = RunState::kRan;
  done.body = "released";
  executor_.OnCompleted(first, done, now_);
  Pass(minutes(5));
  EXPECT_EQ(Accept(work), first);
  EXPECT_EQ(OutcomeOf(first).body, "released");
  EXPECT_TRUE(executor_.TakeDispatches(now_).empty());
}

TEST_F(ExecutorAtMostOnceTest, AKeyOfAnotherWorkspaceIsAnotherKey) {
  Work work = KeyedCall();
  const Counter first = Accept(work);
  work.workspace = "other";
  EXPECT_NE(Accept(work), first);
}

TEST_F(ExecutorAtMostOnceTest, AKeyUsedForAnotherRequestIsRefused) {
  Work work = KeyedCall();
  Accept(work);
  work.fingerprint += 1;
  EXPECT_EQ(Refused(work).code, ResultCode::kKeyReusedForOtherRequest);
}

TEST_F(ExecutorAtMostOnceTest, AKeyPastItsLifetimeIsUnknownNotRunAgain) {
  const Work work = KeyedCall();
  const Counter first = Accept(work);
  executor_.TakeDispatches(now_);
  executor_.OnCompleted(first, Outcome{}, now_);
  Pass(minutes(60));
  EXPECT_EQ(executor_.Find(first), nullptr);
  EXPECT_EQ(Refused(work).run_state, RunState::kUnknown);
}

TEST_F(ExecutorAtMostOnceTest, AKeyOlderThanTheSidecarIsUnknown) {
  const Work work = CallWith(KeyBornAt(now_.wall - minutes(1)));
  EXPECT_EQ(Refused(work).code, ResultCode::kKeyHistoryUnknown);
}

TEST_F(ExecutorAtMostOnceTest, AKeyBornDuringAPauseIsUnknown) {
  now_ = now_ + seconds(20);
  const Work work = CallWith(KeyBornAt(now_.wall));
  EXPECT_EQ(Refused(work).code, ResultCode::kKeyHistoryUnknown);
  EXPECT_EQ(executor_.pauses(), 1U);
}

TEST_F(ExecutorAtMostOnceTest, AKeyWithoutBirthWaitsForAWholeLifetime) {
  Work work = CallWith(KeyOf("opaque-key-1"));
  EXPECT_EQ(Refused(work).code, ResultCode::kKeyHistoryUnknown);
  Pass(ConfigOf("a").keys.key_lifetime + seconds(10));
  work.key = KeyOf("opaque-key-2");
  Accept(work);
}

TEST_F(ExecutorAtMostOnceTest, ACopyUnderWayWhenNotRunWasSaidStaysNotRun) {
  Work work = KeyedCall();
  work.received = now_.wall;
  const Work late_copy = work;
  const Counter first = Accept(work);
  executor_.Cancel(first, now_);
  ASSERT_EQ(OutcomeOf(first).run_state, RunState::kNotRun);
  now_ = now_ + milliseconds(200);
  const Submission copy = executor_.Submit(late_copy, now_);
  ASSERT_TRUE(std::holds_alternative<Outcome>(copy));
  EXPECT_EQ(std::get<Outcome>(copy).run_state, RunState::kNotRun);
  EXPECT_TRUE(executor_.TakeDispatches(now_).empty());
  // The caller, told "not run", asks again: now it runs.
  Pass(seconds(2));
  Accept(work);
  EXPECT_EQ(executor_.TakeDispatches(now_).size(), 1U);
}

TEST_F(ExecutorAtMostOnceTest, ACopyUnderWayWhenTheQueueWasFullStaysNotRun) {
  Work work = KeyedCall();
  work.queue_limit = 0;
  const Outcome refused = Refused(work);
  EXPECT_EQ(refused.run_state, RunState::kNotRun);
  work.queue_limit = 64;
  work.received = now_.wall;
  const Submission copy = executor_.Submit(work, now_);
  EXPECT_TRUE(std::holds_alternative<Outcome>(copy));
}

TEST_F(ExecutorAtMostOnceTest, ATicketRunsOnceInItsIncarnationOnly) {
  Work work = Call();
  work.ticket = executor_.IssueTicket(work.workspace, now_);
  const Counter first = Accept(work);
  EXPECT_EQ(executor_.TakeDispatches(now_).size(), 1U);
  EXPECT_EQ(Accept(work), first);
  ExecutorConfig config = ConfigOf("a");
  config.incarnation += 1;
  Executor restarted(config, now_);
  const Submission there = restarted.Submit(work, now_);
  ASSERT_TRUE(std::holds_alternative<Outcome>(there));
  EXPECT_EQ(std::get<Outcome>(there).run_state, RunState::kUnknown);
}

TEST_F(ExecutorAtMostOnceTest, ATicketOfAnotherWorkspaceIsNotHonoured) {
  Work work = Call();
  work.ticket = executor_.IssueTicket("other", now_);
  EXPECT_EQ(Refused(work).code, ResultCode::kTicketExpired);
}

class ExecutorOwnAnswerTest : public ExecutorTest {};

TEST_F(ExecutorOwnAnswerTest, AGenerationIsShownToItsWorkspaceOnly) {
  const Counter counter = Accept(Generation());
  const auto id = executor_.IdOf(counter);
  EXPECT_NE(executor_.Find(id, Generation().workspace), nullptr);
  EXPECT_EQ(executor_.Find(id, "other"), nullptr);
  auto earlier = id;
  earlier.incarnation -= 1;
  EXPECT_EQ(executor_.Find(earlier, Generation().workspace), nullptr);
}

class ExecutorTokensOnceTest : public ExecutorTest {};

TEST_F(ExecutorTokensOnceTest, ABrokenStreamIsResumedFromTheNextToken) {
  const Counter counter = Accept(Generation());
  executor_.TakeDispatches(now_);
  const std::vector<std::string> tokens = {"a", "b"};
  executor_.OnTokens(counter, 0, tokens, now_);
  executor_.OnStreamBroken(counter, "cut", now_);
  EXPECT_TRUE(executor_.TakeResumes(now_).empty());
  now_ = now_ + seconds(1);
  const auto resumes = executor_.TakeResumes(now_);
  ASSERT_EQ(resumes.size(), 1U);
  EXPECT_EQ(resumes[0], std::pair(counter, std::uint64_t{2}));
  // The engine repeats a token; it is kept once.
  const std::vector<std::string> repeated = {"b", "c"};
  executor_.OnTokens(counter, 1, repeated, now_);
  EXPECT_EQ(executor_.Find(counter)->log.end(), 3U);
}

TEST_F(ExecutorTokensOnceTest, AWholeGenerationShowsNothingUntilItSucceeds) {
  Work work = Generation();
  work.whole = true;
  const Counter counter = Accept(work);
  executor_.TakeDispatches(now_);
  const std::vector<std::string> tokens = {"a", "b"};
  executor_.OnTokens(counter, 0, tokens, now_);
  EXPECT_EQ(executor_.Find(counter)->ReadableEnd(), 0U);
  executor_.OnCompleted(counter, Outcome{}, now_);
  EXPECT_EQ(executor_.Find(counter)->ReadableEnd(), 2U);
}

TEST_F(ExecutorTokensOnceTest,
       AGenerationThatNobodyReadsIsCancelledAfterItsGrace) {
  const Counter counter = Accept(Generation());
  executor_.AttachReader(counter);
  executor_.TakeDispatches(now_);
  executor_.DetachReader(counter, now_);
  now_ = now_ + (ConfigOf("a").reader_grace - milliseconds(1));
  executor_.Tick(now_);
  EXPECT_FALSE(executor_.Find(counter)->IsDone());
  now_ = now_ + milliseconds(1);
  executor_.Tick(now_);
  EXPECT_EQ(executor_.TakeCancellations().size(), 1U);
}

TEST_F(ExecutorTokensOnceTest, AReaderThatComesBackKeepsItsGeneration) {
  const Counter counter = Accept(Generation());
  executor_.AttachReader(counter);
  executor_.TakeDispatches(now_);
  executor_.DetachReader(counter, now_);
  executor_.OnReaderLeft(counter, now_);
  executor_.AttachReader(counter);
  now_ = now_ + minutes(1);
  executor_.Tick(now_);
  EXPECT_FALSE(executor_.Find(counter)->IsDone());
}

class ExecutorPlannedStopTest : public ExecutorTest {};

TEST_F(ExecutorPlannedStopTest, ADrainHandsBackWhatWaitsAndFinishesWhatRuns) {
  ExecutorConfig config = ConfigOf("a");
  config.max_running_generations = 1;
  Executor executor(config, now_);
  Work work = Generation();
  work.received = now_.wall;
  const Counter runs = std::get<Accepted>(executor.Submit(work, now_)).counter;
  const Counter waits = std::get<Accepted>(executor.Submit(work, now_)).counter;
  EXPECT_EQ(executor.TakeDispatches(now_).size(), 1U);
  executor.BeginDrain(now_);
  EXPECT_EQ(executor.Find(waits)->outcome->run_state, RunState::kNotRun);
  EXPECT_FALSE(executor.Find(runs)->IsDone());
  const Submission late = executor.Submit(work, now_);
  EXPECT_EQ(std::get<Outcome>(late).code, ResultCode::kDraining);
  executor.OnCompleted(runs, Outcome{}, now_);
  EXPECT_TRUE(executor.IsIdle());
}

TEST_F(ExecutorPlannedStopTest, AStopDeadlineEndsTheRestByNumber) {
  const Counter counter = Accept(Generation());
  executor_.TakeDispatches(now_);
  executor_.BeginDrain(now_);
  EXPECT_EQ(executor_.AbandonAll(now_), 1U);
  EXPECT_EQ(OutcomeOf(counter).code, ResultCode::kStopDeadline);
}

class ExecutorOverloadTest : public ExecutorTest {};

TEST_F(ExecutorOverloadTest, AFullQueueRefusesAtOnceWithATimeToComeBack) {
  Work work = Generation();
  work.queue_limit = 2;
  Accept(work);
  Accept(work);
  const Outcome refused = Refused(work);
  EXPECT_EQ(refused.code, ResultCode::kQueueFull);
  EXPECT_EQ(refused.run_state, RunState::kNotRun);
  EXPECT_GT(refused.retry_after, milliseconds(0));
}

TEST_F(ExecutorOverloadTest, AFloodOfOneWorkspaceLeavesTheOthersTheirShare) {
  ExecutorConfig config = ConfigOf("a");
  config.max_running_generations = 1;
  Executor executor(config, now_);
  Work flood = Generation();
  flood.workspace = "flood";
  flood.received = now_.wall;
  for (int i = 0; i < 60; ++i) executor.Submit(flood, now_);
  Work other = Generation();
  other.workspace = "other";
  other.received = now_.wall;
  executor.Submit(other, now_);
  // Of the next two dispatches, one is the other workspace's.
  int others = 0;
  for (int i = 0; i < 2; ++i) {
    const auto dispatched = executor.TakeDispatches(now_);
    ASSERT_EQ(dispatched.size(), 1U);
    const GenerationRecord* record = executor.Find(dispatched[0]);
    others += record->work.workspace == "other" ? 1 : 0;
    executor.OnCompleted(dispatched[0], Outcome{}, now_);
  }
  EXPECT_EQ(others, 1);
}

TEST_F(ExecutorOverloadTest, WorkOverBudgetGoesOnlyWhileNobodyElseWaits) {
  ExecutorConfig config = ConfigOf("a");
  config.max_running_generations = 1;
  Executor executor(config, now_);
  const auto submit = [&](const std::string& workspace, milliseconds over) {
    Work work = Generation();
    work.workspace = workspace;
    work.over_budget = over;
    work.received = now_.wall;
    return executor.Submit(work, now_);
  };
  // Nobody waits, so the budget binds nobody.
  ASSERT_TRUE(std::holds_alternative<Accepted>(submit("rich", seconds(3))));
  const auto running = executor.TakeDispatches(now_);
  ASSERT_EQ(running.size(), 1U);
  ASSERT_TRUE(std::holds_alternative<Accepted>(submit("rich", seconds(3))));
  ASSERT_TRUE(std::holds_alternative<Accepted>(submit("poor", seconds(0))));
  // Somebody waits: the excess gets its answer now, and a time to come back.
  const Submission refused = submit("rich", seconds(3));
  ASSERT_TRUE(std::holds_alternative<Outcome>(refused));
  const auto& outcome = std::get<Outcome>(refused);
  EXPECT_EQ(outcome.code, ResultCode::kBudgetSpent);
  EXPECT_EQ(outcome.run_state, RunState::kNotRun);
  EXPECT_EQ(outcome.retry_after, seconds(3));
  // The one within budget goes first, though it came later.
  executor.OnCompleted(running[0], Outcome{}, now_);
  const auto next = executor.TakeDispatches(now_);
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(executor.Find(next[0])->work.workspace, "poor");
}

class ExecutorPoisonTest : public ExecutorTest {};

TEST_F(ExecutorPoisonTest, TheSecondCrashQuarantinesTheSuspectOnly) {
  Work poison = Generation();
  poison.fingerprint = 1;
  Work innocent = Generation();
  innocent.fingerprint = 2;
  const Counter bad = Accept(poison);
  const Counter good = Accept(innocent);
  executor_.TakeDispatches(now_);
  for (const Counter counter : {bad, good}) {
    executor_.OnStreamBroken(counter, "cut", now_);
  }
  now_ = now_ + seconds(1);
  executor_.TakeResumes(now_);
  executor_.OnResumeFailed(bad, now_);
  EXPECT_EQ(OutcomeOf(good).code, ResultCode::kBackendServerLost);

  // Both come back: one suspect at a time.
  const Counter bad_again = Accept(poison);
  const Counter good_again = Accept(innocent);
  EXPECT_EQ(executor_.TakeDispatches(now_), std::vector<Counter>{bad_again});
  executor_.OnStreamBroken(bad_again, "cut", now_);
  now_ = now_ + seconds(1);
  executor_.TakeResumes(now_);
  executor_.OnResumeFailed(bad_again, now_);
  EXPECT_EQ(Refused(poison).code, ResultCode::kQuarantined);
  EXPECT_EQ(executor_.TakeDispatches(now_), std::vector<Counter>{good_again});
  executor_.OnCompleted(good_again, Outcome{}, now_);
  EXPECT_EQ(OutcomeOf(good_again).code, ResultCode::kOk);

  now_ = now_ + ConfigOf("a").suspicion_lifetime;
  Accept(poison);
}

}  // namespace
}  // namespace balsam::execution
