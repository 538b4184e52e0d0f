// Fault tables of the entry's decisions for one request.
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

GenerationId Id(const std::string& vm, std::uint64_t counter = 1) {
  return {vm, 7, counter};
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

template <typename Wanted>
const Wanted* Find(const Steps& steps) {
  for (const Step& step : steps) {
    if (const auto* found = std::get_if<Wanted>(&step)) return found;
  }
  return nullptr;
}

// A relay whose request was sent to VM "a".
Relay Placed(RelayConfig config) {
  Relay relay = Relay::ForRequest(config);
  EXPECT_NE(Find<Place>(relay.Start(kStart)), nullptr);
  relay.OnPlaced("a");
  return relay;
}

// What ends the first attempt, and how far it had come.
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
  bool bound;
  Progress progress;
  Fault fault;
  // What must follow at once.
  enum class Next { kPlace, kResume, kConclude } next;
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

TEST_P(RelayNotRunTest, FollowsTheTable) {
  const FaultCase& row = GetParam();
  RelayConfig config = Config();
  config.idempotent = row.idempotent;
  config.bound = row.bound;
  Relay relay = Placed(config);
  const Steps steps = Apply(relay, row);
  using Next = FaultCase::Next;
  EXPECT_EQ(Find<Place>(steps) != nullptr, row.next == Next::kPlace);
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
                  Next::kPlace,
                  {}},
        FaultCase{"CallNotProcessed",
                  false,
                  false,
                  Progress::kSent,
                  Fault::kNotProcessed,
                  Next::kPlace,
                  {}},
        FaultCase{"IdempotentBroken",
                  true,
                  false,
                  Progress::kSent,
                  Fault::kBroken,
                  Next::kPlace,
                  {}},
        // Without a key nothing tells whether the call ran.
        FaultCase{"CallBroken", false, false, Progress::kSent, Fault::kBroken,
                  Next::kConclude, RunState::kUnknown},
        // The holder of a key knows, so it is asked again.
        FaultCase{"BoundCallBroken",
                  false,
                  true,
                  Progress::kSent,
                  Fault::kBroken,
                  Next::kPlace,
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
                  Next::kPlace,
                  {}},
        FaultCase{"CallRefused",
                  false,
                  false,
                  Progress::kSent,
                  Fault::kRefusedNotRun,
                  Next::kPlace,
                  {}},
        FaultCase{"EngineLostBeforeTokens",
                  true,
                  false,
                  Progress::kAccepted,
                  Fault::kBackendLost,
                  Next::kPlace,
                  {}},
        // A second generation would be spliced onto the first.
        FaultCase{"EngineLostAfterTokens", true, false, Progress::kDelivered,
                  Fault::kBackendLost, Next::kConclude, RunState::kRan},
        FaultCase{"CallLost", false, false, Progress::kAccepted,
                  Fault::kBackendLost, Next::kConclude, RunState::kUnknown},
        FaultCase{"Deadline", true, false, Progress::kSent, Fault::kDeadline,
                  Next::kConclude, RunState::kUnknown}),
    [](const auto& row) { return row.param.name; });

TEST(RelayTokensOnceTest, DeliversEachTokenOnceAcrossResumes) {
  Relay relay = Placed(Config());
  relay.OnAccepted(Id("a"));
  const Steps first = relay.OnTokens(Id("a"), 0, Tokens(0, 5), kStart);
  EXPECT_EQ(Find<Deliver>(first)->tokens, Tokens(0, 5));
  const Steps broken = relay.OnAttemptEnd(AttemptEnd::kBroken, kStart);
  EXPECT_EQ(Find<Resume>(broken)->next, 5U);
  // The holder repeats tokens that had been delivered.
  const Steps again = relay.OnTokens(Id("a"), 3, Tokens(3, 4), kStart);
  EXPECT_EQ(Find<Deliver>(again)->first, 5U);
  EXPECT_EQ(Find<Deliver>(again)->tokens, Tokens(5, 2));
  const Steps end = relay.OnFinished(Id("a"), Done(7), 0, kStart);
  EXPECT_EQ(Find<Conclude>(end)->outcome.code, ResultCode::kOk);
}

TEST(RelayTokensOnceTest, AGapIsResumedNotDelivered) {
  Relay relay = Placed(Config());
  relay.OnAccepted(Id("a"));
  relay.OnTokens(Id("a"), 0, Tokens(0, 2), kStart);
  const Steps steps = relay.OnTokens(Id("a"), 4, Tokens(4, 2), kStart);
  EXPECT_EQ(Find<Deliver>(steps), nullptr);
  EXPECT_EQ(Find<Resume>(steps)->next, 2U);
}

