// What calls that stop a run show of it, as tables.
#include "libraries/retry/run_stop.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace balsam::retry {
namespace {

using Next = SlowRunStop::Next;

constexpr StopResult kStopped = StopResult::kStopped;
constexpr StopResult kNotRunning = StopResult::kNotRunning;
constexpr StopResult kEngineGone = StopResult::kEngineGone;
constexpr StopResult kUnreachable = StopResult::kUnreachable;
constexpr StopResult kRefused = StopResult::kRefused;
constexpr StopResult kSilent = StopResult::kSilent;
constexpr StopResult kUnknown = StopResult::kUnknown;

struct ProofCase {
  const char* name;
  // The run is not known to be over before the last one.
  std::vector<StopResult> results;
  bool is_over;
};

class StopProofTest : public testing::TestWithParam<ProofCase> {};

TEST_P(StopProofTest, IsKnownAfterTheLastCall) {
  StopProof proof;
  bool is_over = false;
  for (const StopResult result : GetParam().results) {
    EXPECT_FALSE(is_over);
    is_over = proof.Add(result);
  }
  EXPECT_EQ(is_over, GetParam().is_over);
}

INSTANTIATE_TEST_SUITE_P(
    Calls, StopProofTest,
    testing::Values(
        ProofCase{"Stopped", {kStopped}, true},
        ProofCase{"Gone", {kEngineGone}, true},
        // It may have been queued at the first call.
        ProofCase{"NotRunningOnce", {kNotRunning}, false},
        ProofCase{"NotRunningTwice", {kNotRunning, kNotRunning}, true},
        ProofCase{
            "NotRunningApart", {kNotRunning, kRefused, kNotRunning}, false},
        // Packets may have been lost.
        ProofCase{"UnreachableOnce", {kUnreachable}, false},
        ProofCase{"UnreachableTwice", {kUnreachable, kUnreachable}, true},
        ProofCase{
            "UnreachableApart", {kUnreachable, kSilent, kUnreachable}, false},
        // Guards against taking failed calls for the end of a run (review/13,
        // REPORT-3).
        ProofCase{"Failed", {kUnknown, kUnknown, kUnknown, kUnknown}, false},
        ProofCase{"Silent", {kSilent, kSilent, kSilent, kSilent}, false},
        ProofCase{"Refused", {kRefused, kRefused, kRefused, kRefused}, false}),
    [](const auto& proof) { return std::string(proof.param.name); });

struct SlowCase {
  const char* name;
  std::vector<StopResult> results;
  // After the last one.
  Next next;
  StopRequest request;
};

class SlowRunStopTest : public testing::TestWithParam<SlowCase> {};

TEST_P(SlowRunStopTest, DecidesAfterTheLastCall) {
  SlowRunStop stop;
  Next next = Next::kKeepRun;
  for (const StopResult result : GetParam().results) {
    stop.OnAsked();
    EXPECT_EQ(stop.request(), StopRequest::kPending);
    next = stop.OnResult(result);
  }
  EXPECT_EQ(next, GetParam().next);
  EXPECT_EQ(stop.request(), GetParam().request);
}

constexpr StopRequest kNone = StopRequest::kNone;
constexpr StopRequest kMayHaveStopped = StopRequest::kMayHaveStopped;

INSTANTIATE_TEST_SUITE_P(
    Calls, SlowRunStopTest,
    testing::Values(
        SlowCase{"NotAsked", {}, Next::kKeepRun, kNone},
        SlowCase{"Stopped", {kStopped}, Next::kLeave, kMayHaveStopped},
        SlowCase{"Gone", {kEngineGone}, Next::kLeave, kMayHaveStopped},
        // However often: it is queued.
        SlowCase{"NotRunning",
                 {kNotRunning, kNotRunning, kNotRunning},
                 Next::kKeepRun,
                 kNone},
        SlowCase{"Refused", {kRefused}, Next::kKeepRun, kNone},
        SlowCase{"Failed", {kUnknown}, Next::kAskAgain, kMayHaveStopped},
        SlowCase{"FailedOften",
                 {kUnknown, kUnknown, kUnknown, kUnknown, kUnknown},
                 Next::kAskAgain,
                 kMayHaveStopped},
        SlowCase{"SilentOnce", {kSilent}, Next::kAskAgain, kMayHaveStopped},
        SlowCase{"SilentTwice",
                 {kSilent, kSilent},
                 Next::kLeaveUnproven,
                 kMayHaveStopped},
        SlowCase{"SilentApart",
                 {kSilent, kUnknown, kSilent},
                 Next::kAskAgain,
                 kMayHaveStopped},
        SlowCase{"UnreachableTwice",
                 {kUnreachable, kUnreachable},
                 Next::kLeave,
                 kMayHaveStopped},
        SlowCase{"UnreachableApart",
                 {kUnreachable, kRefused, kUnreachable},
                 Next::kAskAgain,
                 kMayHaveStopped},
        // The call that failed may have stopped the run all the same.
        SlowCase{"RefusedAfterFailure",
                 {kUnknown, kRefused},
                 Next::kKeepRun,
                 kMayHaveStopped}),
    [](const auto& slow) { return std::string(slow.param.name); });

}  // namespace
}  // namespace balsam::retry
