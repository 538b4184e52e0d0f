// Final responses of an exchange, and what is logged and counted when it ends.
#include <utility>

#include "libraries/base/log_event.h"
#include "services/gateway/exchange.h"

namespace balsam::gateway {

using dispatch::AttemptResult;
using std::chrono::milliseconds;

void Exchange::OnDeadline() {
  if (waiting_ || !attempt_.has_value()) {
    LeaveWaitQueue();
    Answer(503, "deadline_while_waiting", milliseconds(0));
    return;
  }
  AbortAttempt(AttemptResult::kFailed);
  if (response_started_) {
    BreakOff("deadline");
  } else {
    Answer(504, "deadline");
  }
}

void Exchange::OnStopDeadline() {
  if (finished_ || response_started_) return;
  if (waiting_ || !attempt_.has_value()) {
    LeaveWaitQueue();
    Answer(503, "stopping", milliseconds(0));
    return;
  }
  AbortAttempt(AttemptResult::kInconclusive);
  Answer(504, "stopping");
}

void Exchange::OnMemoryShortage() {
  LeaveWaitQueue();
  Answer(503, "no_memory", kMemoryRetryAfter);
}

void Exchange::Cancel() {
  if (finished_) return;
  LeaveWaitQueue();
  AbortAttempt(AttemptResult::kInconclusive);
  Finish("client_left", 0);
}

void Exchange::Answer(int status, std::string_view reason,
                      std::optional<milliseconds> retry_after) {
  http1::ResponseHead head =
      context_.dialect.MakeGatewayResponse(status, metadata_.id, retry_after);
  LogEvent("own_answer")
      .With("id", metadata_.id)
      .With("status", status)
      .With("reason", reason)
      .With("retry_after", retry_after.value_or(milliseconds(0)))
      .With("attempts", sent_attempts_)
      .With("config", ConfigurationVersion());
  Finish(reason, status);
  sink_.SendComplete(std::move(head), std::string(reason) + "\n");
}

std::uint64_t Exchange::ConfigurationVersion() const {
  // A rejected request keeps no route table.
  const auto& routes =
      request_.routes == nullptr ? context_.routes : request_.routes;
  return routes == nullptr ? 0 : routes->version();
}

void Exchange::BreakOff(std::string_view outcome) {
  Finish(outcome, 0);
  sink_.BreakOff();
}

void Exchange::Finish(std::string_view outcome, int status) {
  if (std::exchange(finished_, true)) return;
  AbortAttempt(AttemptResult::kInconclusive);
  EndMigration();
  deadline_timer_.stop();
  slow_timer_.stop();
  stop_wait_timer_.stop();
  repeat_ = nullptr;
  CountFinished(outcome, status);
  LogEvent("request")
      .With("id", metadata_.id)
      .With("route", request_.route == nullptr ? "" : request_.route->name)
      .With("outcome", outcome)
      .With("status", status)
      .With("server", attempt_.has_value() ? attempt_->server_id : "")
      .With("attempts", sent_attempts_)
      .With("events", events_.events())
      .With("unframed", attempt_.has_value() && attempt_->is_unframed ? 1 : 0)
      .With("first", event_times_.first == BootTime{}
                         ? std::chrono::nanoseconds(0)
                         : event_times_.first - received_)
      .With("pause", event_times_.longest_gap)
      .With("prompt", metadata_.prompt_tokens)
      .With("took", BootClock::now() - received_);
}

telemetry::RequestInstruments& Exchange::Instruments() {
  // The lookup is cached because the map is too slow to search for each event
  // of a stream.
  if (instruments_ == nullptr) {
    instruments_ = &context_.metrics.InstrumentsFor(
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