TEST(RelayTokensOnceTest, AnEndBeforeAllTokensIsNotTheEnd) {
  Relay relay = Placed(Config());
  relay.OnAccepted(Id("a"));
  relay.OnTokens(Id("a"), 0, Tokens(0, 2), kStart);
  const Steps steps = relay.OnFinished(Id("a"), Done(4), 0, kStart);
  EXPECT_EQ(Find<Conclude>(steps), nullptr);
  EXPECT_EQ(Find<Resume>(steps)->next, 2U);
}

TEST(RelayOwnAnswerTest, TokensOfAnotherGenerationAreDropped) {
  Relay relay = Placed(Config());
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

TEST(RelayOwnAnswerTest, ALateAcceptanceDoesNotReplaceADeliveredGeneration) {
  Relay relay = Placed(Config());
  relay.OnAccepted(Id("a", 1));
  relay.OnTokens(Id("a", 1), 0, Tokens(0, 1), kStart);
  relay.OnAccepted(Id("a", 2));
  EXPECT_EQ(relay.generation(), Id("a", 1));
}

TEST(RelayTokensOnceTest, WholeDeliveryShowsNothingOfALostGeneration) {
  RelayConfig config = Config();
  config.whole = true;
  Relay relay = Placed(config);
  relay.OnAccepted(Id("a"));
  EXPECT_EQ(Find<Deliver>(relay.OnTokens(Id("a"), 0, Tokens(0, 5), kStart)),
            nullptr);
  const Steps lost = relay.OnFinished(
      Id("a"), Outcome::Unknown(ResultCode::kBackendServerLost, "lost"), 1,
      kStart);
  EXPECT_TRUE(Find<Place>(lost)->excluded.contains("a"));
  EXPECT_EQ(Find<Place>(lost)->suspicion, 1);
  relay.OnPlaced("b");
  relay.OnAccepted(Id("b"));
  relay.OnTokens(Id("b"), 0, Tokens(0, 3), kStart);
  const Steps end = relay.OnFinished(Id("b"), Done(3), 0, kStart);
  EXPECT_EQ(Find<Deliver>(end)->tokens, Tokens(0, 3));
  EXPECT_EQ(Find<Conclude>(end)->outcome.code, ResultCode::kOk);
}

TEST(RelayNotRunRuleTest, NotRunIsNotSaidAfterAnAttemptThatMayHaveRun) {
  Relay relay = Placed(Config());
  EXPECT_NE(Find<Place>(relay.OnAttemptEnd(AttemptEnd::kBroken, kStart)),
            nullptr);
  const Steps steps = relay.OnNoPlace(
      Outcome::NotRun(ResultCode::kNoBackendServer, "none"), kStart);
  EXPECT_EQ(Find<Conclude>(steps)->outcome.run_state, RunState::kUnknown);
}

TEST(RelayNotRunRuleTest, AKeyWhoseHolderIsOutOfReachIsUnknownNotNotRun) {
  RelayConfig config = Config();
  config.idempotent = false;
  config.bound = true;
  config.max_attempts = 1;
  Relay relay = Placed(config);
  const Steps steps = relay.OnAttemptEnd(AttemptEnd::kNotProcessed, kStart);
  // An earlier request with the same key may have run.
  EXPECT_EQ(Find<Conclude>(steps)->outcome.run_state, RunState::kUnknown);
}

TEST(RelayOwnAnswerTest, AReaderWhoNamedAGenerationIsNeverGivenAnother) {
  const generation::EventId from{Id("a"), 3};
  Relay relay = Relay::ForResume(Config(), from);
  const Steps start = relay.Start(kStart);
  EXPECT_EQ(Find<Resume>(start)->next, 3U);
  const Steps gone = relay.OnFinished(
      Id("a"), Outcome::Unknown(ResultCode::kGenerationNotFound, "gone"), 0,
      kStart);
  EXPECT_EQ(Find<Place>(gone), nullptr);
  EXPECT_EQ(Find<Conclude>(gone)->outcome.code,
            ResultCode::kGenerationNotFound);
}

TEST(RelayTokensOnceTest, AHolderThatRefusesIsGivenUpEarly) {
  Relay relay = Placed(Config());
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

TEST(RelayTokensOnceTest, ResumingStopsAfterItsWindow) {
  Relay relay = Placed(Config());
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
