// The step after an attempt, as a decision table, and the shared retry budget.
#include <gtest/gtest.h>

#include <ostream>

#include "libraries/retry/attempt_policy.h"
#include "libraries/retry/shared_retry_budget.h"

namespace balsam::retry {
namespace {

struct PolicyCase {
  const char* name;
  AttemptState state;
  NextStep next;
};

// Keeps addresses out of the printed test parameters.
void PrintTo(const PolicyCase& value, std::ostream* out) { *out << value.name; }

AttemptState MakeState(AttemptEnd end, bool may_repeat, int sent, int max) {
  AttemptState state;
  state.end = end;
  state.may_repeat = may_repeat;
  state.sent_attempts = sent;
  state.max_attempts = max;
  return state;
}

AttemptState WithField(AttemptState state, bool AttemptState::*field,
                       bool value) {
  state.*field = value;
  return state;
}

class AttemptPolicyTest : public testing::TestWithParam<PolicyCase> {};

TEST_P(AttemptPolicyTest, Decides) {
  EXPECT_EQ(DecideNextStep(GetParam().state), GetParam().next);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, AttemptPolicyTest,
    testing::Values(
        PolicyCase{"ResponseIsDelivered",
                   MakeState(AttemptEnd::kAnswered, false, 1, 1),
                   NextStep::kDeliver},
        PolicyCase{"NotSentTriesAnother",
                   MakeState(AttemptEnd::kNotSent, false, 0, 1),
                   NextStep::kTryAnother},
        PolicyCase{"NotSentWithoutTimeIsRefused",
                   WithField(MakeState(AttemptEnd::kNotSent, false, 0, 1),
                             &AttemptState::time_left, false),
                   NextStep::kRefuse},
        PolicyCase{"NotRunTriesAnother",
                   MakeState(AttemptEnd::kNotRun, false, 1, 2),
                   NextStep::kTryAnother},
        PolicyCase{"NotRunAfterTheLastAttemptIsRefused",
                   MakeState(AttemptEnd::kNotRun, false, 1, 1),
                   NextStep::kRefuse},
        PolicyCase{"NotRunWithoutBudgetIsRefused",
                   WithField(MakeState(AttemptEnd::kNotRun, true, 1, 2),
                             &AttemptState::budget_left, false),
                   NextStep::kRefuse},
        PolicyCase{"UnknownOfNonRepeatableFails",
                   MakeState(AttemptEnd::kUnknown, false, 1, 5),
                   NextStep::kFail},
        PolicyCase{"UnknownOfRepeatableTriesAnother",
                   MakeState(AttemptEnd::kUnknown, true, 1, 2),
                   NextStep::kTryAnother},
        PolicyCase{"UnknownAfterTheLastAttemptFails",
                   MakeState(AttemptEnd::kUnknown, true, 2, 2),
                   NextStep::kFail},
        PolicyCase{"ServerErrorOfNonRepeatableIsDelivered",
                   MakeState(AttemptEnd::kServerError, false, 1, 5),
                   NextStep::kDeliver},
        PolicyCase{"ServerErrorOfRepeatableTriesAnother",
                   MakeState(AttemptEnd::kServerError, true, 1, 2),
                   NextStep::kTryAnother},
        PolicyCase{"ServerErrorWithoutBudgetIsDelivered",
                   WithField(MakeState(AttemptEnd::kServerError, true, 1, 2),
                             &AttemptState::budget_left, false),
                   NextStep::kDeliver},
        PolicyCase{"StartedResponseIsBrokenOff",
                   WithField(MakeState(AttemptEnd::kUnknown, true, 1, 5),
                             &AttemptState::response_started, true),
                   NextStep::kBreakOff},
        PolicyCase{
            "StartedResponseIsCompletedByItsOwnAttempt",
            WithField(WithField(MakeState(AttemptEnd::kAnswered, false, 1, 1),
                                &AttemptState::response_started, true),
                      &AttemptState::is_relayed, true),
            NextStep::kDeliver},
        PolicyCase{"StartedResponseGoesOnBehindServerThatDidNotRunIt",
                   WithField(MakeState(AttemptEnd::kNotRun, true, 2, 3),
                             &AttemptState::response_started, true),
                   NextStep::kTryAnother},
        PolicyCase{"StartedResponseGoesOnBehindUnreachableServer",
                   WithField(MakeState(AttemptEnd::kNotSent, true, 1, 2),
                             &AttemptState::response_started, true),
                   NextStep::kTryAnother},
        PolicyCase{"StartedResponseIsBrokenOffAfterTheLastAttempt",
                   WithField(MakeState(AttemptEnd::kNotRun, true, 2, 2),
                             &AttemptState::response_started, true),
                   NextStep::kBreakOff},
        PolicyCase{"StartedResponseIsNotRepeatedWithoutPermission",
                   WithField(MakeState(AttemptEnd::kNotSent, false, 1, 2),
                             &AttemptState::response_started, true),
                   NextStep::kBreakOff},
        PolicyCase{"StartedResponseIsNotCompletedByAnotherAttempt",
                   WithField(MakeState(AttemptEnd::kAnswered, true, 2, 2),
                             &AttemptState::response_started, true),
                   NextStep::kBreakOff}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(SharedRetryBudgetTest, AllEntriesTogetherStayWithinTheBudget) {
  using std::chrono::milliseconds;
  constexpr int kEntries = 5;
  const SharedRetryBudget::Limits limits{0.2, 50.0, milliseconds(10000)};
  std::vector<SharedRetryBudget> budgets(kEntries, SharedRetryBudget(limits));
  for (auto& budget : budgets) budget.SetEntryCount(kEntries);
  BootTime now = BootTime{} + std::chrono::hours(1);
  int first = 0;
  int spent = 0;
  // Every request fails and is retried as often as the budget allows.
  for (int step = 0; step < 1000; ++step, now += milliseconds(10)) {
    auto& budget = budgets[step % kEntries];
    budget.OnFirstAttempt(now);
    ++first;
    while (budget.TrySpend(now)) ++spent;
  }
  EXPECT_LE(spent, limits.ratio * first + limits.slack);
  EXPECT_GT(spent, 0);
  // Spent retries become available again as the window slides.
  now += milliseconds(10001);
  EXPECT_TRUE(budgets[0].CanSpend(now));
}

}  // namespace
}  // namespace balsam::retry
