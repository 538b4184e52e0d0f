// Tests of the steps that the relay takes after each kind of fault.
#include "libraries/relay/relay.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace balsam::relay {
namespace {

using generation::GenerationId;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr BootTime kStart{std::chrono::hours(1)};

GenerationId Id(const std::string& vm, std::uint64_t local_id = 1) {
  return {vm, 7, local_id};
}

std::vector<std::string> Tokens(std::uint64_t first, std::uint64_t count) {
  std::vector<std::string> tokens;
  for (std::uint64_t i = first; i < first + count; ++i) {
    tokens.push_back("t" + std::to_string(i));
  }
  return tokens;
}

RelayConfig Config() {
  RelayConfig config;
  config.deadline = kStart + seconds(60);
  return config;
}

Outcome Done(std::uint64_t total) {
  Outcome outcome;
  outcome.run_state = RunState::kRan;
  outcome.total_tokens = total;
  return outcome;
}

template <typename StepType>
const StepType* Find(const Steps& steps) {
  for (const Step& step : steps) {
    if (const auto* found = std::get_if<StepType>(&step)) return found;
  }
  return nullptr;
}

// Returns a relay whose first attempt was sent to VM "a".
Relay StartedRelay(RelayConfig config) {
  Relay relay = Relay::ForRequest(config);
  EXPECT_NE(Find<StartAttempt>(relay.Start(kStart)), nullptr);
  relay.OnAttemptStarted("a");
  return relay;
}

// The progress of the first attempt, and the fault that ends it.
enum class Progress { kSent, kAccepted, kDelivered };
enum class Fault {
  kNotProcessed,
  kBroken,
  kRefusedNotRun,
  kBackendLost,
  kDeadline,
};

struct FaultCase {
  std::string name;
  bool idempotent;
  bool is_keyed;
  Progress progress;
  Fault fault;
  // The expected next step.
  enum class Next { kStartAttempt, kResume, kConclude } next;
  std::optional<RunState> run_state;

