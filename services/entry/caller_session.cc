// Carrying out the relay's steps.
#include "services/entry/caller_session.h"

#include <algorithm>
#include <utility>

#include "libraries/base/log_event.h"

namespace balsam::entry {
namespace {

using std::chrono::milliseconds;
using telemetry::Seconds;

constexpr qint64 kPauseAboveBytes = 256 << 10;
constexpr qint64 kContinueBelowBytes = 64 << 10;
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
  writer_->on_caller_gone = [this] {
    if (finished_) return;
    Carry(relay_.OnReaderDisconnected());
    LogEvent("caller_gone")
        .With("request", request_.work.request_id)
        .With("workspace", request_.work.workspace);
    Finish();
  };
  writer_->on_drained = [this] {
    if (!paused_ || writer_->pending_bytes() > kContinueBelowBytes) return;
    paused_ = false;
    paused_since_.reset();
    if (link_ != nullptr) link_->PauseReading(stream_, false);
  };
}

CallerSession::~CallerSession() {
  DropStream();
  shared_.open_requests.fetch_sub(1, std::memory_order_relaxed);
}

void CallerSession::Start() {
  shared_.retries.OnFirstAttempt();
  Carry(relay_.Start(BootClock::now()));
}

void CallerSession::Tick(BootTime now) {
  if (finished_) return;
  Carry(relay_.OnTick(now));
  if (finished_) return;
  CheckReader(now);
  if (!finished_ && now - last_write_ >= kKeepAliveInterval) {
    writer_->KeepAlive();
    last_write_ = now;
  }
}

void CallerSession::CheckReader(BootTime now) {
  const bool too_slow =
      paused_since_.has_value() &&
      now - *paused_since_ >= shared_.settings.reader_stall_limit;
  if (!too_slow) return;
  LogEvent("reader_too_slow", LogEvent::Level::kWarning)
      .With("request", request_.work.request_id)
      .With("workspace", request_.work.workspace);
  shared_.metrics.CountOutcome(request_.work.workspace,
                               ResultCode::kReaderTooSlow);
  Carry(relay_.OnReaderDisconnected());
  writer_->Abort();
  Finish();
}

void CallerSession::Carry(const relay::Steps& steps) {
  std::ranges::for_each(steps, [this](const relay::Step& step) {
    if (finished_) return;
    if (const auto* place = std::get_if<relay::StartAttempt>(&step)) {
      DoPlace(*place);
    } else if (const auto* resume = std::get_if<relay::Resume>(&step)) {
      DoResume(*resume);
    } else if (const auto* deliver = std::get_if<relay::Deliver>(&step)) {
      DoDeliver(*deliver);
    } else if (std::holds_alternative<relay::DropStream>(step)) {
      DropStream();
    } else {
      DoConclude(std::get<relay::Conclude>(step).outcome);
    }
  });
}

void CallerSession::DoPlace(const relay::StartAttempt& step) {
  const BootTime now = BootClock::now();
  DropStream();
  if (step.is_retry && !shared_.retries.TryConsumeRetry()) {
    // The retry budget is spent: the first answer stands.
    Carry(relay_.OnNoServerAvailable(step.fallback_outcome, now));
    return;
  }
  request_.work.crash_count =
      std::max(step.crash_count, shared_.CrashesOf(request_.work.fingerprint));
  auto choice = pool_.Choose(request_, step.excluded);
  if (auto* outcome = std::get_if<Outcome>(&choice)) {
    Carry(relay_.OnNoServerAvailable(std::move(*outcome), now));
    return;
  }
  const std::string vm = std::get<std::string>(choice);
  relay_.OnAttemptStarted(vm);
  request_.work.list_revision = shared_.vms.Read()->revision();
  shared_.board.OnRequestSent(vm, request_.work.prompt_tokens);
  Send(vm, peer::kExecutePath, peer::ExecuteRequest{request_.work});
}

void CallerSession::DoResume(const relay::Resume& step) {
  DropStream();
  const auto delay =
      std::max(step.when - BootClock::now(), BootClock::duration::zero());
  resume_timer_.disconnect();
  connect(&resume_timer_, &QTimer::timeout, this,
          [this, step] { SendResume(step); });
  resume_timer_.start(std::chrono::ceil<milliseconds>(delay));
}

void CallerSession::SendResume(const relay::Resume& step) {
  if (pool_.LinkTo(step.generation.vm) == nullptr) {
    Carry(relay_.OnFinished(
        step.generation,
        Outcome::Unknown(ResultCode::kGenerationNotFound,
                         "VM " + step.generation.vm + " is not listed"),
        0, BootClock::now()));
    return;
  }
  shared_.board.OnRequestSent(step.generation.vm, 0);
  Send(step.generation.vm, peer::kResumePath,
       peer::ResumeRequest{request_.work.request_id, request_.work.workspace,
                           step.generation.ToText(), step.next});
}

void CallerSession::Send(const std::string& vm, const char* path,
                         const peer::Message& message) {
  vm_ = vm;
  got_finished_ = false;
  link_ = pool_.LinkTo(vm);
  if (link_ == nullptr) {
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
  stream_ = link_->Open(path, message, std::move(handlers));
}

void CallerSession::OnMessage(const std::string& vm,
                              const peer::Message& message) {
  if (finished_) return;
  const BootTime now = BootClock::now();
  if (const auto* accepted = std::get_if<peer::AcceptedReply>(&message)) {
    pool_.OnReport(vm, accepted->load);
    const auto id = generation::GenerationId::Parse(accepted->generation);
    if (id.has_value()) Carry(relay_.OnAccepted(*id));
    return;
  }
  if (const auto* tokens = std::get_if<peer::TokensReply>(&message)) {
    const auto id = generation::GenerationId::Parse(tokens->generation);
    if (!id.has_value()) return;
    const std::uint64_t strays = relay_.stray_tokens();
    Carry(relay_.OnTokens(*id, tokens->first, tokens->tokens, now));
    shared_.stray_tokens.fetch_add(relay_.stray_tokens() - strays,
                                   std::memory_order_relaxed);
    return;
  }
  if (const auto* end = std::get_if<peer::FinishedReply>(&message)) {
    pool_.OnReport(vm, end->load);
    got_finished_ = true;
    if (end->outcome.code == ResultCode::kOk) {
      shared_.ClearCrashes(request_.work.fingerprint);
    } else {
      shared_.LearnCrashes(request_.work.fingerprint, end->crash_count);
    }
    Carry(relay_.OnFinished(generation::GenerationId::Parse(end->generation),
                            end->outcome, end->crash_count, now));
  }
}

void CallerSession::OnStreamEnd(peer::StreamEnd end) {
  shared_.board.OnRequestClosed(vm_);
  if (finished_ || got_finished_) return;
  Carry(relay_.OnAttemptEnd(end == peer::StreamEnd::kNotProcessed
                                ? relay::AttemptEnd::kNotProcessed
                                : relay::AttemptEnd::kBroken,
                            BootClock::now()));
}

void CallerSession::DropStream() {
  resume_timer_.stop();
  if (stream_ == 0) return;
  link_->Drop(std::exchange(stream_, 0));
  shared_.board.OnRequestClosed(vm_);
}

void CallerSession::DoDeliver(const relay::Deliver& step) {
  const BootTime now = BootClock::now();
  writer_->WriteTokens(*relay_.generation(), step.first, step.tokens);
  instruments_.tokens->Increment(static_cast<double>(step.tokens.size()));
  charge_.OnTokens(static_cast<double>(step.tokens.size()), now);
  ObserveTokens(now);
  last_write_ = now;
  if (!paused_ && writer_->pending_bytes() > kPauseAboveBytes) {
    paused_ = true;
    paused_since_ = now;
    if (link_ != nullptr) link_->PauseReading(stream_, true);
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

void CallerSession::DoConclude(const Outcome& outcome) {
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
  // A caller that left has used what was charged so far.
  charge_.Settle(/*ran=*/true, BootClock::now());
  DropStream();
  if (on_finished) on_finished();
}

}  // namespace balsam::entry
