// Copies, target selection and the handover to the exchange.
#include "services/gateway/generation_migration.h"

#include <QPointer>
#include <algorithm>
#include <utility>

#include "libraries/base/log_event.h"

namespace balsam::gateway {
namespace {

using migration::CopyResult;
using migration::MigrationStep;
using std::chrono::milliseconds;

// Delay before retrying a step that could not be carried out.
constexpr milliseconds kStepRetryDelay{50};
// The same if the engine refused the call that stops the run: it sheds load.
constexpr milliseconds kRefusedStopDelay{250};
// Longest delay between calls that stop a run whose engine fails them.
constexpr milliseconds kMaxStopDelay{1000};
// Time limit for a copy: the memory of a long generation between data centres,
// queued behind a few others (platform: gigabytes over 24 Gbit/s).
constexpr milliseconds kCopyTimeout{3000};
// An engine refuses a copy immediately if the target has no capacity. A refusal
// that took longer than this means that the engine could not connect to the
// target.
constexpr milliseconds kMaxRefusalTime{150};
// Time limit for the call that releases a copy; nothing waits for it.
constexpr milliseconds kReleaseTimeout{1000};

}  // namespace

GenerationMigration::GenerationMigration(GatewayContext& context,
                                         const routing::EngineTraits& engine,
                                         Run run)
    : context_(context),
      engine_(engine),
      run_(std::move(run)),
      state_machine_({}),
      search_(context),
      noticed_at_(BootClock::now()) {
  search_.on_ended = [this](const auto& choice) { OnTargetChosen(choice); };
  retry_timer_.setSingleShot(true);
  connect(&retry_timer_, &QTimer::timeout, this,
          &GenerationMigration::OnRetryTimer);
}

GenerationMigration::~GenerationMigration() { End(); }

void GenerationMigration::Start() {
  LogEvent("move_started")
      .With("id", run_.request_id)
      .With("server", run_.server_id);
  JoinCopyQueue();
}

// --- Copy slots ---

void GenerationMigration::JoinCopyQueue() {
  context_.copy_queues[run_.server_id].Push(this, run_.copy_priority);
  GrantNextCopySlot(context_, run_.server_id);
}

void GenerationMigration::LeaveCopyQueue() {
  const auto found = context_.copy_queues.find(run_.server_id);
  if (found == context_.copy_queues.end()) return;
  found->second.Remove(this);
  GrantNextCopySlot(context_, run_.server_id);
}

void GenerationMigration::GrantNextCopySlot(GatewayContext& context,
                                            const std::string& server_id) {
  const auto found = context.copy_queues.find(server_id);
  if (found == context.copy_queues.end()) return;
  if (found->second.empty()) {
    context.copy_queues.erase(found);
    return;
  }
  if (GenerationMigration* next = found->second.TakeNext(); next != nullptr) {
    next->OnCopySlotGranted();
  }
}

void GenerationMigration::OnCopySlotGranted() {
  ExecuteStep(state_machine_.active() ? state_machine_.OnRetryTimer()
                                      : state_machine_.OnLeaveNotice());
}

void GenerationMigration::OnRetryTimer() {
  // The last copy is short and its run has already stopped, so it does not
  // queue again.
  if (state_machine_.stopping()) {
    ExecuteStep(state_machine_.OnRetryTimer());
  } else {
    JoinCopyQueue();
  }
}

// --- Steps ---

void GenerationMigration::OnSourceStreamEnded(migration::StreamEnd end) {
  ExecuteStep(state_machine_.OnSourceStreamEnded(end));
}

void GenerationMigration::OnServerRestarted(
    const directory::BackendServer& server) {
  // Handles are given out anew by each incarnation.
  if (server.id != run_.server_id) return;
  const BootTime began =
      BootClock::now() - server.age + directory::kMaxClockError;
  source_restarted_ |= run_.began < began;
}

void GenerationMigration::OnResumeResult(bool accepted) {
  ExecuteStep(state_machine_.OnResumeResult(accepted));
  if (!accepted) return;
  LogEvent("move_done")
      .With("id", run_.request_id)
      .With("from", run_.server_id)
      .With("to", target_id_)
      .With("took", SinceNotice());
  // The copy is in use and must not be released.
  handle_.clear();
  End();
  on_done();
}

void GenerationMigration::End() {
  if (std::exchange(ended_, true)) return;
  retry_timer_.stop();
  ReleaseTarget();
  ReleaseCall();
  ReleaseCopy();
  LeaveCopyQueue();
}

milliseconds GenerationMigration::SinceNotice() const {
  return std::chrono::duration_cast<milliseconds>(BootClock::now() -
                                                  noticed_at_);
}

void GenerationMigration::ExecuteStep(MigrationStep step) {
  switch (step) {
    case MigrationStep::kNone:
      return;
    case MigrationStep::kChooseTarget:
      ChooseTarget();
      return;
    case MigrationStep::kCopy:
      SendCopyCall(false);
      return;
    case MigrationStep::kStopAndCopy:
      SendCopyCall(true);
      return;
    case MigrationStep::kRetryLater:
      LeaveCopyQueue();
      retry_timer_.start(RetryDelay());
      return;
    case MigrationStep::kResumeAtTarget:
      Resume(true);
      return;
    case MigrationStep::kResumeAtSource:
      if (source_restarted_ || source_is_being_stopped_) {
        ExecuteStep(state_machine_.OnResumeResult(false));
        return;
      }
      if (context_.directory.IsEvacuated(run_.server_id)) {
        ExecuteStep(state_machine_.OnSourceExcluded());
        return;
      }
      Resume(false);
      return;
    case MigrationStep::kLost:
      End();
      on_lost();
      return;
  }
}

milliseconds GenerationMigration::RetryDelay() {
  if (stop_refused_) return kRefusedStopDelay;
  if (!state_machine_.stopping()) return kStepRetryDelay;
  constexpr int kMaxDoublings = 10;
  const int doublings = std::min(failed_stops_++, kMaxDoublings);
  return std::min(kStepRetryDelay * (1 << doublings), kMaxStopDelay);
}

void GenerationMigration::ChooseTarget() {
  ReleaseTarget();
  dispatch::Demand demand = run_.demand;
  demand.is_migration = true;
  const auto* source = context_.directory.Find(run_.server_id);
  if (source != nullptr) demand.data_center = source->data_center;
  demand.excluded.insert(run_.server_id);
  demand.excluded.insert(refused_targets_.begin(), refused_targets_.end());
  target_demand_ = std::move(demand);
  const auto choice = search_.Start(&engine_, target_demand_,
                                    ServerSearch::Mode::kQueriedLoads);
  if (!search_.is_querying()) OnTargetChosen(choice);
}

void GenerationMigration::OnTargetChosen(
    const std::optional<ServerSearch::Choice>& choice) {
  // The run or its engine may have ended during the load query.
  if (ended_ || !state_machine_.choosing()) return;
  if (!choice.has_value()) {
    refused_targets_.clear();
    if (!std::exchange(logged_no_target_, true)) {
      LogEvent("move_no_target")
          .With("id", run_.request_id)
          .With("server", run_.server_id)
          .With("tokens", run_.demand.Tokens())
          .With("since_notice", SinceNotice());
    }
    ExecuteStep(state_machine_.OnTargetResult(false));
    return;
  }
  target_id_ = choice->id;
  target_ = choice->endpoint;
  target_reserved_ = true;
  context_.selector.OnStart(target_id_, target_demand_);
  // The prompt is not processed again, because the memory is copied.
  context_.selector.OnFirstEvent(target_id_, target_demand_);
  if (context_.send_load) context_.send_load();
  ExecuteStep(state_machine_.OnTargetResult(true));
}

void GenerationMigration::SendCopyCall(bool stop) {
  const BackendCall call =
      context_.dialect.MakeCopyCall(run_.request_id, target_, stop);
  call_ = std::make_shared<CopyCall>();
  call_->connection =
      ConnectionLease(context_.pool, run_.server_id, run_.endpoint,
                      ConnectionPool::Use::kRequest);
  call_started_at_ = BootClock::now();
  call_->connection->Call(
      call.ToBytes(), kCopyTimeout,
      [self = QPointer(this), &context = context_, run = run_,
       shared = call_](const OutboundConnection::Response& reply) {
        shared->connection.End();
        if (self != nullptr && self->call_ == shared) {
          self->call_.reset();
          self->OnCopyResponse(reply);
          return;
        }
        if (!shared->is_stop_repeated || StopIsProven(context, reply)) return;
        context.run_stopper.Abandon(
            {run.request_id, run.server_id, run.endpoint},
            /*may_be_queued=*/false);
        if (self != nullptr) self->source_is_being_stopped_ = true;
      });
}

CopyResponse GenerationMigration::Parse(
    const Dialect& dialect, const OutboundConnection::Response& reply) {
  if (reply.end != OutboundConnection::EndReason::kComplete) return {};
  return dialect.ParseCopyResponse(reply.head.status, reply.body);
}

bool GenerationMigration::StopIsProven(
    const GatewayContext& context, const OutboundConnection::Response& reply) {
  const CopyResponse response = Parse(context.dialect, reply);
  // An engine that stopped the run names what it keeps of it.
  return !response.handle.empty() || response.result == CopyResult::kNoSuchRun;
}

void GenerationMigration::OnCopyResponse(
    const OutboundConnection::Response& reply) {
  const auto took = std::chrono::duration_cast<milliseconds>(BootClock::now() -
                                                             call_started_at_);
  CopyResponse response = Parse(context_.dialect, reply);
  if (source_presence_.OnContact(reply.contact) == directory::Presence::kGone) {
    response.result = CopyResult::kSourceGone;
  }
  // An engine that stopped a run names what it keeps of it. One that refused
  // the call did not stop the run.
  stop_refused_ = state_machine_.stopping() && response.handle.empty() &&
                  response.result == CopyResult::kNoCapacity;
  if (stop_refused_) response.result = CopyResult::kBusy;
  if (!response.handle.empty()) handle_ = response.handle;
  if (response.result == CopyResult::kNoCapacity) {
    refused_targets_.insert(target_id_);
    if (took > kMaxRefusalTime) {
      context_.selector.OnResult(
          target_id_, dispatch::AttemptResult::kUnreachable, BootClock::now());
    }
  }
  // Operators may have evacuated the target's data centre since it was chosen.
  // A run that has stopped has nowhere else to go on.
  if (!state_machine_.stopping() && response.result == CopyResult::kCopied &&
      context_.directory.IsEvacuated(target_id_)) {
    response.result = CopyResult::kNoCapacity;
    refused_targets_.insert(target_id_);
  }
  LogEvent("move_copied")
      .With("id", run_.request_id)
      .With("from", run_.server_id)
      .With("to", target_id_)
      .With("status", reply.head.status)
      .With("stopped", state_machine_.stopping() ? 1 : 0)
      .With("events", response.events)
      .With("took", took)
      .With("since_notice", SinceNotice());
  ExecuteStep(state_machine_.OnCopyResult(response.result, took));
}

void GenerationMigration::Resume(bool at_target) {
  // A call that is still in progress stops the run; its response is not
  // awaited.
  if (call_ != nullptr) late_call_ = std::exchange(call_, nullptr);
  // What goes on at the source must not be stopped there.
  if (late_call_ != nullptr) late_call_->is_stop_repeated = at_target;
  ReleaseTarget();
  LeaveCopyQueue();
  on_resume({at_target ? target_id_ : run_.server_id,
             at_target ? target_ : run_.endpoint,
             target_demand_,
             {run_.endpoint, handle_}});
}

void GenerationMigration::ReleaseTarget() {
  if (!std::exchange(target_reserved_, false)) return;
  context_.selector.OnEnd(target_id_, target_demand_, true);
}

void GenerationMigration::ReleaseCall() {
  if (call_ == nullptr) return;
  call_->connection.End();
  call_.reset();
}

void GenerationMigration::ReleaseCopy() {
  if (handle_.empty() || source_restarted_) return;
  const BackendCall call = context_.dialect.MakeReleaseCall(handle_);
  OutboundConnection* connection = context_.pool.Acquire(
      run_.server_id, run_.endpoint, ConnectionPool::Use::kPoll);
  // The migration may be destroyed before the response arrives.
  connection->Call(call.ToBytes(), kReleaseTimeout,
                   [pool = &context_.pool, server = run_.server_id,
                    connection](const OutboundConnection::Response&) {
                     pool->Release(server, connection);
                   });
}

}  // namespace balsam::gateway
