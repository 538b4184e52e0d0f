// Decision table for the step after an attempt.
#include "libraries/retry/attempt_policy.h"

namespace balsam::retry {
namespace {

bool MayTryAnother(const AttemptState& state) {
  return state.time_left && state.budget_left &&
         state.sent_attempts < state.max_attempts;
}

}  // namespace

NextStep DecideNextStep(const AttemptState& state) {
  // Another response, whatever its status, cannot complete the one that the
  // client has a part of.
  const bool is_completed =
      state.end == AttemptEnd::kAnswered && state.is_relayed;
  if (state.response_started && !is_completed) {
    // A server that did not run the request changes nothing for its stream.
    const bool not_run =
        state.end == AttemptEnd::kNotSent || state.end == AttemptEnd::kNotRun;
    return not_run && state.may_repeat && MayTryAnother(state)
               ? NextStep::kTryAnother
               : NextStep::kBreakOff;
  }
  switch (state.end) {
    case AttemptEnd::kAnswered:
      return NextStep::kDeliver;
    case AttemptEnd::kNotSent:
      // No server received the request, so it counts neither as an attempt nor
      // against the budget.
      return state.time_left ? NextStep::kTryAnother : NextStep::kRefuse;
    case AttemptEnd::kNotRun:
      return MayTryAnother(state) ? NextStep::kTryAnother : NextStep::kRefuse;
    case AttemptEnd::kServerError:
      return state.may_repeat && MayTryAnother(state) ? NextStep::kTryAnother
                                                      : NextStep::kDeliver;
    case AttemptEnd::kUnknown:
      return state.may_repeat && MayTryAnother(state) ? NextStep::kTryAnother
                                                      : NextStep::kFail;
  }
  return NextStep::kFail;
}

}  // namespace balsam::retry
