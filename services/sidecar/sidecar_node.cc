// Connects the executor to peers, the backend server and the platform.
#include "services/sidecar/sidecar_node.h"

#include <QHostAddress>
#include <algorithm>
#include <random>
#include <utility>

#include "libraries/base/log_event.h"

namespace balsam::sidecar {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{50};
constexpr milliseconds kFinalWriteDelay{200};
// A sidecar reads the VM list from the platform when it got no peer request for
// this long, and as long as it has no list.
constexpr milliseconds kListTimeout{30000};
constexpr qsizetype kMaxQueuedBytes = 64 << 10;
constexpr std::size_t kMaxTokensPerMessage = 512;
// Tokens that an engine repeats when it resumes a stream. Several, since texts
// repeat single tokens.
constexpr std::uint64_t kRepeatedTokens = 8;

// Returns a number that is higher than those of earlier processes, also on the
// same VM. The random low bits distinguish two processes started in the same
// millisecond.
std::uint64_t NewIncarnation() {
  constexpr int kRandomBits = 12;
  const auto since = ClockReading::Now().wall.time_since_epoch().count();
  const auto low = std::random_device{}() & ((1U << kRandomBits) - 1);
  return (static_cast<std::uint64_t>(since) << kRandomBits) | low;
}

execution::ExecutorConfig MakeExecutorConfig(const SidecarSettings& settings) {
  execution::ExecutorConfig config;
  config.vm = settings.vm.id;
  config.service = settings.service;
  config.incarnation = NewIncarnation();
  config.memory = {settings.capacity_tokens, settings.reserve_tokens};
  config.max_running_generations = settings.max_running;
  config.max_running_calls = settings.max_running;
  config.reader_grace = settings.reader_grace;
  config.suspicion_lifetime = settings.suspicion_lifetime;
  config.pause_limit = settings.pause_limit;
  config.keys = {settings.vm.id,       settings.service,
                 config.incarnation,   settings.key_lifetime,
                 settings.clock_error, settings.removed_vm_grace};
  return config;
}

config_service::WatcherSettings MakeWatcherSettings(
    const SidecarSettings& settings) {
  config_service::WatcherSettings watcher;
  watcher.base_url = QUrl(QString::fromStdString(settings.platform_url));
  return watcher;
}

}  // namespace

