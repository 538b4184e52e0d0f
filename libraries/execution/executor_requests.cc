// What peers ask of a sidecar: work to take on or refuse, tickets, and the
// answers to repeats of what it knows.
#include <algorithm>

#include "libraries/execution/executor.h"
#include "libraries/execution/retry_after.h"

namespace balsam::execution {

using std::chrono::milliseconds;

Submission Executor::Submit(Work work, Moment now) {
  NoticePause(now);
  if (!work.ticket.empty()) {
    if (auto answer = AnswerFromTicket(work)) return *answer;
  }
  if (work.key.has_value()) {
    if (auto answer = AnswerFromKey(work, now)) return *answer;
  }
  std::optional<Outcome> refusal = RefuseByAuthority(work, now);
  if (!refusal.has_value()) refusal = RefuseByLoad(work, now);
  if (!refusal.has_value()) return TakeOn(std::move(work), now);
  const bool tells_not_run =
      work.key.has_value() && refusal->run_state == RunState::kNotRun;
  if (tells_not_run) {
    keys_[{work.workspace, work.key->text}] = {0, work.fingerprint, now.wall,
                                               now.wall};
  }
  return *refusal;
}

std::optional<Submission> Executor::AnswerFromTicket(const Work& work) {
  const auto id = generation::GenerationId::Parse(work.ticket);
  if (!id.has_value() || id->vm != config_.vm ||
      id->incarnation != config_.incarnation) {
    return Outcome::Unknown(ResultCode::kTicketExpired,
                            "ticket \"" + work.ticket +
                                "\" is of another incarnation of its sidecar");
  }
  const auto ticket = tickets_.find(id->counter);
  if (ticket == tickets_.end() || ticket->second.workspace != work.workspace) {
    return Outcome::Unknown(
        ResultCode::kTicketExpired,
        "ticket \"" + work.ticket + "\" is not held any more");
  }
  if (!ticket->second.counter.has_value()) return std::nullopt;
  const GenerationRecord* record = Get(*ticket->second.counter);
  if (record == nullptr) {
    return Outcome::Unknown(
        ResultCode::kTicketExpired,
        "the answer to ticket \"" + work.ticket + "\" is not kept any more");
  }
  if (record->work.fingerprint != work.fingerprint) {
    return Outcome::NotRun(
        ResultCode::kKeyReusedForOtherRequest,
        "ticket \"" + work.ticket + "\" was used for another request");
  }
  return Accepted{record->counter, true};
}

std::optional<Submission> Executor::AnswerFromKey(const Work& work,
                                                  Moment now) {
  const auto entry = keys_.find({work.workspace, work.key->text});
  if (entry == keys_.end()) return std::nullopt;
  KeyEntry& known = entry->second;
  if (known.fingerprint != work.fingerprint) {
    return Outcome::NotRun(
        ResultCode::kKeyReusedForOtherRequest,
        "key \"" + work.key->text + "\" was used for another request");
  }
  known.last_use = std::max(known.last_use, work.received);
  if (!known.not_run_at.has_value()) {
    if (Get(known.counter) != nullptr) return Accepted{known.counter, true};
    return Outcome::Unknown(
        ResultCode::kKeyHistoryUnknown,
        "the answer to key \"" + work.key->text + "\" is not kept any more");
  }
  // A copy that was under way when "not run" was said must not run after all.
  if (work.received <= *known.not_run_at + config_.keys.clock_error) {
    known.not_run_at = now.wall;
    return Outcome::NotRun(
        ResultCode::kDeadlineInQueue,
        "key \"" + work.key->text + "\" was answered before as not run",
        config_.keys.clock_error + kRetryAfterRefusal);
  }
  return std::nullopt;
}

std::optional<Outcome> Executor::RefuseByAuthority(const Work& work,
                                                   Moment now) {
  // A ticket binds the call to this incarnation, and work that may be repeated
  // needs no binding.
  if (work.idempotent || !work.key.has_value() || !work.ticket.empty()) {
    return std::nullopt;
  }
  const std::string named = "key \"" + work.key->text + "\"";
  switch (authority_.Judge(*work.key, now.wall)) {
    case KeyAuthority::Verdict::kMayRun:
      return std::nullopt;
    case KeyAuthority::Verdict::kNotHome:
      return Outcome::Unknown(ResultCode::kStaleVmList,
                              "sidecar " + config_.vm + " is not the home of " +
                                  named + " under VM list revision " +
                                  std::to_string(authority_.list_revision()));
    case KeyAuthority::Verdict::kHistoryUnknown:
      return Outcome::Unknown(ResultCode::kKeyHistoryUnknown,
                              named + " may have run before sidecar " +
                                  config_.vm + " became its home");
    case KeyAuthority::Verdict::kSealed:
      return Outcome::Unknown(ResultCode::kDraining,
                              "sidecar " + config_.vm + " takes no keys");
    case KeyAuthority::Verdict::kOutsideLifetime:
      return Outcome::Unknown(
          ResultCode::kKeyHistoryUnknown,
          named + " was made too long ago, or in the future");
  }
  return std::nullopt;
}

std::optional<Outcome> Executor::RefuseByLoad(const Work& work, Moment now) {
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
  suspicions_.Learn(work.fingerprint, work.suspicion, now.boot);
  if (suspicions_.VerdictOn(work.fingerprint, now.boot) ==
      SuspicionTable::Verdict::kQuarantined) {
    return Outcome::NotRun(ResultCode::kQuarantined,
                           "the request crashed each backend server that ran "
                           "it",
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
            " has used up its budget, and others wait at sidecar " + config_.vm,
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
                           "the wait at sidecar " + config_.vm +
                               " would exceed the queue deadline",
                           retry_after);
  }
  return std::nullopt;
}

Accepted Executor::TakeOn(Work work, Moment now) {
  const Counter counter = next_counter_++;
  if (work.key.has_value()) {
    keys_[{work.workspace, work.key->text}] = {counter, work.fingerprint,
                                               std::nullopt, now.wall};
  }
  if (const auto id = generation::GenerationId::Parse(work.ticket)) {
    tickets_.at(id->counter).counter = counter;
  }
  GenerationRecord& record = records_[counter];
  record.counter = counter;
  record.queued_at = now.boot;
  record.queue_deadline = now.boot + work.queue_deadline;
  if (work.kind == WorkKind::kGeneration) record.lengths = &LengthsOf(work);
  if (work.over_budget == milliseconds(0)) within_budget_seen_ = now.boot;
  queue_.Push(work.workspace, work.weight, work.priority, counter,
              work.over_budget == milliseconds(0));
  record.work = std::move(work);
  active_.insert(counter);
  return {counter, false};
}

std::string Executor::IssueTicket(const std::string& workspace, Moment now) {
  const Counter counter = next_counter_++;
  tickets_[counter] = {workspace, std::nullopt, now.wall};
  return IdOf(counter).ToText();
}

void Executor::Cancel(Counter counter, Moment now) {
  GenerationRecord* record = Get(counter);
  if (record == nullptr || record->IsDone()) return;
  if (record->phase == Phase::kQueued) {
    FinishNotRun(*record,
                 Outcome::NotRun(ResultCode::kCancelledByCaller,
                                 "the caller left before the request ran"),
                 now);
    return;
  }
  if (record->work.kind == WorkKind::kCall) return;
  cancellations_.push_back(counter);
  Finish(*record,
         Outcome::Ran(ResultCode::kCancelledByCaller, "the caller left"), now);
}

const GenerationRecord* Executor::Find(const generation::GenerationId& id,
                                       const std::string& workspace) const {
  if (id.vm != config_.vm || id.incarnation != config_.incarnation) {
    return nullptr;
  }
  const GenerationRecord* record = Find(id.counter);
  const bool own = record != nullptr && record->work.workspace == workspace;
  return own ? record : nullptr;
}

const GenerationRecord* Executor::Find(Counter counter) const {
  const auto found = records_.find(counter);
  return found == records_.end() ? nullptr : &found->second;
}

GenerationRecord* Executor::Get(Counter counter) {
  const auto found = records_.find(counter);
  return found == records_.end() ? nullptr : &found->second;
}

void Executor::AttachReader(Counter counter) {
  GenerationRecord* record = Get(counter);
  if (record == nullptr) return;
  ++record->readers;
  record->abandon_at.reset();
}

void Executor::DetachReader(Counter counter, Moment now) {
  GenerationRecord* record = Get(counter);
  if (record == nullptr || record->readers == 0) return;
  if (--record->readers > 0) return;
  record->abandon_at = now.boot + config_.reader_grace;
}

void Executor::OnReaderLeft(Counter counter, Moment now) {
  GenerationRecord* record = Get(counter);
  if (record == nullptr || record->readers > 0) return;
  record->abandon_at = now.boot + config_.leave_grace;
}

generation::GenerationId Executor::IdOf(Counter counter) const {
  return {config_.vm, config_.incarnation, counter};
}

}  // namespace balsam::execution