  friend void PrintTo(const FaultCase& row, std::ostream* out) {
    *out << row.name;
  }
};

Steps Apply(Relay& relay, const FaultCase& row) {
  if (row.progress != Progress::kSent) relay.OnAccepted(Id("a"));
  if (row.progress == Progress::kDelivered) {
    relay.OnTokens(Id("a"), 0, Tokens(0, 2), kStart);
  }
  switch (row.fault) {
    case Fault::kNotProcessed:
      return relay.OnAttemptEnd(AttemptEnd::kNotProcessed, kStart);
    case Fault::kBroken:
      return relay.OnAttemptEnd(AttemptEnd::kBroken, kStart);
    case Fault::kRefusedNotRun:
      return relay.OnFinished(
          std::nullopt, Outcome::NotRun(ResultCode::kDraining, "draining"), 0,
          kStart);
    case Fault::kBackendLost:
      return relay.OnFinished(
          Id("a"), Outcome::Unknown(ResultCode::kBackendServerLost, "lost"), 1,
          kStart);
    case Fault::kDeadline:
      return relay.OnTick(kStart + seconds(61));
  }
  return {};
}

class RelayNotRunTest : public testing::TestWithParam<FaultCase> {};

TEST_P(RelayNotRunTest, TakesTheExpectedStep) {
  const FaultCase& row = GetParam();
  RelayConfig config = Config();
  config.idempotent = row.idempotent;
  config.is_keyed = row.is_keyed;
  Relay relay = StartedRelay(config);
  const Steps steps = Apply(relay, row);
  using Next = FaultCase::Next;
  EXPECT_EQ(Find<StartAttempt>(steps) != nullptr,
            row.next == Next::kStartAttempt);
  EXPECT_EQ(Find<Resume>(steps) != nullptr, row.next == Next::kResume);
  const Conclude* conclude = Find<Conclude>(steps);
  ASSERT_EQ(conclude != nullptr, row.next == Next::kConclude);
  if (conclude != nullptr) {
    EXPECT_EQ(conclude->outcome.run_state, row.run_state);
  }
}

using Next = FaultCase::Next;

INSTANTIATE_TEST_SUITE_P(
    Faults, RelayNotRunTest,
    testing::Values(
        FaultCase{"IdempotentNotProcessed",
                  true,
                  false,
                  Progress::kSent,
                  Fault::kNotProcessed,
                  Next::kStartAttempt,
                  {}},
        FaultCase{"CallNotProcessed",
                  false,
                  false,
                  Progress::kSent,
                  Fault::kNotProcessed,
                  Next::kStartAttempt,
                  {}},
        FaultCase{"IdempotentBroken",
                  true,
                  false,
                  Progress::kSent,
                  Fault::kBroken,
                  Next::kStartAttempt,
                  {}},
        // Without a key it is unknown whether the call ran.
        FaultCase{"CallBroken", false, false, Progress::kSent, Fault::kBroken,
                  Next::kConclude, RunState::kUnknown},
        // The owner of the key knows whether the call ran, so it is sent there
        // again.
        FaultCase{"KeyedCallBroken",
                  false,
                  true,
                  Progress::kSent,
                  Fault::kBroken,
                  Next::kStartAttempt,
                  {}},
        FaultCase{"AcceptedCallBroken",
                  false,
                  false,
                  Progress::kAccepted,
                  Fault::kBroken,
                  Next::kResume,
                  {}},
        FaultCase{"AcceptedBroken",
                  true,
                  false,
                  Progress::kAccepted,
                  Fault::kBroken,
                  Next::kResume,
                  {}},
        FaultCase{"DeliveredBroken",
                  true,
                  false,
                  Progress::kDelivered,
                  Fault::kBroken,
                  Next::kResume,
                  {}},
        FaultCase{"Refused",
                  true,
                  false,
                  Progress::kSent,
                  Fault::kRefusedNotRun,
                  Next::kStartAttempt,
                  {}},
        FaultCase{"CallRefused",
                  false,
                  false,
                  Progress::kSent,
                  Fault::kRefusedNotRun,
                  Next::kStartAttempt,
                  {}},
        FaultCase{"EngineLostBeforeTokens",
                  true,
                  false,
                  Progress::kAccepted,
                  Fault::kBackendLost,
                  Next::kStartAttempt,
                  {}},
        // A retry would append tokens of a second generation to the first.
        FaultCase{"EngineLostAfterTokens", true, false, Progress::kDelivered,
                  Fault::kBackendLost, Next::kConclude, RunState::kRan},
        // Nor may a refusal lead to a second generation.
        FaultCase{"RefusedAfterTokens", true, false, Progress::kDelivered,
                  Fault::kRefusedNotRun, Next::kConclude, RunState::kRan},
        FaultCase{"CallLost", false, false, Progress::kAccepted,
                  Fault::kBackendLost, Next::kConclude, RunState::kUnknown},
        FaultCase{"Deadline", true, false, Progress::kSent, Fault::kDeadline,
                  Next::kConclude, RunState::kUnknown}),
    [](const auto& row) { return row.param.name; });

TEST(RelayTokensOnceTest, DeliversEachTokenOnceAcrossResumes) {
  Relay relay = StartedRelay(Config());
  relay.OnAccepted(Id("a"));
  const Steps first = relay.OnTokens(Id("a"), 0, Tokens(0, 5), kStart);
  EXPECT_EQ(Find<Deliver>(first)->tokens, Tokens(0, 5));
  const Steps broken = relay.OnAttemptEnd(AttemptEnd::kBroken, kStart);
  EXPECT_EQ(Find<Resume>(broken)->next, 5U);
  // The sidecar repeats tokens that were delivered before.
  const Steps again = relay.OnTokens(Id("a"), 3, Tokens(3, 4), kStart);
  EXPECT_EQ(Find<Deliver>(again)->first, 5U);
  EXPECT_EQ(Find<Deliver>(again)->tokens, Tokens(5, 2));
  const Steps end = relay.OnFinished(Id("a"), Done(7), 0, kStart);
  EXPECT_EQ(Find<Conclude>(end)->outcome.code, ResultCode::kOk);
}

TEST(RelayTokensOnceTest, TokensAfterAGapAreResumedNotDelivered) {
  Relay relay = StartedRelay(Config());
  relay.OnAccepted(Id("a"));
  relay.OnTokens(Id("a"), 0, Tokens(0, 2), kStart);
  const Steps steps = relay.OnTokens(Id("a"), 4, Tokens(4, 2), kStart);
  EXPECT_EQ(Find<Deliver>(steps), nullptr);
  EXPECT_EQ(Find<Resume>(steps)->next, 2U);
}

TEST(RelayTokensOnceTest, AFinishBeforeAllTokensIsResumed) {
  Relay relay = StartedRelay(Config());
  relay.OnAccepted(Id("a"));
  relay.OnTokens(Id("a"), 0, Tokens(0, 2), kStart);
  const Steps steps = relay.OnFinished(Id("a"), Done(4), 0, kStart);
  EXPECT_EQ(Find<Conclude>(steps), nullptr);
  EXPECT_EQ(Find<Resume>(steps)->next, 2U);
}

TEST(RelayOwnAnswerTest, TokensOfAnotherGenerationAreDropped) {
  Relay relay = StartedRelay(Config());
  relay.OnAccepted(Id("a", 1));
  relay.OnTokens(Id("a", 1), 0, Tokens(0, 1), kStart);
  const std::vector<GenerationId> others = {
      Id("a", 2), Id("b", 1), {"a", 8, 1}};
  for (const GenerationId& other : others) {
    EXPECT_TRUE(relay.OnTokens(other, 1, Tokens(1, 1), kStart).empty());
    EXPECT_TRUE(relay.OnFinished(other, Done(1), 0, kStart).empty());
  }
  EXPECT_EQ(relay.stray_tokens(), others.size());
}

TEST(RelayOwnAnswerTest, ALateAcceptedReplyDoesNotReplaceADeliveredGeneration) {
  Relay relay = StartedRelay(Config());
  relay.OnAccepted(Id("a", 1));
  relay.OnTokens(Id("a", 1), 0, Tokens(0, 1), kStart);
  relay.OnAccepted(Id("a", 2));
  EXPECT_EQ(relay.generation(), Id("a", 1));
}

TEST(RelayTokensOnceTest, WholeDeliveryDeliversNothingOfALostGeneration) {
  RelayConfig config = Config();
  config.whole = true;
  Relay relay = StartedRelay(config);
  relay.OnAccepted(Id("a"));
  EXPECT_EQ(Find<Deliver>(relay.OnTokens(Id("a"), 0, Tokens(0, 5), kStart)),
            nullptr);
  const Steps lost = relay.OnFinished(
      Id("a"), Outcome::Unknown(ResultCode::kBackendServerLost, "lost"), 1,
      kStart);
  EXPECT_TRUE(Find<StartAttempt>(lost)->excluded.contains("a"));
  EXPECT_EQ(Find<StartAttempt>(lost)->crash_count, 1);
  relay.OnAttemptStarted("b");
  relay.OnAccepted(Id("b"));
  relay.OnTokens(Id("b"), 0, Tokens(0, 3), kStart);
  const Steps end = relay.OnFinished(Id("b"), Done(3), 0, kStart);
  EXPECT_EQ(Find<Deliver>(end)->tokens, Tokens(0, 3));
  EXPECT_EQ(Find<Conclude>(end)->outcome.code, ResultCode::kOk);
}

TEST(RelayNotRunRuleTest, NotRunIsNotAnsweredAfterAnAttemptThatMayHaveRun) {
  Relay relay = StartedRelay(Config());
  EXPECT_NE(Find<StartAttempt>(relay.OnAttemptEnd(AttemptEnd::kBroken, kStart)),
            nullptr);
  const Steps steps = relay.OnNoServerAvailable(
      Outcome::NotRun(ResultCode::kNoBackendServer, "none"), kStart);
  EXPECT_EQ(Find<Conclude>(steps)->outcome.run_state, RunState::kUnknown);
}

TEST(RelayNotRunRuleTest, AKeyWhoseOwnerIsUnreachableIsUnknownNotNotRun) {
  RelayConfig config = Config();
  config.idempotent = false;
  config.is_keyed = true;
  config.max_attempts = 1;
  Relay relay = StartedRelay(config);
  const Steps steps = relay.OnAttemptEnd(AttemptEnd::kNotProcessed, kStart);
  // An earlier request with the same key may have run.
  EXPECT_EQ(Find<Conclude>(steps)->outcome.run_state, RunState::kUnknown);
}

TEST(RelayOwnAnswerTest, AResumedReaderNeverReceivesAnotherGeneration) {
  const generation::EventId from{Id("a"), 3};
  Relay relay = Relay::ForResume(Config(), from);
  const Steps start = relay.Start(kStart);
  EXPECT_EQ(Find<Resume>(start)->next, 3U);
  const Steps gone = relay.OnFinished(
      Id("a"), Outcome::Unknown(ResultCode::kGenerationNotFound, "gone"), 0,
      kStart);
  EXPECT_EQ(Find<StartAttempt>(gone), nullptr);
  EXPECT_EQ(Find<Conclude>(gone)->outcome.code,
            ResultCode::kGenerationNotFound);
}

// The response of another sidecar must not end a stream that had begun as
// complete, nor continue it.
TEST(RelayTokensOnceTest, ARefusalAfterTokensEndsTheStreamAsIncomplete) {
  Relay relay = StartedRelay(Config());
  relay.OnAccepted(Id("a"));
  relay.OnTokens(Id("a"), 0, Tokens(0, 5), kStart);
  relay.OnAttemptEnd(AttemptEnd::kBroken, kStart);
  const Steps refused = relay.OnFinished(
      Id("a"), Outcome::NotRun(ResultCode::kQueueFull, "full"), 0, kStart);
  EXPECT_EQ(Find<StartAttempt>(refused), nullptr);
  ASSERT_NE(Find<Conclude>(refused), nullptr);
  EXPECT_EQ(Find<Conclude>(refused)->outcome.code, ResultCode::kGenerationLost);
  EXPECT_EQ(Find<Conclude>(refused)->outcome.run_state, RunState::kRan);
  EXPECT_TRUE(relay.OnFinished(Id("b"), Done(5), 0, kStart).empty());
}

// A position beyond the end would be answered by a complete, empty stream.
TEST(RelayOwnAnswerTest, APositionBeyondTheEndIsNoCompleteStream) {
  const generation::EventId from{Id("a"), 9};
  Relay relay = Relay::ForResume(Config(), from);
  relay.Start(kStart);
  const Steps end = relay.OnFinished(Id("a"), Done(4), 0, kStart);
  ASSERT_NE(Find<Conclude>(end), nullptr);
  EXPECT_EQ(Find<Conclude>(end)->outcome.code, ResultCode::kInvalidEventId);
  Relay at_end = Relay::ForResume(Config(), {Id("a"), 4});
  at_end.Start(kStart);
  const Steps complete = at_end.OnFinished(Id("a"), Done(4), 0, kStart);
  EXPECT_EQ(Find<Conclude>(complete)->outcome.code, ResultCode::kOk);
}

TEST(RelayTokensOnceTest, ResumingStopsEarlyWhenConnectionsAreRefused) {
  Relay relay = StartedRelay(Config());
  relay.OnAccepted(Id("a"));
  relay.OnTokens(Id("a"), 0, Tokens(0, 1), kStart);
  Steps steps = relay.OnAttemptEnd(AttemptEnd::kBroken, kStart);
  BootTime now = kStart;
  for (int i = 0; i < Config().max_refused_resumes; ++i) {
    ASSERT_NE(Find<Resume>(steps), nullptr);
    now = Find<Resume>(steps)->when + milliseconds(1);
    steps = relay.OnAttemptEnd(AttemptEnd::kNotProcessed, now);
  }
  EXPECT_EQ(Find<Conclude>(steps)->outcome.code, ResultCode::kGenerationLost);
  EXPECT_LT(now, kStart + Config().resume_window);
}

TEST(RelayTokensOnceTest, ResumingStopsAfterTheResumeWindow) {
  Relay relay = StartedRelay(Config());
  relay.OnAccepted(Id("a"));
  relay.OnTokens(Id("a"), 0, Tokens(0, 1), kStart);
  BootTime now = kStart;
  Steps steps = relay.OnAttemptEnd(AttemptEnd::kBroken, now);
  int resumes = 0;
  while (Find<Resume>(steps) != nullptr && resumes < 1000) {
    ++resumes;
    now = Find<Resume>(steps)->when + milliseconds(1);
    steps = relay.OnAttemptEnd(AttemptEnd::kBroken, now);
  }
  ASSERT_NE(Find<Conclude>(steps), nullptr);
  EXPECT_EQ(Find<Conclude>(steps)->outcome.code, ResultCode::kGenerationLost);
  EXPECT_EQ(Find<Conclude>(steps)->outcome.run_state, RunState::kRan);
  EXPECT_LE(now, kStart + Config().resume_window + seconds(1));
}

}  // namespace
}  // namespace balsam::relay
