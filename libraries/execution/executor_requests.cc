// Requests from peers: submission, tickets, cancellation, and replies to
// repeated requests.
#include <algorithm>

#include "libraries/execution/executor.h"
#include "libraries/execution/retry_after.h"

namespace balsam::execution {

using std::chrono::milliseconds;

SubmitResult Executor::Submit(WorkItem work, ClockReading now) {
  DetectPause(now);
  if (!work.ticket.empty()) {
    if (auto result = ResultForTicket(work)) return *result;
  }
  if (work.key.has_value()) {
    if (auto result = ResultForKey(work, now)) return *result;
  }
  std::optional<Outcome> refusal = CheckKeyOwnership(work, now);
  if (!refusal.has_value()) refusal = CheckLimits(work, now);
  if (!refusal.has_value()) return Enqueue(std::move(work), now);
  const bool answered_not_run =
      work.key.has_value() && refusal->run_state == RunState::kNotRun;
  if (answered_not_run) {
    keys_[{work.workspace, work.key->text}] = {0, work.fingerprint, now.wall,
                                               now.wall};
  }
  return *refusal;
}

std::optional<SubmitResult> Executor::ResultForTicket(const WorkItem& work) {
  const auto id = generation::GenerationId::Parse(work.ticket);
  if (!id.has_value() || id->vm != config_.vm ||
      id->incarnation != config_.incarnation) {
    return Outcome::Unknown(ResultCode::kTicketExpired,
                            "ticket \"" + work.ticket +
                                "\" was issued by another sidecar incarnation");
  }
  const auto ticket = tickets_.find(id->local_id);
  if (ticket == tickets_.end() || ticket->second.workspace != work.workspace) {
    return Outcome::Unknown(
        ResultCode::kTicketExpired,
        "ticket \"" + work.ticket + "\" is unknown or has expired");
  }
  if (!ticket->second.local_id.has_value()) return std::nullopt;
  const WorkRecord* record = Lookup(*ticket->second.local_id);
  if (record == nullptr) {
    return Outcome::Unknown(
        ResultCode::kTicketExpired,
        "the result for ticket \"" + work.ticket + "\" has expired");
  }
  if (record->work.fingerprint != work.fingerprint) {
    return Outcome::NotRun(
        ResultCode::kKeyReusedForOtherRequest,
        "ticket \"" + work.ticket + "\" was used for another request");
  }
  return Accepted{record->local_id, true};
}

std::optional<SubmitResult> Executor::ResultForKey(const WorkItem& work,
                                                   ClockReading now) {
  const auto found = keys_.find({work.workspace, work.key->text});
  if (found == keys_.end()) return std::nullopt;
  KeyState& key = found->second;
  if (key.fingerprint != work.fingerprint) {
    return Outcome::NotRun(
        ResultCode::kKeyReusedForOtherRequest,
        "key \"" + work.key->text + "\" was used for another request");
  }
  key.last_use = std::max(key.last_use, work.received);
  if (!key.not_run_at.has_value()) {
    if (Lookup(key.local_id) != nullptr) return Accepted{key.local_id, true};
    return Outcome::Unknown(
        ResultCode::kKeyHistoryUnknown,
        "the result for key \"" + work.key->text + "\" has expired");
  }
  // A copy that an entry received before "not run" was answered must not run.
  if (work.received <= *key.not_run_at + config_.keys.clock_error) {
    key.not_run_at = now.wall;
    return Outcome::NotRun(
        ResultCode::kDeadlineInQueue,
        "key \"" + work.key->text + "\" was already answered as not run",
        config_.keys.clock_error + kRetryAfterRefusal);
  }
  return std::nullopt;
}

std::optional<Outcome> Executor::CheckKeyOwnership(const WorkItem& work,
                                                   ClockReading now) {
  // A ticket already restricts the call to this incarnation, and idempotent
  // work may run more than once.
  if (work.idempotent || !work.key.has_value() || !work.ticket.empty()) {
    return std::nullopt;
  }
  const std::string key_name = "key \"" + work.key->text + "\"";
  switch (key_ownership_.Check(*work.key, now.wall)) {
    case KeyOwnership::Status::kMayRun:
      return std::nullopt;
    case KeyOwnership::Status::kNotOwner:
      return Outcome::Unknown(
          ResultCode::kStaleVmList,
          "sidecar " + config_.vm + " is not the owner of " + key_name +
              " under VM list revision " +
              std::to_string(key_ownership_.list_revision()));
    case KeyOwnership::Status::kHistoryUnknown:
      return Outcome::Unknown(ResultCode::kKeyHistoryUnknown,
                              key_name + " may have run before sidecar " +
                                  config_.vm + " became its owner");
    case KeyOwnership::Status::kRelinquished:
      return Outcome::Unknown(
          ResultCode::kDraining,
          "sidecar " + config_.vm + " accepts no more keys");
    case KeyOwnership::Status::kOutsideLifetime:
      return Outcome::Unknown(
          ResultCode::kKeyHistoryUnknown,
          key_name + " was created too long ago, or in the future");
  }
  return std::nullopt;
}

std::optional<Outcome> Executor::CheckLimits(const WorkItem& work,
                                             ClockReading now) {
  if (draining_) {
    return Outcome::NotRun(ResultCode::kDraining,
                           "sidecar " + config_.vm + " is draining",
                           kRetryAfterRefusal);
  }
  const WallTime expiry =
      work.received + work.queue_deadline + config_.keys.clock_error;
  if (now.wall > expiry) {
    return Outcome::NotRun(ResultCode::kDeadlineInQueue,
                           "the request reached sidecar " + config_.vm +
                               " after its queue deadline",
                           kRetryAfterRefusal);
  }
  crash_tracker_.MergeCrashCount(work.fingerprint, work.crash_count, now.boot);
  if (crash_tracker_.StatusOf(work.fingerprint, now.boot) ==
      CrashTracker::Status::kQuarantined) {
    return Outcome::NotRun(ResultCode::kQuarantined,
                           "the request repeatedly crashed backend servers",
                           config_.suspicion_lifetime);
  }
  const std::int64_t waiting =
      static_cast<std::int64_t>(queue_.QueueLength(work.workspace));
  const milliseconds wait = ExpectedWait(queue_.ExpectedAhead(
      work.workspace, work.over_budget == milliseconds(0)));
  const milliseconds retry_after = RetryAfter(wait);
  if (work.over_budget > milliseconds(0) &&
      queue_.waiting_within_budget() > 0) {
    return Outcome::NotRun(
        ResultCode::kBudgetSpent,
        "workspace " + work.workspace +
            " is over its budget while others wait at sidecar " + config_.vm,
        RetryAfter(work.over_budget));
  }
  if (waiting >= work.queue_limit) {
    return Outcome::NotRun(ResultCode::kQueueFull,
                           "workspace " + work.workspace + " has " +
                               std::to_string(waiting) + " requests waiting",
                           retry_after);
  }
  if (wait > work.queue_deadline) {
    return Outcome::NotRun(ResultCode::kQueueFull,
                           "the expected wait at sidecar " + config_.vm +
                               " exceeds the queue deadline",
                           retry_after);
  }
  return std::nullopt;
}

Accepted Executor::Enqueue(WorkItem work, ClockReading now) {
  const LocalId local_id = next_local_id_++;
  if (work.key.has_value()) {
    keys_[{work.workspace, work.key->text}] = {local_id, work.fingerprint,
                                               std::nullopt, now.wall};
  }
  if (const auto id = generation::GenerationId::Parse(work.ticket)) {
    tickets_.at(id->local_id).local_id = local_id;
  }
  WorkRecord& record = records_[local_id];
  record.local_id = local_id;
  record.queued_at = now.boot;
  record.queue_deadline = now.boot + work.queue_deadline;
  if (work.kind == WorkKind::kGeneration) record.lengths = &LengthModelOf(work);
  if (work.over_budget == milliseconds(0)) last_within_budget_ = now.boot;
  queue_.Push(work.workspace, work.weight, work.priority, local_id,
              work.over_budget == milliseconds(0));
  record.work = std::move(work);
  active_.insert(local_id);
  return {local_id, false};
}

std::string Executor::IssueTicket(const std::string& workspace,
                                  ClockReading now) {
  const LocalId local_id = next_local_id_++;
  tickets_[local_id] = {workspace, std::nullopt, now.wall};
  return IdOf(local_id).ToText();
}

void Executor::Cancel(LocalId local_id, ClockReading now) {
  WorkRecord* record = Lookup(local_id);
  if (record == nullptr || record->IsDone()) return;
  if (record->phase == Phase::kQueued) {
    FinishNotRun(*record,
                 Outcome::NotRun(ResultCode::kCancelledByCaller,
                                 "the caller cancelled before the request ran"),
                 now);
    return;
  }
  if (record->work.kind == WorkKind::kCall) return;
  cancellations_.push_back(local_id);
  Finish(*record,
         Outcome::Ran(ResultCode::kCancelledByCaller, "the caller cancelled"),
         now);
}

const WorkRecord* Executor::Find(const generation::GenerationId& id,
                                 const std::string& workspace) const {
  if (id.vm != config_.vm || id.incarnation != config_.incarnation) {
    return nullptr;
  }
  const WorkRecord* record = Find(id.local_id);
  const bool is_visible =
      record != nullptr && record->work.workspace == workspace;
  return is_visible ? record : nullptr;
}

const WorkRecord* Executor::Find(LocalId local_id) const {
  const auto found = records_.find(local_id);
  return found == records_.end() ? nullptr : &found->second;
}

WorkRecord* Executor::Lookup(LocalId local_id) {
  const auto found = records_.find(local_id);
  return found == records_.end() ? nullptr : &found->second;
}

void Executor::AttachReader(LocalId local_id) {
  WorkRecord* record = Lookup(local_id);
  if (record == nullptr) return;
  ++record->readers;
  record->abandon_at.reset();
}

void Executor::DetachReader(LocalId local_id, ClockReading now) {
  WorkRecord* record = Lookup(local_id);
  if (record == nullptr || record->readers == 0) return;
  if (--record->readers > 0) return;
  record->abandon_at = now.boot + config_.reader_grace;
}

void Executor::OnReaderLeft(LocalId local_id, ClockReading now) {
  WorkRecord* record = Lookup(local_id);
  if (record == nullptr || record->readers > 0) return;
  record->abandon_at = now.boot + config_.reader_left_grace;
}

generation::GenerationId Executor::IdOf(LocalId local_id) const {
  return {config_.vm, config_.incarnation, local_id};
}

}  // namespace balsam::execution
