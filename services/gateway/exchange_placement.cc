// Finds a server with capacity for a request, queues the request or rejects it;
// logs the choice.
#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <cmath>
#include <random>
#include <utility>

#include "libraries/base/log_event.h"
#include "libraries/dispatch/retry_after_delay.h"
#include "services/gateway/exchange.h"

namespace balsam::gateway {
namespace {

using std::chrono::milliseconds;

// Typical time from dispatching a generation to its first event, including the
// prefill of some queued prompts.
constexpr milliseconds kTypicalFirstEventTime{500};
constexpr double kPercent = 100.0;

}  // namespace

dispatch::WaitQueue<Exchange*>& Exchange::ServiceWaitQueue() {
  return context_.wait_queues[request_.service->name];
}

milliseconds Exchange::TimeLeft() const {
  return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(
                                       request_.deadline - context_.now()));
}

milliseconds Exchange::ExpectedWait() {
  const std::int64_t ahead = ServiceWaitQueue().WorkAhead(
      request_.priority, [](const Exchange* other) { return other->work(); });
  const BootTime now = BootClock::now();
  const milliseconds expected_wait =
      context_.wait_estimators[request_.service->name].EstimateWait(
          ahead + work(), now);
  const auto backoff_end = context_.selector.EarliestBackoffEnd(
      context_.directory, request_.demand, now);
  if (!backoff_end.has_value()) return expected_wait;
  return std::max(expected_wait,
                  std::chrono::ceil<milliseconds>(*backoff_end - now));
}

milliseconds Exchange::RetryAfter() {
  std::uniform_real_distribution<double> jitter(0.0, 1.0);
  return dispatch::RetryAfterDelay(ExpectedWait(),
                                   request_.route->latency_objective,
                                   TimeLeft(), jitter(context_.random));
}

void Exchange::EnqueueOrReject() {
  if (!context_.selector.IsServable(context_.directory, request_.engine(),
                                    request_.demand)) {
    Answer(503, "no_backend_server", RetryAfter());
    return;
  }
  const milliseconds objective = request_.route->latency_objective;
  const milliseconds max_wait =
      dispatch::MaxQueueWait(request_.work_kind(), objective, TimeLeft());
  const milliseconds expected_wait = ExpectedWait();
  if (expected_wait > max_wait) {
    // The wait would exceed its limit, so the request is rejected immediately.
    const dispatch::ServerSelector::SkipCounts& skip_counts =
        context_.selector.skip_counts();
    LogEvent("wait_too_long")
        .With("id", metadata_.id)
        .With("expected", expected_wait)
        .With("longest", max_wait)
        .With("line", ServiceWaitQueue().size())
        .With("prompt", request_.demand.prompt_tokens)
        .With("output", request_.demand.output_tokens)
        .With("left_free",
              std::llround(request_.demand.memory_left_free * kPercent))
        .With("rounds", search_.rounds())
        .With("servers", skip_counts.servers)
        .With("leaving", skip_counts.leaving)
        .With("evacuated", skip_counts.evacuated)
        .With("excluded", skip_counts.excluded)
        .With("paused", skip_counts.in_cooldown)
        .With("resting", skip_counts.in_backoff)
        .With("limited", skip_counts.limited)
        .With("broken", skip_counts.unhealthy)
        .With("without_slot", skip_counts.without_slot)
        .With("without_memory", skip_counts.without_memory)
        .With("reading", skip_counts.prefill_backlog);
    Answer(503, "no_room_in_time", RetryAfter());
    return;
  }
  LogEvent("waiting")
      .With("id", metadata_.id)
      .With("expected", expected_wait)
      .With("longest", max_wait)
      .With("line", ServiceWaitQueue().size());
  waiting_ = true;
  ServiceWaitQueue().Push(this, request_.priority,
                          received_ + objective - kTypicalFirstEventTime,
                          BootClock::now() + max_wait);
}

void Exchange::LeaveWaitQueue() {
  if (!std::exchange(waiting_, false)) return;
  ServiceWaitQueue().Remove(this);
}

void Exchange::OnWaitExpired() {
  waiting_ = false;
  // The request has not been sent since it last joined the queue. 503 tells the
  // client that it was not run.
  Answer(503, "no_room", RetryAfter());
}

bool Exchange::TryDispatch() {
  if (Dispatch() != DispatchResult::kSent) return false;
  waiting_ = false;
  return true;
}

Exchange::DispatchResult Exchange::Dispatch() {
  if (search_.is_querying()) return DispatchResult::kSearching;
  // A request that was already sent to an engine has waited long enough and
  // skips the query.
  const auto mode = attempt_.has_value() ? ServerSearch::Mode::kKnownLoads
                                         : ServerSearch::Mode::kQueriedLoads;
  const auto choice = search_.Start(request_.engine(), request_.demand, mode);
  if (choice.has_value()) {
    SendTo(*choice);
    return DispatchResult::kSent;
  }
  return search_.is_querying() ? DispatchResult::kSearching
                               : DispatchResult::kNoCapacity;
}

void Exchange::OnSearchEnded(
    const std::optional<ServerSearch::Choice>& choice) {
  if (finished_) return;
  if (choice.has_value()) {
    LeaveWaitQueue();
    SendTo(*choice);
  } else if (repeated_end_.has_value()) {
    OnNoOtherServer(*repeated_end_);
  } else if (!waiting_) {
    EnqueueOrReject();
  }
}

void Exchange::SendTo(const dispatch::ServerSelector::Choice& choice) {
  if (!attempt_.has_value()) {
    Instruments().queueing->Observe(
        telemetry::Seconds(BootClock::now() - received_));
  }
  DispatchOptions options;
  options.last_event = events_.last_event();
  StartAttempt(choice.id, choice.endpoint, request_.demand, std::move(options));
}

void Exchange::LogSent() const {
  const BootTime now = BootClock::now();
  const dispatch::Usage usage =
      context_.selector.UsageOf(attempt_->server_id, now);
  const auto total_received = context_.selector.reports().TotalReceivedAt(
      dispatch::ServerKey(attempt_->server_id));
  LogEvent line("sent");
  line.With("id", metadata_.id)
      .With("server", attempt_->server_id)
      .With("sent", sent_attempts_)
      .With("goes_on", attempt_->is_resumed ? 1 : 0)
      .With("after", events_.last_event().value_or(0))
      .With("waited", now - received_)
      .With("rounds", search_.rounds())
      .With("requests", usage.requests)
      .With("tokens", usage.tokens)
      .With("unread", usage.pending_prefill_tokens)
      .With("config", request_.routes->version());
  if (!metadata_.shared_parts.empty()) line.With("parts", SharedPartsText());
  // Age of the load total of the other gateways. It is missing if this gateway
  // is itself an aggregator for the server, or if it has received nothing about
  // it.
  if (total_received.has_value()) line.With("load_age", now - *total_received);
}

std::string Exchange::SharedPartsText() const {
  return boost::algorithm::join(metadata_.shared_parts, ",");
}

}  // namespace balsam::gateway
