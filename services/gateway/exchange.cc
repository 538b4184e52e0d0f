// Attempts of an exchange and what follows from their ends.
#include "services/gateway/exchange.h"

#include <QPointer>
#include <algorithm>
#include <utility>

#include "libraries/base/log_event.h"

namespace balsam::gateway {
namespace {

using dispatch::AttemptResult;
using retry::AttemptEnd;
using std::chrono::milliseconds;

// A body up to this size is copied behind the head, which saves a write. The
// attempts of a request share a larger one.
constexpr std::size_t kMaxCopiedBody = 16 << 10;

// Returns whether a response with this status tells the client that its request
// was never run.
bool ImpliesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

AttemptResult ToAttemptResult(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kNotSent:
      return AttemptResult::kUnreachable;
    case AttemptEnd::kNotRun:
      return AttemptResult::kRefused;
    case AttemptEnd::kAnswered:
      return AttemptResult::kSucceeded;
    case AttemptEnd::kServerError:
    case AttemptEnd::kUnknown:
      return AttemptResult::kFailed;
  }
  return AttemptResult::kFailed;
}

}  // namespace

Exchange::Exchange(GatewayContext& context, ResponseSink& sink,
                   http1::RequestHead head, std::string body, BootTime received)
    : context_(context),
      sink_(sink),
      head_(std::move(head)),
      body_(std::make_shared<const std::string>(std::move(body))),
      received_(received),
      search_(context) {
  context_.exchanges.insert(this);
  search_.on_ended = [this](const auto& choice) { OnSearchEnded(choice); };
  deadline_timer_.setSingleShot(true);
  deadline_timer_.setTimerType(Qt::PreciseTimer);
  connect(&deadline_timer_, &QTimer::timeout, this, &Exchange::OnDeadline);
  slow_timer_.setSingleShot(true);
  connect(&slow_timer_, &QTimer::timeout, this, &Exchange::OnAttemptSlow);
  stop_wait_timer_.setSingleShot(true);
  connect(&stop_wait_timer_, &QTimer::timeout, this, &Exchange::EndStopWait);
}

Exchange::~Exchange() {
  Cancel();
  context_.exchanges.erase(this);
}

void Exchange::Start() {
  metadata_ = context_.dialect.ParseRequest(head_);
  events_ = migration::EventStreamMerger(metadata_.last_event);
  auto admission = Admit(context_, metadata_, head_, *body_, received_);
  if (const auto* rejection = std::get_if<Rejection>(&admission)) {
    Answer(rejection->status, rejection->reason, rejection->retry_after);
    return;
  }
  request_ = std::get<AdmittedRequest>(std::move(admission));
  RetryBudget().OnFirstAttempt(received_);
  deadline_timer_.start(TimeLeft());
  if (Dispatch() == DispatchResult::kNoCapacity) EnqueueOrReject();
}

std::string Exchange::WorkspaceName() const {
  return request_.workspace == nullptr ? "" : request_.workspace->name;
}

retry::SharedRetryBudget& Exchange::RetryBudget() const {
  return context_.RetryBudgetFor(request_.service->name);
}

// --- Attempts ---

void Exchange::StartAttempt(const std::string& server_id,
                            const directory::Endpoint& endpoint,
                            const dispatch::Demand& demand,
                            DispatchOptions options) {
  options.server_id = server_id;
  options.workspace = WorkspaceName();
  Attempt attempt;
  // Before the time limit is computed, so that the server's deadline is not
  // expected later than it is.
  attempt.started = context_.now();
  if (metadata_.time_left.has_value()) options.time_left = TimeLeft();
  attempt.time_limit = options.time_left;
  attempt.server_id = server_id;
  attempt.endpoint = endpoint;
  attempt.demand = demand;
  attempt.holding = intake::ResponseHolding(context_.response_account);
  attempt.is_resumed = options.memory.has_value();
  attempt.connection = ConnectionLease(context_.pool, server_id, endpoint,
                                       request_.route->MayRepeat()
                                           ? ConnectionPool::Use::kRequest
                                           : ConnectionPool::Use::kRequestOnce);
  context_.selector.OnStart(server_id, demand);
  if (request_.engine() != nullptr && context_.send_load) context_.send_load();
  attempt_ = std::move(attempt);
  is_stopping_run_ = false;
  ++started_attempts_;
  LogSent();

  const http1::RequestHead head =
      context_.dialect.MakeBackendRequest(head_, options);
  http1::Framing framing;
  if (!body_->empty() || head.method == "POST" || head.method == "PUT") {
    framing.content_length = body_->size();
  }
  OutboundConnection::Request request;
  request.bytes = http1::Serialize(head, framing);
  if (body_->size() <= kMaxCopiedBody) {
    request.bytes += *body_;
  } else {
    request.body = body_;
  }
  request.is_head_request = head_.method == "HEAD";
  request.on_head = [this](const http1::ResponseHead& response) {
    OnHead(response);
  };
  request.on_body = [this](std::string_view bytes) { OnBody(bytes); };
  request.on_end = [this](OutboundConnection::EndReason end) { OnEnd(end); };
  StartSlowTimer();
  attempt_->connection->Send(std::move(request));
}

