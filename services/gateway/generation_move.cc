// Copies, targets and the hand-over to the request.
#include "services/gateway/generation_move.h"

#include <utility>

#include "libraries/base/log_event.h"

namespace balsam::gateway {
namespace {

using migration::CopyResult;
using migration::MigrationStep;
using std::chrono::milliseconds;

// Between two tries of a step that could not be made.
constexpr milliseconds kMoveRetry{50};
// Time that a copy may take: a long generation's memory between data centres,
// behind a few others (platform: gigabytes over 24 Gbit/s).
constexpr milliseconds kCopyTime{3000};
// An engine refuses a copy that has no room at once. A refusal that took longer
// tells that it could not connect to the target.
constexpr milliseconds kRefusalTime{150};
// Time for the call that frees a copy; nothing waits for it.
constexpr milliseconds kDropTime{1000};

}  // namespace

GenerationMove::GenerationMove(GatewayContext& context,
                               const routing::EngineTraits& engine, Run run)
    : context_(context),
      engine_(engine),
      run_(std::move(run)),
      machine_({}),
      search_(context),
      noticed_(BootClock::now()) {
  search_.on_ended = [this](const auto& choice) { OnTargetChosen(choice); };
  retry_timer_.setSingleShot(true);
  connect(&retry_timer_, &QTimer::timeout, this, &GenerationMove::OnRetryTimer);
}

GenerationMove::~GenerationMove() { End(); }

void GenerationMove::Start() {
  LogEvent("move_started")
      .With("id", run_.request_id)
      .With("server", run_.server_id);
  JoinQueue();
}

// --- The turn to copy ---

void GenerationMove::JoinQueue() {
  context_.copy_queues[run_.server_id].Push(this, run_.rank);
  OfferTurn(context_, run_.server_id);
}

void GenerationMove::LeaveQueue() {
  const auto found = context_.copy_queues.find(run_.server_id);
  if (found == context_.copy_queues.end()) return;
  found->second.Remove(this);
  OfferTurn(context_, run_.server_id);
}

void GenerationMove::OfferTurn(GatewayContext& context,
                               const std::string& server_id) {
  const auto found = context.copy_queues.find(server_id);
  if (found == context.copy_queues.end()) return;
  if (found->second.empty()) {
    context.copy_queues.erase(found);
    return;
  }
  if (GenerationMove* next = found->second.TakeNext(); next != nullptr) {
    next->OnTurn();
  }
}

void GenerationMove::OnTurn() {
  Perform(machine_.active() ? machine_.OnRetryTimer()
                            : machine_.OnLeaveNotice());
}

void GenerationMove::OnRetryTimer() {
  // The last copy is short, and its run has stopped already.
  if (machine_.stopping()) {
    Perform(machine_.OnRetryTimer());
  } else {
    JoinQueue();
  }
}

// --- Steps ---

void GenerationMove::OnSourceStreamBroken() {
  Perform(machine_.OnSourceStreamBroken());
}

void GenerationMove::OnResumeResult(bool accepted) {
  Perform(machine_.OnResumeResult(accepted));
  if (!accepted) return;
  LogEvent("move_done")
      .With("id", run_.request_id)
      .With("from", run_.server_id)
      .With("to", target_id_)
      .With("took", SinceNotice());
  // The copy is in use.
  handle_.clear();
  End();
  on_done();
}

void GenerationMove::End() {
  if (std::exchange(ended_, true)) return;
  retry_timer_.stop();
  ReleaseTarget();
  ReleaseCall();
  DropCopy();
  LeaveQueue();
}

milliseconds GenerationMove::SinceNotice() const {
  return std::chrono::duration_cast<milliseconds>(BootClock::now() - noticed_);
}

void GenerationMove::Perform(MigrationStep step) {
  switch (step) {
    case MigrationStep::kNone:
      return;
    case MigrationStep::kChooseTarget:
      ChooseTarget();
      return;
    case MigrationStep::kCopy:
      CallCopy(false);
      return;
    case MigrationStep::kStopAndCopy:
      CallCopy(true);
      return;
    case MigrationStep::kRetryLater:
      LeaveQueue();
      retry_timer_.start(kMoveRetry);
      return;
    case MigrationStep::kResumeAtTarget:
    case MigrationStep::kCloseAndResumeAtTarget:
      // Going on closes the stream at the source in any case.
      Resume(true);
      return;
    case MigrationStep::kResumeAtSource:
      Resume(false);
      return;
    case MigrationStep::kLost:
      End();
      on_lost();
      return;
  }
}

void GenerationMove::ChooseTarget() {
  ReleaseTarget();
  dispatch::Demand demand = run_.demand;
  demand.is_migration = true;
  const auto* source = context_.directory.Find(run_.server_id);
  if (source != nullptr) demand.data_center = source->data_center;
  demand.excluded.insert(run_.server_id);
  demand.excluded.insert(refused_targets_.begin(), refused_targets_.end());
  target_demand_ = std::move(demand);
  const auto choice = search_.Begin(engine_, target_demand_);
  if (!search_.asking()) OnTargetChosen(choice);
}

void GenerationMove::OnTargetChosen(
    const std::optional<EngineSearch::Choice>& choice) {
  // The run may have ended, or its engine, while loads were asked for.
  if (ended_ || !machine_.choosing()) return;
  if (!choice.has_value()) {
    refused_targets_.clear();
    if (!std::exchange(told_no_target_, true)) {
      LogEvent("move_no_target")
          .With("id", run_.request_id)
          .With("server", run_.server_id)
          .With("tokens", run_.demand.Tokens())
          .With("since_notice", SinceNotice());
    }
    Perform(machine_.OnTargetResult(false));
    return;
  }
  target_id_ = choice->id;
  target_ = choice->endpoint;
  target_reserved_ = true;
  context_.selector.OnStart(target_id_, target_demand_);
  // Its memory is copied, not read again.
  context_.selector.OnFirstEvent(target_id_, target_demand_);
  if (context_.tell_load) context_.tell_load();
  Perform(machine_.OnTargetResult(true));
}

void GenerationMove::CallCopy(bool stop) {
  const BackendCall call =
      context_.dialect.CopyRun(run_.request_id, target_, stop);
  call_ = context_.pool.Acquire(run_.server_id, run_.endpoint, false);
  call_began_ = BootClock::now();
  call_->Call(call.ToBytes(), kCopyTime,
              [this](const OutboundConnection::Answer& reply) {
                OnCopyAnswered(reply);
              });
}

void GenerationMove::OnCopyAnswered(const OutboundConnection::Answer& reply) {
  const auto took =
      std::chrono::duration_cast<milliseconds>(BootClock::now() - call_began_);
  context_.pool.Release(run_.server_id, std::exchange(call_, nullptr));
  CopyAnswer answer;
  if (reply.end == OutboundConnection::End::kComplete) {
    answer = context_.dialect.ReadCopyAnswer(reply.head.status, reply.body);
  }
  if (!answer.handle.empty()) handle_ = answer.handle;
  if (answer.result == CopyResult::kNoCapacity) {
    refused_targets_.insert(target_id_);
    if (took > kRefusalTime) {
      context_.selector.OnResult(
          target_id_, dispatch::AttemptResult::kUnreachable, BootClock::now());
    }
  }
  LogEvent("move_copied")
      .With("id", run_.request_id)
      .With("from", run_.server_id)
      .With("to", target_id_)
      .With("status", reply.head.status)
      .With("stopped", machine_.stopping() ? 1 : 0)
      .With("events", answer.events)
      .With("took", took)
      .With("since_notice", SinceNotice());
  Perform(machine_.OnCopyResult(answer.result, took));
}

void GenerationMove::Resume(bool at_target) {
  ReleaseCall();
  ReleaseTarget();
  LeaveQueue();
  on_resume({at_target ? target_id_ : run_.server_id,
             at_target ? target_ : run_.endpoint,
             target_demand_,
             {run_.endpoint, handle_}});
}

void GenerationMove::ReleaseTarget() {
  if (!std::exchange(target_reserved_, false)) return;
  context_.selector.OnEnd(target_id_, target_demand_, true);
}

void GenerationMove::ReleaseCall() {
  if (call_ == nullptr) return;
  call_->Abort();
  context_.pool.Release(run_.server_id, std::exchange(call_, nullptr));
}

void GenerationMove::DropCopy() {
  if (handle_.empty()) return;
  const BackendCall call = context_.dialect.DropCopy(handle_);
  OutboundConnection* connection =
      context_.pool.Acquire(run_.server_id, run_.endpoint, false);
  // The move may be gone when the answer comes.
  connection->Call(call.ToBytes(), kDropTime,
                   [pool = &context_.pool, server = run_.server_id,
                    connection](const OutboundConnection::Answer&) {
                     pool->Release(server, connection);
                   });
}

}  // namespace balsam::gateway