SidecarNode::SidecarNode(SidecarSettings settings, QObject* parent)
    : QObject(parent),
      settings_(std::move(settings)),
      executor_(MakeExecutorConfig(settings_), ClockReading::Now(),
                settings_.admission),
      backend_({QUrl(QString::fromStdString(settings_.backend_url)),
                settings_.backend_silence_limit}),
      engine_controller_(QUrl(QString::fromStdString(settings_.backend_url)),
                         settings_.order_answer_limit,
                         {.first_challenge = executor_.incarnation()}),
      service_peers_(settings_.vm.id, settings_.service, settings_.peer_key,
                     executor_),
      peer_server_(QByteArray::fromStdString(settings_.peer_key), {}),
      operator_server_(settings_.operator_key),
      list_watcher_("vms", MakeWatcherSettings(settings_)),
      metrics_("sidecar"),
      last_request_(BootClock::now()) {
  backend_.on_tokens = [this](execution::LocalId local_id, std::uint64_t first,
                              const std::vector<std::string>& tokens) {
    const ClockReading now = ClockReading::Now();
    executor_.OnTokens(local_id, first, tokens, now);
    const auto timer = timers_.find(local_id);
    if (timer != timers_.end()) timer->second.OnTokens(tokens.size(), now.boot);
    ApplyDecisions();
  };
  backend_.on_completed = [this](execution::LocalId local_id, Outcome outcome) {
    executor_.OnCompleted(local_id, std::move(outcome), ClockReading::Now());
    ApplyDecisions();
  };
  backend_.on_not_sent = [this](execution::LocalId local_id,
                                const std::string& reason) {
    executor_.OnNotSent(local_id, reason, ClockReading::Now());
    ApplyDecisions();
  };
  backend_.on_broken = [this](execution::LocalId local_id,
                              const std::string& reason) {
    LogBrokenStream(local_id, reason);
    executor_.OnStreamBroken(local_id, reason, ClockReading::Now());
    ApplyDecisions();
  };
  backend_.on_resume_failed = [this](execution::LocalId local_id) {
    executor_.OnResumeFailed(local_id, ClockReading::Now());
    ApplyDecisions();
  };
  backend_.on_preempted = [this](execution::LocalId local_id) {
    ++preemptions_;
    const auto timer = timers_.find(local_id);
    if (timer != timers_.end()) timer->second.OnPreempted();
  };
  peer_server_.on_request = [this](const peer::ServerStream& stream,
                                   const peer::Message& message) {
    OnRequest(stream, message);
  };
  peer_server_.on_end = [this](const peer::ServerStream& stream,
                               bool cancelled) {
    const auto reader = readers_.find(stream);
    if (reader == readers_.end()) return;
    const execution::LocalId local_id = reader->second.local_id;
    RemoveReader(stream);
    if (cancelled) executor_.OnReaderLeft(local_id, ClockReading::Now());
  };
  peer_server_.on_drained = [this](const peer::ServerStream& stream) {
    const auto reader = readers_.find(stream);
    if (reader != readers_.end() &&
        !SendAvailableTokens(stream, reader->second)) {
      RemoveReader(stream);
    }
  };
  list_watcher_.on_value = [this](std::uint64_t revision,
                                  const std::string& text) {
    service_peers_.AdoptList(revision, text);
  };
  service_peers_.on_list_adopted = [this] { OnListAdopted(); };
  service_peers_.on_relinquish_acknowledged = [this] { FinishStopIfIdle(); };
  operator_server_.is_ready = [this] { return !executor_.draining(); };
  operator_server_.metrics = [this] { return metrics_.Serialize(); };
  operator_server_.status = [this] { return Status(); };
  operator_server_.explain = [](const std::string&) {
    return nlohmann::json{{"error", "ask an entry"}};
  };
  operator_server_.drain = [this] { BeginStop(); };
  connect(&tick_timer_, &QTimer::timeout, this, &SidecarNode::Tick);
}

Result<void> SidecarNode::Start() {
  BOOST_LEAF_CHECK(peer_server_.Listen(
      QHostAddress(QString::fromStdString(settings_.peers.address)),
      settings_.peers.port));
  BOOST_LEAF_CHECK(operator_server_.Listen(settings_.operators));
  list_watcher_.ReadOnce();
  tick_timer_.start(kTickInterval);
  LogEvent("started")
      .With("vm", settings_.vm.id)
      .With("peer_port", peer_port())
      .With("operator_port", operator_port());
  return {};
}

// --- Requests from peers ---

void SidecarNode::OnRequest(const peer::ServerStream& stream,
                            const peer::Message& message) {
  last_request_ = BootClock::now();
  if (const auto* execute = std::get_if<peer::ExecuteRequest>(&message)) {
    OnExecute(stream, *execute);
  } else if (const auto* resume = std::get_if<peer::ResumeRequest>(&message)) {
    OnResume(stream, *resume);
  } else if (const auto* ticket = std::get_if<peer::TicketRequest>(&message)) {
    if (executor_.draining()) {
      stream.Refuse();
      return;
    }
    stream.Send(peer::TicketReply{executor_.IssueTicket(ticket->workspace,
                                                        ClockReading::Now())},
                true);
  } else if (const auto* confirm =
                 std::get_if<peer::ConfirmRequest>(&message)) {
    stream.Send(service_peers_.HandleConfirm(*confirm), true);
  } else if (const auto* gossip = std::get_if<peer::GossipRequest>(&message)) {
    OnGossip(stream, *gossip);
  } else if (const auto* order = std::get_if<peer::OrderNotice>(&message)) {
    OnOrder(stream, *order);
  } else {
    stream.Refuse();
  }
}

