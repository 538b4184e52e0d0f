// Relaying a backend server's answer to the client, and keeping a stream whole
// while its run moves to another engine.
#include <algorithm>
#include <utility>

#include "libraries/base/log_event.h"
#include "services/gateway/exchange.h"

namespace balsam::gateway {
namespace {

using dispatch::AttemptResult;
using std::chrono::milliseconds;

// Whole answers up to this size are kept back until they are complete, so that
// a broken one can be replaced by another server's.
constexpr std::size_t kMaxBufferedAnswer = 256 << 10;
// The outcome in the log of an answer that reached the client whole, whatever
// its status.
constexpr std::string_view kDelivered = "delivered";

}  // namespace

std::optional<std::chrono::nanoseconds> Exchange::EventTimes::OnEvents(
    BootTime now) {
  const BootTime before = std::exchange(last, now);
  if (first == BootTime{}) {
    first = now;
    return std::nullopt;
  }
  const std::chrono::nanoseconds pause = now - before;
  longest_pause = std::max(longest_pause, pause);
  if (pause > telemetry::kStallThreshold) {
    stall += pause - telemetry::kStallThreshold;
  }
  return pause;
}

void Exchange::OnHead(const http1::ResponseHead& head) {
  attempt_->head = head;
  attempt_->facts = context_.dialect.ReadAnswer(head);
  const AnswerFacts& facts = attempt_->facts;
  const bool foreign =
      !facts.request_id.empty() && facts.request_id != facts_.id;
  const bool unusable =
      http1::IsSuccess(head.status) &&
      (facts.request_id.empty() || !facts.is_sealed || facts.is_encoded);
  if (foreign || unusable) {
    RejectAnswer(foreign ? "names_another_request" : "not_signed");
    return;
  }
  attempt_->streaming = http1::IsSuccess(head.status) &&
                        request_.route->kind == routing::RequestKind::kStream;
  if (!attempt_->streaming || !attempt_->resumes) return;
  move_->OnResumeResult(true);
  // The engine that goes on may have been told to leave meanwhile.
  MoveIfLeaving();
}

void Exchange::RejectAnswer(std::string_view reason) {
  LogEvent("answer_rejected", LogEvent::Level::kWarning)
      .With("id", facts_.id)
      .With("server", attempt_->server_id)
      .With("status", attempt_->head.status)
      .With("reason", reason);
  attempt_->connection->Abort();
  OnEnd(OutboundConnection::End::kBroken);
}

void Exchange::OnBody(std::string_view bytes) {
  if (attempt_->streaming) {
    RelayEvents(bytes);
    return;
  }
  if (answer_begun_) {
    sink_.WriteBody(bytes);
  } else {
    attempt_->body += bytes;
    if (attempt_->body.size() > kMaxBufferedAnswer) {
      if (!http1::IsSuccess(attempt_->head.status)) {
        RejectAnswer("failure_too_long");
        return;
      }
      answer_begun_ = true;
      sink_.BeginBody(attempt_->head);
      sink_.WriteBody(std::exchange(attempt_->body, {}));
    }
  }
  if (sink_.IsFull()) attempt_->connection->SetPaused(true);
}

void Exchange::RelayEvents(std::string_view bytes) {
  const std::string events = events_.Append(bytes);
  if (events_.fault() != migration::EventStreamMerger::Fault::kNone) {
    const bool too_long =
        events_.fault() == migration::EventStreamMerger::Fault::kTooLong;
    const std::string_view fault = too_long ? "event_too_long" : "event_gap";
    LogEvent(fault, LogEvent::Level::kError)
        .With("id", facts_.id)
        .With("server", attempt_->server_id)
        .With("after", events_.last_event().value_or(0));
    ++sent_attempts_;
    EndAttempt(AttemptResult::kFailed);
    if (answer_begun_) {
      BreakOff(fault);
    } else {
      Answer(502, fault);
    }
    return;
  }
  if (events.empty()) return;
  slow_timer_.stop();
  const BootTime now = BootClock::now();
  if (const auto pause = event_times_.OnEvents(now)) {
    Instruments().between_tokens->Observe(telemetry::Seconds(*pause));
  }
  if (!std::exchange(attempt_->began, true)) {
    context_.selector.OnFirstEvent(attempt_->server_id, attempt_->demand);
    context_.forecasts[request_.service->name].OnWorkDone(work(), now);
    if (context_.on_room) context_.on_room();
  }
  const bool first = !std::exchange(answer_begun_, true);
  if (first) sink_.BeginBody(attempt_->head);
  sink_.WriteBody(events);
  if (sink_.IsFull()) attempt_->connection->SetPaused(true);
  if (first) MoveIfLeaving();
}

void Exchange::OnSinkDrained() {
  if (attempt_.has_value() && attempt_->connection != nullptr) {
    attempt_->connection->SetPaused(false);
  }
}

void Exchange::DeliverBuffered() {
  const int status = attempt_->head.status;
  // A server that answers has not crashed.
  context_.suspicions.OnCompleted(request_.fingerprint);
  Finish(kDelivered, status);
  if (answer_begun_) {
    sink_.EndBody();
    return;
  }
  sink_.SendWhole(std::move(attempt_->head), std::move(attempt_->body));
}

void Exchange::OnStreamEnded(OutboundConnection::End end) {
  if (end == OutboundConnection::End::kComplete && !events_.has_partial()) {
    ++sent_attempts_;
    EndAttempt(AttemptResult::kSucceeded);
    DeliverBuffered();
    return;
  }
  const bool asked = IsAskedToStop();
  EndAttempt(asked ? AttemptResult::kInconclusive : AttemptResult::kFailed);
  if (!asked) {
    LogEvent("stream_broken", LogEvent::Level::kWarning)
        .With("id", facts_.id)
        .With("server", attempt_->server_id)
        .With("events", events_.events())
        .With("moving", move_ != nullptr ? 1 : 0)
        .With("took", BootClock::now() - attempt_->started);
  }
  if (move_ != nullptr) {
    move_->OnSourceStreamBroken();
    return;
  }
  OnStreamLost();
}

void Exchange::OnStreamLost() {
  EndMove();
  events_.OnEngineChanged();
  ++sent_attempts_;
  request_.demand.excluded.insert(attempt_->server_id);
  // Another run may go on after the last event that the client has.
  const bool may_go_on = request_.route->MayRepeat() &&
                         sent_attempts_ < request_.route->max_attempts &&
                         TimeLeft() > milliseconds(0);
  if (may_go_on && Budget().TrySpend(BootClock::now()) && TryDispatch()) {
    return;
  }
  if (answer_begun_) {
    BreakOff("stream_lost");
  } else {
    Answer(502, "stream_lost");
  }
}

// --- Moves ---

void Exchange::OnServerLeaving(const std::string& server_id) {
  const bool runs_there = !finished_ && attempt_.has_value() &&
                          attempt_->connection != nullptr &&
                          attempt_->server_id == server_id;
  if (!runs_there || move_ != nullptr) return;
  const routing::EngineTraits* engine = request_.engine();
  if (engine == nullptr || !engine->can_migrate ||
      request_.route->kind != routing::RequestKind::kStream) {
    return;
  }
  // Before its first event there is no run to copy; that event starts the move.
  if (events_.events() == 0) return;
  move_ = std::make_unique<GenerationMove>(
      context_, *engine,
      GenerationMove::Run{facts_.id,
                          server_id,
                          attempt_->endpoint,
                          request_.demand,
                          {request_.route->MayRepeat(), tokens()}});
  move_->on_resume = [this](const GenerationMove::Continuation& continuation) {
    Resume(continuation);
  };
  move_->on_done = [this] {
    context_.metrics.CountEvent("moves_done_total");
    EndMove();
  };
  move_->on_lost = [this] {
    context_.metrics.CountEvent("moves_lost_total");
    OnStreamLost();
  };
  context_.metrics.CountEvent("moves_begun_total");
  move_->Start();
}

void Exchange::MoveIfLeaving() {
  const std::string server_id = attempt_->server_id;
  if (context_.directory.StateOf(server_id) ==
      directory::ServerState::kLeaving) {
    OnServerLeaving(server_id);
  }
}

void Exchange::OnServerRestarted(const std::string& server_id) {
  if (finished_ || !attempt_.has_value() || attempt_->server_id != server_id ||
      attempt_->connection == nullptr) {
    return;
  }
  attempt_->connection->Abort();
  OnEnd(OutboundConnection::End::kBroken);
}

void Exchange::Resume(const GenerationMove::Continuation& continuation) {
  // What the source still had to send has arrived, or is made again by the
  // engine that goes on.
  AbortAttempt(AttemptResult::kInconclusive);
  events_.OnEngineChanged();
  DispatchOrder order;
  order.memory = continuation.memory;
  order.last_event = events_.last_event();
  StartAttempt(continuation.server_id, continuation.endpoint,
               continuation.demand, std::move(order));
  attempt_->began = true;
  context_.selector.OnFirstEvent(continuation.server_id, continuation.demand);
}

bool Exchange::IsAskedToStop() const {
  return move_ != nullptr && move_->stopping();
}

void Exchange::EndMove() {
  if (move_ == nullptr) return;
  move_->End();
  // It may be the caller.
  move_.release()->deleteLater();
}

}  // namespace balsam::gateway
