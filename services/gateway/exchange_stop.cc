// Runs that must be over before their request is sent to another server, and
// servers that are left because they are slow.
#include <QPointer>
#include <utility>

#include "services/gateway/exchange.h"

namespace balsam::gateway {
namespace {

using dispatch::AttemptResult;
using retry::AttemptEnd;
using std::chrono::milliseconds;

// An idempotent request without a response after this fraction of its latency
// objective is sent to another server.
constexpr double kSlowShare = 0.7;
// The same for generations, whose prompts queue at the engine under load.
constexpr double kSlowGenerationShare = 1.0;
// A request that must not run twice counts against its server when it has no
// response after this many latency objectives.
constexpr double kVerySlowShare = 2.0;
// How long a request that may be repeated waits for proof that its last run is
// over. The engine is asked for longer.
constexpr milliseconds kMaxStopWait{400};
// Delay before a slow engine that failed to stop a run is asked again.
constexpr milliseconds kSlowStopDelay{250};

}  // namespace

// --- Stopping ---

EngineRun Exchange::RunOfAttempt() const {
  return {metadata_.id, attempt_->server_id, attempt_->endpoint};
}

void Exchange::AbandonRun(bool may_be_queued) {
  const routing::EngineTraits* engine = request_.engine();
  if (engine == nullptr || !engine->can_migrate) return;
  if (std::exchange(attempt_->is_abandoned, true)) return;
  is_stopping_run_ = true;
  context_.run_stopper.Abandon(
      RunOfAttempt(), may_be_queued,
      [self = QPointer(this), attempt = started_attempts_] {
        if (self == nullptr || self->started_attempts_ != attempt) return;
        self->EndStopWait();
      });
}

void Exchange::RepeatAfterStop(std::function<void()> repeat) {
  if (!is_stopping_run_) {
    repeat();
    return;
  }
  repeat_ = std::move(repeat);
  stop_wait_timer_.start(kMaxStopWait);
}

void Exchange::EndStopWait() {
  is_stopping_run_ = false;
  stop_wait_timer_.stop();
  if (const auto repeat = std::exchange(repeat_, nullptr)) repeat();
}

// --- Slow servers ---

bool Exchange::MustKeepAttempt() const {
  return !request_.route->MayRepeat() || attempt_->is_resumed;
}

void Exchange::StartSlowTimer() {
  double share = kVerySlowShare;
  if (!MustKeepAttempt()) {
    share = request_.engine() != nullptr ? kSlowGenerationShare : kSlowShare;
  }
  slow_timer_.start(std::chrono::duration_cast<milliseconds>(
      request_.route->latency_objective * share));
}

void Exchange::OnAttemptSlow() {
  if (!HasOpenAttempt()) return;
  const BootTime now = BootClock::now();
  if (!std::exchange(attempt_->reported_slow, true)) {
    context_.selector.OnResult(
        attempt_->server_id,
        MustKeepAttempt() ? AttemptResult::kFailed : AttemptResult::kSlow, now);
  }
  if (!MayLeaveSlowServer(now)) return;
  if (request_.engine() != nullptr && request_.engine()->can_migrate) {
    AskSlowEngine();
  } else {
    LeaveSlowServer();
  }
}

bool Exchange::MayLeaveSlowServer(BootTime now) {
  const bool may_give_up = !MustKeepAttempt() && MayRetryAfterCrash() &&
                           !response_started_ &&
                           sent_attempts_ + 1 < request_.route->max_attempts;
  if (!may_give_up || !RetryBudget().CanSpend(now)) return false;
  // Under load all servers are slow, so a waiting attempt is abandoned only if
  // another server has capacity.
  dispatch::Demand elsewhere = request_.demand;
  elsewhere.excluded.insert(attempt_->server_id);
  const auto other = context_.selector.Select(
      context_.directory, request_.engine(), elsewhere, now);
  // There may be no permit for one that names a limit.
  return other.has_value() &&
         !context_.limits.LimitOf(dispatch::ServerKey(other->id)).has_value();
}

void Exchange::AskSlowEngine() {
  attempt_->slow_stop.OnAsked();
  context_.run_stopper.Ask(
      RunOfAttempt(), [self = QPointer(this),
                       attempt = started_attempts_](retry::StopResult result) {
        if (self == nullptr || self->finished_ ||
            self->started_attempts_ != attempt || !self->HasOpenAttempt()) {
          return;
        }
        self->OnSlowEngineAsked(result);
      });
}

void Exchange::OnSlowEngineAsked(retry::StopResult result) {
  using Next = retry::SlowRunStop::Next;
  const Next next = attempt_->slow_stop.OnResult(result);
  if (std::exchange(attempt_->is_end_undecided, false)) {
    OnEnd(OutboundConnection::EndReason::kComplete);
    return;
  }
  if (response_started_) return;
  switch (next) {
    case Next::kKeepRun:
      StartSlowTimer();
      return;
    case Next::kAskAgain:
      slow_timer_.start(kSlowStopDelay);
      return;
    case Next::kLeaveUnproven:
      // It may respond later, and go on with the run until then.
      AbandonRun(/*may_be_queued=*/true);
      LeaveSlowServer();
      return;
    case Next::kLeave:
      LeaveSlowServer();
      return;
  }
}

void Exchange::LeaveSlowServer() {
  attempt_->connection->Abort();
  OnAttemptEnded(AttemptEnd::kUnknown);
}

}  // namespace balsam::gateway