void SidecarNode::OnExecute(const peer::ServerStream& stream,
                            const peer::ExecuteRequest& request) {
  const ClockReading now = ClockReading::Now();
  const execution::WorkItem& work = request.work;
  const execution::SubmitResult submission = executor_.Submit(work, now);
  if (const auto* outcome = std::get_if<Outcome>(&submission)) {
    LogEvent("refused")
        .With("request", work.request_id)
        .With("workspace", work.workspace)
        .With("code", static_cast<int>(outcome->code))
        .With("reason", outcome->detail);
    SendFinished(stream, "", *outcome, work.fingerprint);
    return;
  }
  const auto& accepted = std::get<execution::Accepted>(submission);
  if (!accepted.is_duplicate) {
    timers_.emplace(
        accepted.local_id,
        TokenTimer(metrics_.InstrumentsFor(work.workspace, work.service_class),
                   now.boot));
  }
  AddReader(stream, accepted.local_id, 0);
  ApplyDecisions();
}

void SidecarNode::OnResume(const peer::ServerStream& stream,
                           const peer::ResumeRequest& request) {
  const auto id = generation::GenerationId::Parse(request.generation);
  const execution::WorkRecord* record =
      id.has_value() ? executor_.Find(*id, request.workspace) : nullptr;
  if (record == nullptr) {
    SendFinished(
        stream, request.generation,
        Outcome::Unknown(ResultCode::kGenerationNotFound,
                         "sidecar " + settings_.vm.id +
                             " does not hold generation " + request.generation),
        0);
    return;
  }
  AddReader(stream, record->local_id, request.next);
}

void SidecarNode::OnGossip(const peer::ServerStream& stream,
                           const peer::GossipRequest& request) {
  if (!service_peers_.ApplyListChange(request)) {
    // The sender does not learn that its change could not be applied, so read
    // the full list from the platform.
    list_watcher_.ReadOnce();
  }
  stream.Send(service_peers_.HandleGossip(request), true);
}

void SidecarNode::OnOrder(const peer::ServerStream& stream,
                          const peer::OrderNotice& notice) {
  const bool is_addressed_here = notice.vm == settings_.vm.id &&
                                 settings_.backend_kind == BackendKind::kEngine;
  if (!is_addressed_here) {
    stream.Refuse();
    return;
  }
  // The notice may have waited while this process was suspended.
  DetectPauses();
  const BootTime now = BootClock::now();
  engine_controller_.OnDesiredState(notice.desired, notice.challenge, now);
  engine_controller_.Tick(now);
  const orders::EngineReconciler& reconciler = engine_controller_.reconciler();
  stream.Send(peer::OrderReply{reconciler.revision(), reconciler.settled(),
                               reconciler.superseded(), reconciler.challenge()},
              true);
}

void SidecarNode::RemoveReader(const peer::ServerStream& stream) {
  const auto reader = readers_.find(stream);
  if (reader == readers_.end()) return;
  const execution::LocalId local_id = reader->second.local_id;
  readers_.erase(reader);
  executor_.DetachReader(local_id, ClockReading::Now());
  const auto streams = reader_streams_.find(local_id);
  if (streams == reader_streams_.end()) return;
  streams->second.erase(stream);
  if (streams->second.empty()) reader_streams_.erase(streams);
}

void SidecarNode::AddReader(const peer::ServerStream& stream,
                            execution::LocalId local_id, std::uint64_t next) {
  executor_.AttachReader(local_id);
  readers_[stream] = {local_id, next};
  reader_streams_[local_id].insert(stream);
  const execution::WorkItem& work = executor_.Find(local_id)->work;
  stream.Send(peer::AcceptedReply{executor_.IdOf(local_id).ToText(),
                                  executor_.Load(ClockReading::Now()),
                                  work.path, work.model},
              false);
  if (!SendAvailableTokens(stream, readers_[stream])) RemoveReader(stream);
}

bool SidecarNode::SendAvailableTokens(const peer::ServerStream& stream,
                                      Reader& reader) {
  const execution::WorkRecord* record = executor_.Find(reader.local_id);
  if (record == nullptr) return false;
  const std::string id = executor_.IdOf(reader.local_id).ToText();
  const std::uint64_t end = record->ReadableEnd();
  while (reader.next < end && stream.QueuedBytes() < kMaxQueuedBytes) {
    const auto limit =
        std::min<std::uint64_t>(end - reader.next, kMaxTokensPerMessage);
    const auto tokens = record->log.TokensFrom(reader.next, limit);
    stream.Send(
        peer::TokensReply{id, reader.next, {tokens.begin(), tokens.end()}},
        false);
    reader.next += tokens.size();
  }
  if (reader.next < end || !record->IsDone()) return true;
  SendFinished(stream, id, *record);
  return false;
}

