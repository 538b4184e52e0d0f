// Finding room for a request: the search for a server, the line of those that
// wait, and refusals.
#include <algorithm>
#include <random>
#include <utility>

#include "libraries/base/log_event.h"
#include "libraries/dispatch/return_time.h"
#include "services/gateway/exchange.h"

namespace balsam::gateway {
namespace {

using std::chrono::milliseconds;

// From the dispatch of a generation to its first event, with some prompt ahead.
constexpr milliseconds kTypicalStart{500};

}  // namespace

dispatch::WaitQueue<Exchange*>& Exchange::Line() {
  return context_.waiting[request_.service->name];
}

milliseconds Exchange::TimeLeft() const {
  return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(
                                       request_.deadline - BootClock::now()));
}

milliseconds Exchange::ExpectedWait() {
  const std::int64_t ahead = Line().WorkAhead(
      request_.priority, [](const Exchange* other) { return other->work(); });
  const BootTime now = BootClock::now();
  const milliseconds expected =
      context_.forecasts[request_.service->name].EstimateWait(ahead + work(),
                                                              now);
  const auto rest = context_.selector.EarliestBackoffEnd(context_.directory,
                                                         request_.demand, now);
  if (!rest.has_value()) return expected;
  return std::max(expected, std::chrono::ceil<milliseconds>(*rest - now));
}

milliseconds Exchange::RetryAfter() {
  std::uniform_real_distribution<double> spread(0.0, 1.0);
  return dispatch::RetryAfterDelay(ExpectedWait(),
                                   request_.route->latency_objective,
                                   TimeLeft(), spread(context_.random));
}

void Exchange::WaitOrRefuse() {
  if (!context_.selector.IsServable(context_.directory, request_.engine(),
                                    request_.demand)) {
    Answer(503, "no_backend_server", RetryAfter());
    return;
  }
  const milliseconds objective = request_.route->latency_objective;
  const milliseconds longest =
      dispatch::MaxQueueWait(request_.work_kind(), objective, TimeLeft());
  const milliseconds expected = ExpectedWait();
  if (expected > longest) {
    // Known now, so it is said now.
    const dispatch::ServerSelector::SkipCounts& skip_counts =
        context_.selector.skip_counts();
    LogEvent("wait_too_long")
        .With("id", facts_.id)
        .With("expected", expected)
        .With("longest", longest)
        .With("line", Line().size())
        .With("prompt", request_.demand.prompt_tokens)
        .With("output", request_.demand.output_tokens)
        .With("rounds", search_.rounds())
        .With("servers", skip_counts.servers)
        .With("leaving", skip_counts.leaving)
        .With("excluded", skip_counts.excluded)
        .With("paused", skip_counts.in_cooldown)
        .With("resting", skip_counts.in_backoff)
        .With("broken", skip_counts.unhealthy)
        .With("without_slot", skip_counts.without_slot)
        .With("without_memory", skip_counts.without_memory)
        .With("reading", skip_counts.prefill_backlog);
    Answer(503, "no_room_in_time", RetryAfter());
    return;
  }
  LogEvent("waiting")
      .With("id", facts_.id)
      .With("expected", expected)
      .With("longest", longest)
      .With("line", Line().size());
  waiting_ = true;
  Line().Push(this, request_.priority, received_ + objective - kTypicalStart,
              BootClock::now() + longest);
}

void Exchange::LeaveLine() {
  if (!std::exchange(waiting_, false)) return;
  Line().Remove(this);
}

void Exchange::OnWaitExpired() {
  waiting_ = false;
  // Nothing of it was sent since it last joined the line.
  Answer(503, "no_room", RetryAfter());
}

bool Exchange::TryDispatch() {
  if (Dispatch() != Placement::kSent) return false;
  waiting_ = false;
  return true;
}

Exchange::Placement Exchange::Dispatch() {
  if (search_.asking()) return Placement::kAsking;
  // One that comes from another engine has waited enough.
  const bool may_ask = request_.engine() != nullptr && !attempt_.has_value();
  const auto choice =
      may_ask ? search_.Begin(*request_.engine(), request_.demand)
              : context_.selector.Select(context_.directory, request_.engine(),
                                         request_.demand, BootClock::now());
  if (choice.has_value()) {
    SendTo(*choice);
    return Placement::kSent;
  }
  return search_.asking() ? Placement::kAsking : Placement::kNoCapacity;
}

void Exchange::OnSearchEnded(
    const std::optional<EngineSearch::Choice>& choice) {
  if (finished_) return;
  if (choice.has_value()) {
    LeaveLine();
    SendTo(*choice);
  } else if (!waiting_) {
    WaitOrRefuse();
  }
}

void Exchange::SendTo(const dispatch::ServerSelector::Choice& choice) {
  if (!attempt_.has_value()) {
    Instruments().queueing->Observe(
        telemetry::Seconds(BootClock::now() - received_));
  }
  DispatchOrder order;
  order.last_event = answer_begun_ ? events_.last_event() : facts_.last_event;
  StartAttempt(choice.id, choice.endpoint, request_.demand, std::move(order));
}

}  // namespace balsam::gateway