void Exchange::OnEnd(OutboundConnection::EndReason end) {
  slow_timer_.stop();
  if (end == OutboundConnection::EndReason::kComplete) {
    const retry::UnframedEnd judged = JudgeEnd();
    attempt_->is_end_undecided = judged == retry::UnframedEnd::kUndecided;
    if (attempt_->is_end_undecided) return;
    if (judged != retry::UnframedEnd::kWhole) {
      end = OutboundConnection::EndReason::kBroken;
    }
  }
  if (end == OutboundConnection::EndReason::kComplete &&
      attempt_->finder.has_value()) {
    const int attempt = started_attempts_;
    HoldOrRelay(attempt_->finder->TakeRest());
    // The response may have been rejected, and the request sent elsewhere.
    if (finished_ || started_attempts_ != attempt || attempt_->is_rejected) {
      return;
    }
  }
  attempt_->is_complete = end == OutboundConnection::EndReason::kComplete;
  attempt_->closed_orderly = attempt_->connection->closed_orderly();
  CheckForCrash(end);
  // A run that is being migrated is stopped by its migration.
  const bool may_run = !attempt_->is_complete && !IsStopRequested() &&
                       end != OutboundConnection::EndReason::kNotConnected;
  if (may_run) {
    // Without a response of its own, the request may not have begun to run.
    AbandonRun(attempt_->is_rejected || attempt_->head.status == 0);
  }
  if (attempt_->streaming) {
    OnStreamEnded(end);
    return;
  }
  OnAttemptEnded(ClassifyAttempt(end));
}

retry::UnframedEnd Exchange::JudgeEnd() {
  if (attempt_->streaming && attempt_->splitter.partial_bytes() > 0) {
    return retry::UnframedEnd::kBroken;
  }
  // A failure is not the result of a run that could be stopped.
  if (!attempt_->is_unframed || !http1::IsSuccess(attempt_->head.status)) {
    return retry::UnframedEnd::kWhole;
  }
  retry::UnframedResponse response;
  response.is_empty_stream = attempt_->streaming && !attempt_->is_relayed;
  response.stop_request = IsStopRequested()
                              ? retry::StopRequest::kMayHaveStopped
                              : attempt_->slow_stop.request();
  response.time_limit = attempt_->time_limit;
  response.took = context_.now() - attempt_->started;
  const retry::UnframedEnd end = retry::JudgeUnframedEnd(response);
  attempt_->is_stopped = end == retry::UnframedEnd::kStopped;
  if (attempt_->is_stopped) {
    LogEvent("run_may_be_stopped", LogEvent::Level::kWarning)
        .With("id", metadata_.id)
        .With("server", attempt_->server_id)
        .With("events", events_.events())
        .With("asked",
              response.stop_request == retry::StopRequest::kNone ? 0 : 1)
        .With("limit",
              response.time_limit.value_or(std::chrono::nanoseconds(0)))
        .With("took", response.took);
  }
  return end;
}

AttemptEnd Exchange::ClassifyAttempt(OutboundConnection::EndReason end) const {
  using EndReason = OutboundConnection::EndReason;
  if (end == EndReason::kNotConnected) return AttemptEnd::kNotSent;
  if (end != EndReason::kComplete) return AttemptEnd::kUnknown;
  const int status = attempt_->head.status;
  if (http1::IsSuccess(status)) return AttemptEnd::kAnswered;
  if (status == 421 || (attempt_->metadata.proves_not_run && status > 421)) {
    return AttemptEnd::kNotRun;
  }
  // Without that proof these statuses would promise the client that its request
  // was not run, which is not known.
  if (ImpliesNotRun(status) && !attempt_->metadata.proves_not_run) {
    return AttemptEnd::kUnknown;
  }
  return status >= 500 ? AttemptEnd::kServerError : AttemptEnd::kAnswered;
}