void SidecarNode::SendFinished(const peer::ServerStream& stream,
                               const std::string& generation,
                               const Outcome& outcome,
                               std::uint64_t fingerprint) {
  const ClockReading now = ClockReading::Now();
  stream.Send(peer::FinishedReply{generation, outcome,
                                  executor_.crash_tracker().CrashesOf(
                                      fingerprint, now.boot),
                                  executor_.Load(now)},
              true);
}

void SidecarNode::SendFinished(const peer::ServerStream& stream,
                               const std::string& generation,
                               const execution::WorkRecord& record) {
  const ClockReading now = ClockReading::Now();
  const auto age_of = [now](BootTime time) {
    return std::chrono::duration_cast<milliseconds>(now.boot - time);
  };
  peer::FinishedReply reply{
      generation, *record.outcome,
      executor_.crash_tracker().CrashesOf(record.work.fingerprint, now.boot),
      executor_.Load(now)};
  reply.is_suspected = record.is_suspected;
  if (record.is_suspected) {
    reply.crash_age = age_of(record.done_at);
    reply.run_age = age_of(record.started_at);
  }
  stream.Send(reply, true);
}

// --- Executing decisions ---

void SidecarNode::ApplyDecisions() {
  const ClockReading now = ClockReading::Now();
  std::ranges::for_each(executor_.TakeDispatches(now),
                        [this](execution::LocalId c) { Dispatch(c); });
  std::ranges::for_each(executor_.TakeResumes(now), [this](const auto& resume) {
    const auto& [local_id, first] = resume;
    const auto repeated = executor_.Find(local_id)->log.TokensFrom(
        first - std::min(first, kRepeatedTokens), kRepeatedTokens);
    backend_.ResumeGeneration(local_id, executor_.IdOf(local_id).ToText(),
                              first, {repeated.begin(), repeated.end()});
  });
  std::ranges::for_each(
      executor_.TakeCancellations(), [this](execution::LocalId local_id) {
        backend_.CancelGeneration(local_id, executor_.IdOf(local_id).ToText());
      });
  std::ranges::for_each(executor_.TakeChanged(),
                        [this](execution::LocalId c) { OnRecordChanged(c); });
  FinishStopIfIdle();
}

void SidecarNode::Dispatch(execution::LocalId local_id) {
  const execution::WorkRecord* record = executor_.Find(local_id);
  const std::string stream = executor_.IdOf(local_id).ToText();
  const auto timer = timers_.find(local_id);
  if (timer != timers_.end()) timer->second.OnDispatched(record->started_at);
  if (record->work.kind == execution::WorkKind::kCall) {
    backend_.StartCall(local_id, stream, record->work);
  } else {
    backend_.StartGeneration(local_id, stream, record->work);
  }
}

void SidecarNode::LogBrokenStream(execution::LocalId local_id,
                                  const std::string& reason) const {
  const execution::WorkRecord* record = executor_.Find(local_id);
  if (record == nullptr) return;
  LogEvent("engine_stream_broken", LogEvent::Level::kWarning)
      .With("request", record->work.request_id)
      .With("generation", executor_.IdOf(local_id).ToText())
      .With("tokens", record->log.end())
      .With("reason", reason);
}

