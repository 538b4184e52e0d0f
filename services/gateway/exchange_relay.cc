// Relays a backend server's response to the client and keeps a stream
// continuous while its run migrates to another engine.
#include <QPointer>
#include <algorithm>
#include <utility>

#include "libraries/base/log_event.h"
#include "services/gateway/exchange.h"

namespace balsam::gateway {
namespace {

using dispatch::AttemptResult;
using retry::AttemptEnd;
using std::chrono::milliseconds;

// Responses other than event streams are buffered up to this size until they
// are complete, so that a truncated one can be replaced by a response from
// another server.
constexpr std::size_t kMaxBufferedResponse = 256 << 10;
// Outcome logged for a response that reached the client in full, whatever its
// status.
constexpr std::string_view kDelivered = "delivered";

}  // namespace

std::optional<std::chrono::nanoseconds> Exchange::EventTimes::OnEvents(
    BootTime now) {
  const BootTime before = std::exchange(last, now);
  if (first == BootTime{}) {
    first = now;
    return std::nullopt;
  }
  const std::chrono::nanoseconds gap = now - before;
  longest_gap = std::max(longest_gap, gap);
  if (gap > telemetry::kStallThreshold) {
    stall += gap - telemetry::kStallThreshold;
  }
  return gap;
}

void Exchange::OnHead(const http1::ResponseHead& head) {
  attempt_->head = head;
  attempt_->answered = BootClock::now();
  attempt_->is_unframed = attempt_->connection->response_is_unframed();
  attempt_->metadata = context_.dialect.ParseResponse(head);
  const ResponseMetadata& metadata = attempt_->metadata;
  const bool is_wrong_request =
      !metadata.request_id.empty() && metadata.request_id != metadata_.id;
  const bool unusable = http1::IsSuccess(head.status) &&
                        (metadata.request_id.empty() || !metadata.is_signed ||
                         metadata.is_encoded);
  if (is_wrong_request || unusable) {
    RejectResponse(is_wrong_request ? "names_another_request" : "not_signed");
    return;
  }
  attempt_->streaming = http1::IsSuccess(head.status) &&
                        request_.route->kind == routing::RequestKind::kStream;
  if (attempt_->streaming && attempt_->is_unframed) {
    attempt_->splitter =
        migration::EventSplitter(migration::EventSplitter::Framing::kUnframed);
  }
  if (!attempt_->streaming && attempt_->is_unframed) {
    // A body may be about HTTP, but not name a request.
    attempt_->finder.emplace([this](const http1::ResponseHead& other) {
      return !context_.dialect.ParseResponse(other).request_id.empty();
    });
  }
  if (!attempt_->streaming || !attempt_->is_resumed) return;
  migration_->OnResumeResult(true);
  // The engine that resumes the run may have started leaving in the meantime.
  MigrateIfLeaving();
}

void Exchange::RejectResponse(std::string_view reason) {
  LogEvent("answer_rejected", LogEvent::Level::kWarning)
      .With("id", metadata_.id)
      .With("server", attempt_->server_id)
      .With("status", attempt_->head.status)
      .With("reason", reason);
  attempt_->is_rejected = true;
  attempt_->connection->Abort();
  OnEnd(OutboundConnection::EndReason::kBroken);
}

void Exchange::OnBody(std::string_view bytes) {
  if (attempt_->streaming) {
    RelayEvents(bytes);
    return;
  }
  if (!attempt_->finder.has_value()) {
    HoldOrRelay(bytes);
    return;
  }
  const std::string own = attempt_->finder->Append(bytes);
  if (attempt_->finder->found()) {
    RejectResponse("followed_by_another");
    return;
  }
  HoldOrRelay(own);
}

void Exchange::HoldOrRelay(std::string_view bytes) {
  if (bytes.empty()) return;
  if (attempt_->is_relayed) {
    sink_.WriteBody(bytes);
  } else {
    attempt_->body += bytes;
    const bool fits = attempt_->holding.Resize(attempt_->body.capacity());
    if (fits && attempt_->body.size() <= kMaxBufferedResponse) return;
    // Only the success of a first run is relayed before it is complete.
    if (response_started_ || !http1::IsSuccess(attempt_->head.status)) {
      RejectResponse("failure_too_long");
      return;
    }
    response_started_ = true;
    attempt_->is_relayed = true;
    sink_.BeginBody(attempt_->head);
    sink_.WriteBody(std::exchange(attempt_->body, {}));
    attempt_->holding.Resize(0);
  }
  if (sink_.IsFull()) attempt_->connection->SetPaused(true);
}

void Exchange::RelayEvents(std::string_view bytes) {
  const std::string events = events_.Append(attempt_->splitter, bytes);
  const bool fits =
      attempt_->holding.Resize(attempt_->splitter.partial_bytes());
  if (!fits || events_.fault() != migration::EventStreamMerger::Fault::kNone) {
    const bool too_long =
        !fits ||
        events_.fault() == migration::EventStreamMerger::Fault::kTooLong;
    const std::string_view fault = too_long ? "event_too_long" : "event_gap";
    LogEvent(fault, LogEvent::Level::kError)
        .With("id", metadata_.id)
        .With("server", attempt_->server_id)
        .With("after", events_.last_event().value_or(0));
    ++sent_attempts_;
    AbortAttempt(AttemptResult::kFailed);
    if (response_started_) {
      BreakOff(fault);
    } else {
      Answer(502, fault);
    }
    return;
  }
  if (!events.empty()) RelayWholeEvents(events);
  if (!attempt_->splitter.ended()) return;
  // The server may keep the connection open.
  attempt_->connection->Abort();
  OnEnd(OutboundConnection::EndReason::kComplete);
}

void Exchange::RelayWholeEvents(std::string_view events) {
  slow_timer_.stop();
  const BootTime now = BootClock::now();
  if (const auto gap = event_times_.OnEvents(now)) {
    Instruments().between_tokens->Observe(telemetry::Seconds(*gap));
  }
  if (!std::exchange(attempt_->has_output, true)) {
    context_.selector.OnFirstEvent(attempt_->server_id, attempt_->demand);
    context_.wait_estimators[request_.service->name].OnWorkDone(work(), now);
    if (context_.on_capacity_freed) context_.on_capacity_freed();
  }
  if (attempt_->first_event == BootTime{}) attempt_->first_event = now;
  if (now - attempt_->first_event >= quarantine::kHarmlessAfter) {
    ProveHarmless();
  }
  const bool first = !std::exchange(response_started_, true);
  if (first) sink_.BeginBody(attempt_->head);
  attempt_->is_relayed = true;
  sink_.WriteBody(events);
  if (sink_.IsFull()) attempt_->connection->SetPaused(true);
  if (first) MigrateIfLeaving();
}

void Exchange::OnSinkDrained() {
  if (HasOpenAttempt()) attempt_->connection->SetPaused(false);
}

void Exchange::CompleteResponse() {
  const int status = attempt_->head.status;
  // A failure may come from a server that did not begin to run the request, and
  // a stream that nothing but its connection ends, from one that crashed.
  if (http1::IsSuccess(status) &&
      !(attempt_->streaming && attempt_->is_unframed)) {
    ProveHarmless();
  }
  Finish(kDelivered, status);
  if (response_started_) {
    sink_.EndBody();
    return;
  }
  sink_.SendComplete(std::move(attempt_->head), std::move(attempt_->body));
}

void Exchange::OnStreamEnded(OutboundConnection::EndReason end) {
  if (end == OutboundConnection::EndReason::kComplete) {
    ++sent_attempts_;
    EndAttempt(AttemptResult::kSucceeded);
    CompleteResponse();
    return;
  }
  const bool stop_requested = IsStopRequested();
  EndAttempt(stop_requested ? AttemptResult::kInconclusive
                            : AttemptResult::kFailed);
  if (!stop_requested) {
    LogEvent("stream_broken", LogEvent::Level::kWarning)
        .With("id", metadata_.id)
        .With("server", attempt_->server_id)
        .With("events", events_.events())
        .With("partial", attempt_->splitter.partial_bytes())
        .With("moving", migration_ != nullptr ? 1 : 0)
        .With("took", BootClock::now() - attempt_->started);
  }
  if (migration_ != nullptr) {
    migration_->OnSourceStreamEnded(attempt_->closed_orderly
                                        ? migration::StreamEnd::kClosed
                                        : migration::StreamEnd::kBroken);
    return;
  }
  OnStreamLost();
}

void Exchange::OnStreamLost() {
  // A migration that fails may leave the stream of its source open.
  AbortAttempt(AttemptResult::kInconclusive);
  EndMigration();
  ++sent_attempts_;
  request_.demand.excluded.insert(attempt_->server_id);
  // A new run can continue after the last event that the client received.
  const bool may_retry = MayRetryAfterCrash() &&
                         sent_attempts_ < request_.route->max_attempts &&
                         TimeLeft() > milliseconds(0);
  request_.demand.memory_left_free = 0.0;
  if (may_retry && RetryBudget().TrySpend(BootClock::now())) {
    // The search may go on, for a permit.
    repeated_end_ = AttemptEnd::kUnknown;
    RepeatAfterStop([this] {
      if (Dispatch() == DispatchResult::kNoCapacity) GiveUpLostStream();
    });
    return;
  }
  GiveUpLostStream();
}

void Exchange::GiveUpLostStream() {
  if (response_started_) {
    BreakOff("stream_lost");
  } else {
    Answer(502, "stream_lost");
  }
}

void Exchange::OnResumeFailed(AttemptEnd end) {
  if (end != AttemptEnd::kUnknown || attempt_->is_complete) {
    migration_->OnResumeResult(false);
    return;
  }
  // A source may accept the handle once more although it has been used.
  context_.run_stopper.StopAndConfirm(
      RunOfAttempt(), [self = QPointer(this)](bool is_over) {
        if (self == nullptr || self->finished_ || self->migration_ == nullptr) {
          return;
        }
        if (is_over) {
          self->migration_->OnResumeResult(false);
        } else {
          self->OnStreamLost();
        }
      });
}

// --- Migration ---

void Exchange::OnServerLeaving(const std::string& server_id) {
  const bool runs_on_server =
      !finished_ && HasOpenAttempt() && attempt_->server_id == server_id;
  if (!runs_on_server || migration_ != nullptr) return;
  // Whether there is a run left to move is about to be known.
  if (attempt_->is_end_undecided) return;
  const routing::EngineTraits* engine = request_.engine();
  if (engine == nullptr || !engine->can_migrate ||
      request_.route->kind != routing::RequestKind::kStream) {
    return;
  }
  // Before its first event there is no run to copy; that event starts the
  // migration.
  if (events_.events() == 0) return;
  migration_ = std::make_unique<GenerationMigration>(
      context_, *engine,
      GenerationMigration::Run{metadata_.id,
                               server_id,
                               attempt_->endpoint,
                               request_.demand,
                               {request_.route->MayRepeat(), tokens()},
                               attempt_->started});
  migration_->on_resume =
      [this](const GenerationMigration::ResumePoint& resume_point) {
        Resume(resume_point);
      };
  migration_->on_done = [this] {
    context_.metrics.CountEvent("moves_done_total");
    EndMigration();
  };
  migration_->on_lost = [this] {
    context_.metrics.CountEvent("moves_lost_total");
    OnStreamLost();
  };
  context_.metrics.CountEvent("moves_begun_total");
  migration_->Start();
}

void Exchange::MigrateIfLeaving() {
  const std::string server_id = attempt_->server_id;
  if (context_.directory.StateOf(server_id) ==
      directory::ServerState::kLeaving) {
    OnServerLeaving(server_id);
  }
}

void Exchange::OnServerRestarted(const directory::BackendServer& server) {
  if (migration_ != nullptr) migration_->OnServerRestarted(server);
  const bool runs_elsewhere =
      finished_ || !HasOpenAttempt() || attempt_->server_id != server.id;
  // At the same address, the connection tells the incarnations apart: one to
  // the former has been reset, or is within seconds of silence
  // (net::TcpStream). What it still serves runs on the new one.
  if (runs_elsewhere || attempt_->endpoint == server.endpoint) return;
  attempt_->connection->Abort();
  OnEnd(OutboundConnection::EndReason::kBroken);
}

bool Exchange::RunsInDataCenter(std::string_view data_center) const {
  if (finished_ || !HasOpenAttempt()) return false;
  const directory::BackendServer* server =
      context_.directory.Find(attempt_->server_id);
  return server != nullptr && server->data_center == data_center;
}

void Exchange::Resume(const GenerationMigration::ResumePoint& resume_point) {
  // The run has stopped. Events that its engine still had to send have arrived,
  // or are generated again by the engine that resumes it.
  CloseAttempt(AttemptResult::kInconclusive);
  // The target was searched with a permit. A run that goes on at its source
  // cannot wait for one.
  const bool is_at_source = resume_point.server_id == attempt_->server_id;
  if (is_at_source && context_.request_permit) {
    context_.request_permit(resume_point.server_id, nullptr);
  }
  DispatchOptions options;
  options.memory = resume_point.memory;
  options.last_event = events_.last_event();
  StartAttempt(resume_point.server_id, resume_point.endpoint,
               resume_point.demand, std::move(options));
  attempt_->has_output = true;
  context_.selector.OnFirstEvent(resume_point.server_id, resume_point.demand);
}

bool Exchange::IsStopRequested() const {
  return migration_ != nullptr && migration_->stopping();
}

void Exchange::EndMigration() {
  if (migration_ == nullptr) return;
  if (migration_->stop_is_unproven() && !attempt_->is_complete) {
    AbandonRun(/*may_be_queued=*/false);
  }
  migration_->End();
  // The migration may be the caller of this function.
  migration_.release()->deleteLater();
}

}  // namespace balsam::gateway