void Exchange::OnAttemptEnded(AttemptEnd end) {
  // The run that was being migrated has ended, or was never started.
  if (!attempt_->is_resumed) EndMigration();
  if (end != AttemptEnd::kNotSent) ++sent_attempts_;
  EndAttempt(ToAttemptResult(end));
  request_.demand.excluded.insert(attempt_->server_id);
  // A repeat without room is not queued, but fails.
  request_.demand.memory_left_free = 0.0;
  if (attempt_->is_resumed) {
    LogEvent("resume_refused", LogEvent::Level::kWarning)
        .With("id", metadata_.id)
        .With("server", attempt_->server_id)
        .With("end", retry::NameOf(end))
        .With("status", attempt_->head.status)
        .With("events", events_.events())
        .With("partial", attempt_->splitter.partial_bytes());
    OnResumeFailed(end);
    return;
  }
  const retry::NextStep step = DecideNextStep(end);
  if (end != AttemptEnd::kAnswered || step != retry::NextStep::kDeliver) {
    LogEvent("attempt_ended", LogEvent::Level::kWarning)
        .With("id", metadata_.id)
        .With("server", attempt_->server_id)
        .With("end", retry::NameOf(end))
        .With("status", attempt_->head.status)
        .With("sent", sent_attempts_)
        .With("next", retry::NameOf(step))
        .With("events", events_.events())
        .With("partial", attempt_->splitter.partial_bytes())
        .With("took", BootClock::now() - attempt_->started);
  }
  switch (step) {
    case retry::NextStep::kDeliver:
      CompleteResponse();
      return;
    case retry::NextStep::kTryAnother:
      RetryOnAnotherServer(end);
      return;
    case retry::NextStep::kRefuse:
      Answer(503, "refused_by_server", RetryAfter());
      return;
    case retry::NextStep::kFail:
      Answer(502, "server_failed");
      return;
    case retry::NextStep::kBreakOff:
      BreakOff("answer_broken");
      return;
  }
}

retry::NextStep Exchange::DecideNextStep(AttemptEnd end) const {
  retry::AttemptState state;
  state.end = end;
  state.may_repeat = MayRetryAfterCrash();
  state.response_started = response_started_;
  state.is_relayed = attempt_->is_relayed;
  state.sent_attempts = sent_attempts_;
  state.max_attempts = request_.route->max_attempts;
  state.time_left = TimeLeft() > milliseconds(0);
  state.budget_left = RetryBudget().CanSpend(BootClock::now());
  return retry::DecideNextStep(state);
}

void Exchange::RetryOnAnotherServer(AttemptEnd end) {
  if (end != AttemptEnd::kNotSent) {
    RetryBudget().TrySpend(BootClock::now());
  }
  context_.metrics.CountEvent("attempts_repeated_total");
  repeated_end_ = end;
  RepeatAfterStop([this, end] {
    if (Dispatch() == DispatchResult::kNoCapacity) OnNoOtherServer(end);
  });
}

void Exchange::OnNoOtherServer(AttemptEnd end) {
  if (response_started_) {
    BreakOff("no_other_server");
    return;
  }
  switch (end) {
    case AttemptEnd::kNotSent:
    case AttemptEnd::kNotRun:
      Answer(503, "no_other_server", RetryAfter());
      return;
    case AttemptEnd::kServerError:
      CompleteResponse();
      return;
    case AttemptEnd::kAnswered:
    case AttemptEnd::kUnknown:
      Answer(502, "no_other_server");
      return;
  }
}

void Exchange::EndAttempt(AttemptResult result) {
  Attempt& attempt = *attempt_;
  if (!attempt.connection) return;
  const BootTime now = BootClock::now();
  context_.selector.OnEnd(attempt.server_id, attempt.demand,
                          attempt.has_output);
  context_.selector.OnResult(attempt.server_id, result, now);
  // Generations are counted at their first event. A request that the server had
  // no capacity for did no work.
  const bool did_work =
      result == AttemptResult::kSucceeded || result == AttemptResult::kFailed;
  if (request_.work_kind() == dispatch::WorkKind::kPlain && did_work) {
    context_.wait_estimators[request_.service->name].OnWorkDone(work(), now);
  }
  attempt.connection.End();
  if (context_.on_capacity_freed) context_.on_capacity_freed();
}

void Exchange::AbortAttempt(AttemptResult result) {
  if (!HasOpenAttempt()) return;
  AbandonRun(/*may_be_queued=*/attempt_->head.status == 0);
  CloseAttempt(result);
}

void Exchange::CloseAttempt(AttemptResult result) {
  if (!HasOpenAttempt()) return;
  attempt_->connection->Abort();
  EndAttempt(result);
}

}  // namespace balsam::gateway