void SidecarNode::OnRecordChanged(execution::LocalId local_id) {
  const execution::WorkRecord* record = executor_.Find(local_id);
  if (record == nullptr) return;
  if (record->IsDone()) {
    const auto timer = timers_.find(local_id);
    if (timer != timers_.end()) {
      timer->second.OnEnd();
      timers_.erase(timer);
      metrics_.CountOutcome(record->work.workspace, record->outcome->code);
      LogEvent("finished")
          .With("request", record->work.request_id)
          .With("workspace", record->work.workspace)
          .With("generation", executor_.IdOf(local_id).ToText())
          .With("code", static_cast<int>(record->outcome->code))
          .With("run_state", NameOf(record->outcome->run_state))
          .With("tokens", record->outcome->total_tokens)
          .With("reason", record->outcome->detail);
    }
  }
  const auto streams = reader_streams_.find(local_id);
  if (streams == reader_streams_.end()) return;
  const auto current = streams->second;
  std::ranges::for_each(current, [this](const peer::ServerStream& stream) {
    const auto reader = readers_.find(stream);
    if (reader != readers_.end() &&
        !SendAvailableTokens(stream, reader->second)) {
      RemoveReader(stream);
    }
  });
}

void SidecarNode::DetectPauses() {
  executor_.Tick(ClockReading::Now());
  const std::uint64_t pauses = executor_.pauses();
  if (std::exchange(known_pauses_, pauses) == pauses) return;
  engine_controller_.OnPause();
  LogEvent("woke_late", LogEvent::Level::kWarning).With("vm", settings_.vm.id);
}

void SidecarNode::Tick() {
  DetectPauses();
  const ClockReading now = ClockReading::Now();
  engine_controller_.Tick(now.boot);
  if (now.boot - last_request_ > kListTimeout ||
      service_peers_.list().revision() == 0) {
    if (now.boot - last_request_ > kListTimeout) last_request_ = now.boot;
    list_watcher_.ReadOnce();
  }
  service_peers_.RequestConfirmations();
  if (stop_deadline_.has_value() && *stop_deadline_ <= now.boot) {
    stop_deadline_.reset();
    const std::size_t left = executor_.AbandonAll(now);
    LogEvent("stop_deadline", LogEvent::Level::kWarning).With("left", left);
  }
  ApplyDecisions();
}

void SidecarNode::OnListAdopted() {
  // The list marks this VM as leaving: drain, but leave it to the platform to
  // end the process.
  const membership::Vm* self = service_peers_.list().Find(settings_.vm.id);
  if (self != nullptr && self->state == membership::VmState::kLeaving) {
    BeginDrain();
  }
}

// --- Stopping ---

void SidecarNode::BeginDrain() {
  if (executor_.draining()) return;
  LogEvent("draining").With("vm", settings_.vm.id);
  // Peers may still connect to read the results of work that runs or ran here;
  // the executor refuses new work.
  executor_.BeginDrain(ClockReading::Now());
  service_peers_.AnnounceRelinquish();
  ApplyDecisions();
}

void SidecarNode::BeginStop() {
  if (std::exchange(stopping_, true)) return;
  stop_deadline_ = BootClock::now() + settings_.stop_deadline;
  BeginDrain();
  FinishStopIfIdle();
}

void SidecarNode::FinishStopIfIdle() {
  const bool done = stopping_ &&
                    service_peers_.IsRelinquishAnnounced(BootClock::now()) &&
                    executor_.IsIdle() && readers_.empty();
  if (!done || !on_stopped) return;
  // Leave time to send the last output before the process exits.
  peer_server_.BeginShutdown();
  QTimer::singleShot(kFinalWriteDelay, this,
                     std::exchange(on_stopped, nullptr));
}

nlohmann::json SidecarNode::Status() const {
  const execution::LoadReport load = executor_.Load(ClockReading::Now());
  return {{"process", "sidecar"},
          {"vm", settings_.vm.id},
          {"data_center", settings_.vm.data_center},
          {"service", settings_.service},
          {"list_revision", service_peers_.list().revision()},
          {"running", load.running},
          {"queued", load.queued},
          {"resident_tokens", load.resident_tokens},
          {"capacity_tokens", load.capacity_tokens},
          {"peak_load", load.peak_load},
          {"preemptions", preemptions_},
          {"peer_bytes", peer_server_.bytes()},
          {"platform_calls", list_watcher_.calls()},
          {"order", engine_controller_.reconciler().revision()},
          {"order_settled", engine_controller_.reconciler().settled()},
          {"order_superseded", engine_controller_.reconciler().superseded()},
          {"draining", load.draining}};
}

}  // namespace balsam::sidecar
