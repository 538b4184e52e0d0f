// Attempts and final answers.
#include "services/gateway/exchange.h"

#include <algorithm>
#include <utility>

#include "libraries/base/log_event.h"

namespace balsam::gateway {
namespace {

using dispatch::AttemptResult;
using retry::AttemptEnd;
using std::chrono::milliseconds;

// An idempotent request that has no answer after this share of its latency
// objective is sent to another server.
constexpr double kSlowShare = 0.7;
// The same for generations, whose prompts queue at an engine under load.
constexpr double kSlowGenerationShare = 1.0;
// A request that may not run twice, and has no answer after so many latency
// objectives, counts against its server.
constexpr double kVerySlowShare = 2.0;
// Statuses by which a client is told that its request never ran.
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

AttemptResult ResultOf(AttemptEnd end) {
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
      body_(std::move(body)),
      received_(received),
      search_(context) {
  context_.exchanges.insert(this);
  search_.on_ended = [this](const auto& choice) { OnSearchEnded(choice); };
  deadline_timer_.setSingleShot(true);
  deadline_timer_.setTimerType(Qt::PreciseTimer);
  connect(&deadline_timer_, &QTimer::timeout, this, &Exchange::OnDeadline);
  slow_timer_.setSingleShot(true);
  connect(&slow_timer_, &QTimer::timeout, this, &Exchange::OnAttemptSlow);
}

Exchange::~Exchange() {
  Cancel();
  context_.exchanges.erase(this);
}

void Exchange::Start() {
  facts_ = context_.dialect.ReadRequest(head_);
  auto admission = Admit(context_, facts_, head_, body_, received_);
  if (const auto* rejection = std::get_if<Rejection>(&admission)) {
    Answer(rejection->status, rejection->reason, rejection->retry_after);
    return;
  }
  request_ = std::get<AdmittedRequest>(std::move(admission));
  Budget().OnFirstAttempt(received_);
  deadline_timer_.start(TimeLeft());
  if (Dispatch() == Placement::kNoCapacity) WaitOrRefuse();
}

std::string Exchange::WorkspaceName() const {
  return request_.workspace == nullptr ? "" : request_.workspace->name;
}

retry::SharedRetryBudget& Exchange::Budget() const {
  return context_.RetryBudgetOf(request_.service->name);
}

// --- Attempts ---

void Exchange::StartAttempt(const std::string& server_id,
                            const directory::Endpoint& endpoint,
                            const dispatch::Demand& demand,
                            DispatchOrder order) {
  order.server_id = server_id;
  order.workspace = WorkspaceName();
  if (facts_.time_left.has_value()) order.time_left = TimeLeft();
  Attempt attempt;
  attempt.server_id = server_id;
  attempt.endpoint = endpoint;
  attempt.demand = demand;
  attempt.started = BootClock::now();
  attempt.resumes = order.memory.has_value();
  attempt.connection =
      context_.pool.Acquire(server_id, endpoint, !request_.route->MayRepeat());
  context_.selector.OnStart(server_id, demand);
  if (request_.engine() != nullptr && context_.tell_load) context_.tell_load();
  attempt_ = std::move(attempt);
  LogSent();

  const http1::RequestHead head = context_.dialect.ToBackend(head_, order);
  http1::Framing framing;
  if (!body_.empty() || head.method == "POST" || head.method == "PUT") {
    framing.content_length = body_.size();
  }
  OutboundConnection::Request request;
  request.bytes = http1::Serialize(head, framing) + body_;
  request.is_head_request = head_.method == "HEAD";
  request.on_head = [this](const http1::ResponseHead& answer) {
    OnHead(answer);
  };
  request.on_body = [this](std::string_view bytes) { OnBody(bytes); };
  request.on_end = [this](OutboundConnection::End end) { OnEnd(end); };
  StartSlowTimer();
  attempt_->connection->Send(std::move(request));
}

void Exchange::LogSent() const {
  const BootTime now = BootClock::now();
  const dispatch::Usage usage =
      context_.selector.UsageOf(attempt_->server_id, now);
  const auto heard = context_.selector.reports().TotalReceivedAt(
      dispatch::ServerKey(attempt_->server_id));
  LogEvent line("sent");
  line.With("id", facts_.id)
      .With("server", attempt_->server_id)
      .With("sent", sent_attempts_)
      .With("goes_on", attempt_->resumes ? 1 : 0)
      .With("waited", now - received_)
      .With("rounds", search_.rounds())
      .With("requests", usage.requests)
      .With("tokens", usage.tokens)
      .With("unread", usage.pending_prefill_tokens)
      .With("config", request_.routes->version());
  // Of the others' load; without it this gateway keeps the server's book, or
  // knows nothing of them.
  if (heard.has_value()) line.With("load_age", now - *heard);
}

bool Exchange::CountsWhenSlow() const {
  return !request_.route->MayRepeat() || attempt_->resumes;
}

void Exchange::StartSlowTimer() {
  double share = kVerySlowShare;
  if (!CountsWhenSlow()) {
    share = request_.engine() != nullptr ? kSlowGenerationShare : kSlowShare;
  }
  slow_timer_.start(std::chrono::duration_cast<milliseconds>(
      request_.route->latency_objective * share));
}

void Exchange::OnEnd(OutboundConnection::End end) {
  slow_timer_.stop();
  SuspectIfBroken(end);
  if (attempt_->streaming) {
    OnStreamEnded(end);
    return;
  }
  OnAttemptEnded(Classify(end));
}

void Exchange::SuspectIfBroken(OutboundConnection::End end) {
  using End = OutboundConnection::End;
  const bool broken = end == End::kClosedUnanswered ||
                      (end == End::kBroken && !IsAskedToStop());
  if (!broken) return;
  // An engine that is taken away breaks off what it runs by no fault of it.
  const std::string& server_id = attempt_->server_id;
  if (context_.directory.StateOf(server_id) != directory::ServerState::kReady)
    return;
  const BootTime now = BootClock::now();
  const std::int64_t crashes =
      context_.suspicions.CrashesOf(request_.fingerprint, now) + 1;
  context_.suspicions.Learn(request_.fingerprint, crashes, now);
  context_.own_crashes.push_back(request_.fingerprint);
  if (context_.own_crashes.size() > kMaxOwnCrashes) {
    context_.own_crashes.pop_front();
  }
  LogEvent("request_suspected", LogEvent::Level::kWarning)
      .With("id", facts_.id)
      .With("server", server_id)
      .With("fingerprint", request_.fingerprint)
      .With("crashes", crashes);
}

AttemptEnd Exchange::Classify(OutboundConnection::End end) const {
  using End = OutboundConnection::End;
  if (end == End::kNotConnected) return AttemptEnd::kNotSent;
  if (end != End::kComplete) return AttemptEnd::kUnknown;
  const int status = attempt_->head.status;
  if (http1::IsSuccess(status)) return AttemptEnd::kAnswered;
  if (status == 421 || (attempt_->facts.proves_not_run && status > 421)) {
    return AttemptEnd::kNotRun;
  }
  // Without proof these would promise what is not known.
  if (PromisesNotRun(status) && !attempt_->facts.proves_not_run) {
    return AttemptEnd::kUnknown;
  }
  return status >= 500 ? AttemptEnd::kServerError : AttemptEnd::kAnswered;
}

void Exchange::OnAttemptEnded(AttemptEnd end) {
  // The run that was to move has ended, or never began.
  if (!attempt_->resumes) EndMove();
  if (end != AttemptEnd::kNotSent) ++sent_attempts_;
  EndAttempt(ResultOf(end));
  request_.demand.excluded.insert(attempt_->server_id);
  if (attempt_->resumes) {
    move_->OnResumeResult(false);
    return;
  }
  const retry::NextStep step = DecideNextStep(end);
  if (end != AttemptEnd::kAnswered) {
    LogEvent("attempt_ended", LogEvent::Level::kWarning)
        .With("id", facts_.id)
        .With("server", attempt_->server_id)
        .With("end", retry::NameOf(end))
        .With("status", attempt_->head.status)
        .With("sent", sent_attempts_)
        .With("next", retry::NameOf(step))
        .With("took", BootClock::now() - attempt_->started);
  }
  switch (step) {
    case retry::NextStep::kDeliver:
      DeliverBuffered();
      return;
    case retry::NextStep::kTryAnother:
      TryAnother(end);
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
  state.may_repeat = request_.route->MayRepeat();
  state.response_started = answer_begun_;
  state.sent_attempts = sent_attempts_;
  state.max_attempts = request_.route->max_attempts;
  state.time_left = TimeLeft() > milliseconds(0);
  state.budget_left = Budget().CanSpend(BootClock::now());
  return retry::DecideNextStep(state);
}

void Exchange::TryAnother(AttemptEnd end) {
  if (end != AttemptEnd::kNotSent) {
    Budget().TrySpend(BootClock::now());
  }
  context_.metrics.CountEvent("attempts_repeated_total");
  if (TryDispatch()) return;
  switch (end) {
    case AttemptEnd::kNotSent:
    case AttemptEnd::kNotRun:
      Answer(503, "no_other_server", RetryAfter());
      return;
    case AttemptEnd::kServerError:
      DeliverBuffered();
      return;
    case AttemptEnd::kAnswered:
    case AttemptEnd::kUnknown:
      Answer(502, "no_other_server");
      return;
  }
}

void Exchange::EndAttempt(AttemptResult result) {
  Attempt& attempt = *attempt_;
  if (attempt.connection == nullptr) return;
  const BootTime now = BootClock::now();
  context_.selector.OnEnd(attempt.server_id, attempt.demand, attempt.began);
  context_.selector.OnResult(attempt.server_id, result, now);
  // Generations count from their first event on. A request that met no room
  // took none.
  const bool took_room =
      result == AttemptResult::kSucceeded || result == AttemptResult::kFailed;
  if (request_.work_kind() == dispatch::WorkKind::kPlain && took_room) {
    context_.forecasts[request_.service->name].OnWorkDone(work(), now);
  }
  context_.pool.Release(attempt.server_id,
                        std::exchange(attempt.connection, nullptr));
  if (context_.on_room) context_.on_room();
}

void Exchange::AbortAttempt(AttemptResult result) {
  if (!attempt_.has_value() || attempt_->connection == nullptr) return;
  attempt_->connection->Abort();
  EndAttempt(result);
}

void Exchange::OnAttemptSlow() {
  if (!attempt_.has_value() || attempt_->connection == nullptr) return;
  const BootTime now = BootClock::now();
  if (!std::exchange(attempt_->reported_slow, true)) {
    context_.selector.OnResult(
        attempt_->server_id,
        CountsWhenSlow() ? AttemptResult::kFailed : AttemptResult::kSlow, now);
  }
  const bool may_give_up = !CountsWhenSlow() && !answer_begun_ &&
                           sent_attempts_ + 1 < request_.route->max_attempts;
  if (!may_give_up || !Budget().CanSpend(now)) {
    return;
  }
  // Under load all servers are slow: what waits is given up only for a place.
  dispatch::Demand elsewhere = request_.demand;
  elsewhere.excluded.insert(attempt_->server_id);
  if (!context_.selector
           .Select(context_.directory, request_.engine(), elsewhere, now)
           .has_value()) {
    return;
  }
  attempt_->connection->Abort();
  OnAttemptEnded(AttemptEnd::kUnknown);
}

// --- Final answers ---

void Exchange::OnDeadline() {
  if (waiting_ || !attempt_.has_value()) {
    LeaveLine();
    Answer(503, "deadline_while_waiting", milliseconds(0));
    return;
  }
  AbortAttempt(AttemptResult::kFailed);
  if (answer_begun_) {
    BreakOff("deadline");
  } else {
    Answer(504, "deadline");
  }
}

void Exchange::Cancel() {
  if (finished_) return;
  LeaveLine();
  AbortAttempt(AttemptResult::kInconclusive);
  Finish("client_left", 0);
}

void Exchange::Answer(int status, std::string_view reason,
                      std::optional<milliseconds> retry_after) {
  http1::ResponseHead head =
      context_.dialect.OwnAnswer(status, facts_.id, retry_after);
  LogEvent("own_answer")
      .With("id", facts_.id)
      .With("status", status)
      .With("reason", reason)
      .With("retry_after", retry_after.value_or(milliseconds(0)))
      .With("attempts", sent_attempts_)
      .With("config",
            request_.routes == nullptr ? 0 : request_.routes->version());
  Finish(reason, status);
  sink_.SendWhole(std::move(head), std::string(reason) + "\n");
}

void Exchange::BreakOff(std::string_view outcome) {
  Finish(outcome, 0);
  sink_.BreakOff();
}

void Exchange::Finish(std::string_view outcome, int status) {
  if (std::exchange(finished_, true)) return;
  EndMove();
  deadline_timer_.stop();
  slow_timer_.stop();
  CountFinished(outcome, status);
  LogEvent("request")
      .With("id", facts_.id)
      .With("route", request_.route == nullptr ? "" : request_.route->name)
      .With("outcome", outcome)
      .With("status", status)
      .With("server", attempt_.has_value() ? attempt_->server_id : "")
      .With("attempts", sent_attempts_)
      .With("events", events_.events())
      .With("first", event_times_.first == BootTime{}
                         ? std::chrono::nanoseconds(0)
                         : event_times_.first - received_)
      .With("pause", event_times_.longest_pause)
      .With("prompt", facts_.prompt_tokens)
      .With("took", BootClock::now() - received_);
}

telemetry::RequestInstruments& Exchange::Instruments() {
  // Looked up once: the map is not for each event of a stream.
  if (instruments_ == nullptr) {
    instruments_ = &context_.metrics.For(
        WorkspaceName(), std::string(routing::NameOf(request_.route->kind)));
  }
  return *instruments_;
}

void Exchange::CountFinished(std::string_view outcome, int status) {
  context_.metrics.CountOutcome(WorkspaceName(), status, outcome);
  if (event_times_.first == BootTime{}) return;
  telemetry::RequestInstruments& instruments = Instruments();
  instruments.first_token->Observe(
      telemetry::Seconds(event_times_.first - received_));
  instruments.stall->Observe(telemetry::Seconds(event_times_.stall));
  instruments.tokens->Increment(static_cast<double>(events_.events()));
}

}  // namespace balsam::gateway
