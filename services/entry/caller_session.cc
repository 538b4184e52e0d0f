// Execution of the relay's steps.
#include "services/entry/caller_session.h"

#include <algorithm>
#include <utility>

#include "libraries/base/log_event.h"
#include "libraries/membership/rendezvous.h"

namespace balsam::entry {
namespace {

using std::chrono::milliseconds;
using telemetry::Seconds;

constexpr qint64 kPauseAboveBytes = 256 << 10;
constexpr qint64 kResumeBelowBytes = 64 << 10;
constexpr std::chrono::seconds kKeepAliveInterval{5};

}  // namespace

CallerSession::CallerSession(CallerRequest request, relay::Relay relay,
                             std::unique_ptr<ResponseWriter> writer,
                             admission::BudgetCharge charge,
                             SharedState& shared, SidecarPool& pool,
                             QObject* parent)
    : QObject(parent),
      request_(std::move(request)),
      relay_(std::move(relay)),
      writer_(std::move(writer)),
      charge_(std::move(charge)),
      shared_(shared),
      pool_(pool),
      instruments_(shared.metrics.InstrumentsFor(request_.work.workspace,
                                                 request_.work.service_class)),
      started_(BootClock::now()),
      last_write_(started_) {
  shared_.open_requests.fetch_add(1, std::memory_order_relaxed);
  resume_timer_.setSingleShot(true);
  writer_->on_caller_disconnected = [this] {
    if (finished_) return;
    ExecuteSteps(relay_.OnReaderDisconnected());
    LogEvent("caller_gone")
        .With("request", request_.work.request_id)
        .With("workspace", request_.work.workspace);
    Finish();
  };
  writer_->on_bytes_written = [this] {
    if (!paused_ || writer_->pending_bytes() > kResumeBelowBytes) return;
    paused_ = false;
    paused_since_.reset();
    if (peer_link_) peer_link_->PauseReading(stream_, false);
  };
}

CallerSession::~CallerSession() {
  DropStream();
  shared_.open_requests.fetch_sub(1, std::memory_order_relaxed);
}

void CallerSession::Start() {
  shared_.retry_budget.OnFirstAttempt();
  ExecuteSteps(relay_.Start(BootClock::now()));
}

void CallerSession::Tick(BootTime now) {
  if (finished_) return;
  ExecuteSteps(relay_.OnTick(now));
  if (finished_) return;
  CheckReaderStall(now);
  if (!finished_ && now - last_write_ >= kKeepAliveInterval) {
    writer_->KeepAlive();
    last_write_ = now;
  }
}

void CallerSession::CheckReaderStall(BootTime now) {
  const bool too_slow =
      paused_since_.has_value() &&
      now - *paused_since_ >= shared_.settings.reader_stall_limit;
  if (!too_slow) return;
  LogEvent("reader_too_slow", LogEvent::Level::kWarning)
      .With("request", request_.work.request_id)
      .With("workspace", request_.work.workspace);
  shared_.metrics.CountOutcome(request_.work.workspace,
                               ResultCode::kReaderTooSlow);
  ExecuteSteps(relay_.OnReaderDisconnected());
  writer_->Abort();
  Finish();
}

void CallerSession::ExecuteSteps(const relay::Steps& steps) {
  std::ranges::for_each(steps, [this](const relay::Step& step) {
    if (finished_) return;
    if (const auto* attempt = std::get_if<relay::StartAttempt>(&step)) {
      PlaceRequest(*attempt);
    } else if (const auto* resume = std::get_if<relay::Resume>(&step)) {
      ScheduleResume(*resume);
    } else if (const auto* deliver = std::get_if<relay::Deliver>(&step)) {
      DeliverTokens(*deliver);
    } else if (std::holds_alternative<relay::DropStream>(step)) {
      DropStream();
    } else {
      FinishWithOutcome(std::get<relay::Conclude>(step).outcome);
    }
  });
}

void CallerSession::PlaceRequest(const relay::StartAttempt& step) {
  const BootTime now = BootClock::now();
  DropStream();
  first_token_.reset();
  if (step.is_retry && !shared_.retry_budget.TryConsumeRetry()) {
    // The retry budget is exhausted: the caller gets the previous outcome.
    ExecuteSteps(relay_.OnNoServerAvailable(step.fallback_outcome, now));
    return;
  }
  if (shared_.crash_evidence.FindQuarantined(request_.traits)) {
    ExecuteSteps(relay_.OnNoServerAvailable(
        step.is_retry
            ? step.fallback_outcome
            : Outcome::NotRun(ResultCode::kQuarantined,
                              "requests with these messages crashed backend "
                              "servers repeatedly",
                              shared_.settings.suspicion_lifetime),
        now));
    return;
  }
  request_.work.crash_count =
      std::max(step.crash_count, shared_.CrashesOf(request_.work.fingerprint));
  auto choice = pool_.SelectVm(request_, step.excluded);
  if (auto* outcome = std::get_if<Outcome>(&choice)) {
    ExecuteSteps(relay_.OnNoServerAvailable(std::move(*outcome), now));
    return;
  }
  const std::string vm = std::get<std::string>(choice);
  relay_.OnAttemptStarted(vm);
  request_.work.list_revision = shared_.vm_list.Read()->revision();
  shared_.load_tracker.OnRequestSent(vm, request_.work.prompt_tokens);
  Send(vm, peer::kExecutePath, peer::ExecuteRequest{request_.work});
}

void CallerSession::ScheduleResume(const relay::Resume& step) {
  DropStream();
  const auto delay =
      std::max(step.when - BootClock::now(), BootClock::duration::zero());
  resume_timer_.disconnect();
  connect(&resume_timer_, &QTimer::timeout, this,
          [this, step] { SendResume(step); });
  resume_timer_.start(std::chrono::ceil<milliseconds>(delay));
}

void CallerSession::SendResume(const relay::Resume& step) {
  if (pool_.GetLink(step.generation.vm) == nullptr) {
    ExecuteSteps(relay_.OnFinished(
        step.generation,
        Outcome::Unknown(ResultCode::kGenerationNotFound,
                         "VM " + step.generation.vm + " is not listed"),
        0, BootClock::now()));
    return;
  }
  shared_.load_tracker.OnRequestSent(step.generation.vm, 0);
  Send(step.generation.vm, peer::kResumePath,
       peer::ResumeRequest{request_.work.request_id, request_.work.workspace,
                           step.generation.ToText(), step.next});
}

void CallerSession::Send(const std::string& vm, const char* path,
                         const peer::Message& message) {
  vm_ = vm;
  finished_reply_received_ = false;
  peer_link_ = pool_.GetLink(vm);
  if (!peer_link_) {
    OnStreamEnd(peer::StreamEnd::kNotProcessed);
    return;
  }
  peer::PeerLink::Handlers handlers;
  handlers.on_message = [this, vm](const peer::Message& reply) {
    OnMessage(vm, reply);
  };
  handlers.on_end = [this](peer::StreamEnd end) {
    stream_ = 0;
    OnStreamEnd(end);
  };
  stream_ = peer_link_->Open(path, message, std::move(handlers));
}

void CallerSession::OnMessage(const std::string& vm,
                              const peer::Message& message) {
  if (finished_) return;
  const BootTime now = BootClock::now();
  if (const auto* accepted = std::get_if<peer::AcceptedReply>(&message)) {
    pool_.OnLoadReport(vm, accepted->load);
    const auto id = generation::GenerationId::Parse(accepted->generation);
    // A reader that resumes names only the generation. A sidecar of an earlier
    // version does not say what it was requested as.
    if (request_.work.path.empty() && !accepted->path.empty()) {
      writer_->SetRequested(accepted->path == kChatPath
                                ? ResponseFormat::kChat
                                : ResponseFormat::kCompletion,
                            accepted->model);
    }
    if (id.has_value()) ExecuteSteps(relay_.OnAccepted(*id));
    return;
  }
  if (const auto* tokens = std::get_if<peer::TokensReply>(&message)) {
    const auto id = generation::GenerationId::Parse(tokens->generation);
    if (!id.has_value()) return;
    const std::uint64_t previous_stray_tokens = relay_.stray_tokens();
    if (!first_token_.has_value()) first_token_ = now;
    if (now - *first_token_ >= quarantine::kHarmlessAfter) ProveHarmless();
    ExecuteSteps(relay_.OnTokens(*id, tokens->first, tokens->tokens, now));
    shared_.stray_tokens.fetch_add(
        relay_.stray_tokens() - previous_stray_tokens,
        std::memory_order_relaxed);
    return;
  }
  if (const auto* end = std::get_if<peer::FinishedReply>(&message)) {
    pool_.OnLoadReport(vm, end->load);
    finished_reply_received_ = true;
    if (end->outcome.code == ResultCode::kOk) {
      shared_.ClearCrashes(request_.work.fingerprint);
      ProveHarmless();
    } else {
      shared_.RecordCrashes(request_.work.fingerprint, end->crash_count);
    }
    if (end->is_suspected && !request_.traits.empty()) {
      shared_.crash_evidence.OnCrash(
          {static_cast<std::uint32_t>(membership::StableHash(vm)),
           end->crash_age, end->run_age, request_.traits});
    }
    ExecuteSteps(
        relay_.OnFinished(generation::GenerationId::Parse(end->generation),
                          end->outcome, end->crash_count, now));
  }
}

void CallerSession::ProveHarmless() {
  if (std::exchange(proved_harmless_, true)) return;
  shared_.crash_evidence.OnSurvived(request_.traits);
}

void CallerSession::OnStreamEnd(peer::StreamEnd end) {
  shared_.load_tracker.OnRequestClosed(vm_);
  if (finished_ || finished_reply_received_) return;
  LogEvent("sidecar_stream_broken", LogEvent::Level::kWarning)
      .With("request", request_.work.request_id)
      .With("vm", vm_)
      .With("tokens", relay_.next())
      .With("reason", end == peer::StreamEnd::kNotProcessed ? "not_processed"
                      : end == peer::StreamEnd::kComplete   ? "no_final_reply"
                                                            : "broken");
  ExecuteSteps(relay_.OnAttemptEnd(end == peer::StreamEnd::kNotProcessed
                                       ? relay::AttemptEnd::kNotProcessed
                                       : relay::AttemptEnd::kBroken,
                                   BootClock::now()));
}

void CallerSession::DropStream() {
  resume_timer_.stop();
  if (stream_ == 0) return;
  const peer::LinkStream stream = std::exchange(stream_, 0);
  if (peer_link_) peer_link_->Cancel(stream);
  shared_.load_tracker.OnRequestClosed(vm_);
}

void CallerSession::DeliverTokens(const relay::Deliver& step) {
  const BootTime now = BootClock::now();
  writer_->WriteTokens(*relay_.generation(), step.first, step.tokens);
  instruments_.tokens->Increment(static_cast<double>(step.tokens.size()));
  charge_.OnTokens(static_cast<double>(step.tokens.size()), now);
  ObserveTokens(now);
  last_write_ = now;
  if (!paused_ && writer_->pending_bytes() > kPauseAboveBytes) {
    paused_ = true;
    paused_since_ = now;
    if (peer_link_) peer_link_->PauseReading(stream_, true);
  }
}

void CallerSession::ObserveTokens(BootTime now) {
  if (!last_token_.has_value()) {
    instruments_.first_token->Observe(Seconds(now - started_));
  } else {
    const auto gap = now - *last_token_;
    instruments_.between_tokens->Observe(Seconds(gap));
    stall_ += std::max(gap - telemetry::kStallThreshold,
                       std::chrono::nanoseconds::zero());
  }
  last_token_ = now;
}

void CallerSession::FinishWithOutcome(const Outcome& outcome) {
  charge_.Settle(outcome.run_state != RunState::kNotRun, BootClock::now());
  instruments_.stall->Observe(Seconds(stall_));
  shared_.metrics.CountOutcome(request_.work.workspace, outcome.code);
  LogEvent("concluded")
      .With("request", request_.work.request_id)
      .With("workspace", request_.work.workspace)
      .With("class", request_.work.service_class)
      .With("vm", vm_)
      .With("code", static_cast<int>(outcome.code))
      .With("result", NameOf(outcome.code))
      .With("run_state", NameOf(outcome.run_state))
      .With("attempts", relay_.attempts())
      .With("tokens", relay_.next())
      .With("duration", BootClock::now() - started_)
      .With("reason", outcome.detail);
  writer_->Finish(relay_.generation(), outcome, request_.work.request_id);
  Finish();
}

void CallerSession::Finish() {
  if (std::exchange(finished_, true)) return;
  // A caller that disconnected pays for what was charged so far.
  charge_.Settle(/*ran=*/true, BootClock::now());
  DropStream();
  if (on_finished) on_finished();
}

}  // namespace balsam::entry
