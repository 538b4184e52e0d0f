// Conclusions from calls that stop runs.
#include "libraries/retry/run_stop.h"

#include <utility>

namespace balsam::retry {
namespace {

directory::Contact ContactOf(StopResult result) {
  switch (result) {
    case StopResult::kEngineGone:
      return directory::Contact::kRefused;
    case StopResult::kUnreachable:
      return directory::Contact::kTimedOut;
    case StopResult::kStopped:
    case StopResult::kNotRunning:
    case StopResult::kRefused:
    case StopResult::kSilent:
    case StopResult::kUnknown:
      return directory::Contact::kAccepted;
  }
  return directory::Contact::kInconclusive;
}

}  // namespace

bool StopProof::Add(StopResult result) {
  const bool is_gone =
      presence_.OnContact(ContactOf(result)) == directory::Presence::kGone;
  const bool is_not_running = result == StopResult::kNotRunning;
  const bool was_not_running = std::exchange(was_not_running_, is_not_running);
  return is_gone || result == StopResult::kStopped ||
         (is_not_running && was_not_running);
}

SlowRunStop::Next SlowRunStop::OnResult(StopResult result) {
  is_pending_ = false;
  if (result == StopResult::kNotRunning || result == StopResult::kRefused) {
    proof_ = StopProof();
    silent_calls_ = 0;
    return Next::kKeepRun;
  }
  may_have_stopped_ = true;
  if (proof_.Add(result)) return Next::kLeave;
  silent_calls_ = result == StopResult::kSilent ? silent_calls_ + 1 : 0;
  return silent_calls_ < kMaxSilentCalls ? Next::kAskAgain
                                         : Next::kLeaveUnproven;
}

StopRequest SlowRunStop::request() const {
  if (is_pending_) return StopRequest::kPending;
  return may_have_stopped_ ? StopRequest::kMayHaveStopped : StopRequest::kNone;
}

}  // namespace balsam::retry
