// State changes of a request from dispatch to its end. Requests from peers are
// handled in executor_requests.cc, admission in executor_admission.cc.
#include "libraries/execution/executor.h"

#include <algorithm>

#include "libraries/execution/retry_after.h"

namespace balsam::execution {
namespace {

using std::chrono::milliseconds;

// Weight of the newest interval in the moving average of dispatch intervals.
constexpr double kDispatchIntervalWeight = 0.1;
// A longer interval means that no request was queued, not that dispatching is
// slow.
constexpr std::chrono::seconds kMaxDispatchInterval{10};

}  // namespace

Executor::Executor(ExecutorConfig config, ClockReading now,
                   AdmissionPolicy policy)
    : config_(std::move(config)),
      policy_(policy),
      key_ownership_(config_.keys, now.wall),
      crash_tracker_(config_.suspicion_lifetime),
      last_call_(now.boot) {}

void Executor::DetectPause(ClockReading now) {
  const bool paused = now.boot - last_call_ > config_.pause_limit;
  last_call_ = now.boot;
  if (!paused) return;
  ++pauses_;
  key_ownership_.OnPause(now.wall);
}

// --- Commands for the backend server ---

std::vector<LocalId> Executor::TakeDispatches(ClockReading now) {
  DetectPause(now);
  ExpireQueue(now);
  const std::chrono::duration<double, std::milli> elapsed =
      now.boot - prompt_debt_updated_at_;
  prompt_debt_ =
      std::max(0.0, prompt_debt_ - elapsed.count() *
                                       config_.prompt_tokens_per_millisecond);
  prompt_debt_updated_at_ = now.boot;
  std::vector<LocalId> dispatches;
  const auto can_dispatch = [&](admission::WorkId local_id) {
    return CanDispatch(*Lookup(local_id), now);
  };
  while (const auto local_id = queue_.TakeFirst(can_dispatch)) {
    WorkRecord& record = *Lookup(*local_id);
    record.phase = Phase::kRunning;
    record.started_at = now.boot;
    if (record.work.kind == WorkKind::kGeneration) {
      ++running_generations_;
      running_over_budget_ += record.IsOverBudget() ? 1 : 0;
      resident_tokens_ += record.work.prompt_tokens;
      prompt_debt_ += static_cast<double>(record.work.prompt_tokens);
      queue_.Charge(record.work.workspace,
                    static_cast<double>(record.work.prompt_tokens));
    } else {
      ++running_calls_;
    }
    if (last_dispatch_.has_value() && queue_.size() > 0) {
      const std::chrono::duration<double> interval =
          std::min<BootClock::duration>(now.boot - *last_dispatch_,
                                        kMaxDispatchInterval);
      dispatch_interval_ +=
          (interval - dispatch_interval_) * kDispatchIntervalWeight;
    }
    last_dispatch_ = now.boot;
    dispatches.push_back(*local_id);
  }
  return dispatches;
}

std::vector<std::pair<LocalId, std::uint64_t>> Executor::TakeResumes(
    ClockReading now) {
  std::vector<std::pair<LocalId, std::uint64_t>> resumes;
  std::ranges::for_each(active_, [&](LocalId local_id) {
    WorkRecord* record = Lookup(local_id);
    const bool due =
        record->phase == Phase::kBroken && record->resume_at <= now.boot;
    if (!due) return;
    record->phase = Phase::kRunning;
    resumes.emplace_back(local_id, record->log.end());
  });
  return resumes;
}

std::vector<LocalId> Executor::TakeCancellations() {
  return std::exchange(cancellations_, {});
}

// --- Events from the backend server ---

void Executor::OnTokens(LocalId local_id, std::uint64_t first,
                        std::span<const std::string> tokens, ClockReading now) {
  WorkRecord* record = Lookup(local_id);
  // What arrives in another phase is of a stream that was given up.
  if (record == nullptr || record->phase != Phase::kRunning) return;
  const std::uint64_t before = record->log.end();
  if (!record->log.Append(first, tokens)) {
    OnStreamBroken(local_id, "tokens are missing from the backend stream", now);
    return;
  }
  const auto new_tokens = static_cast<std::int64_t>(record->log.end() - before);
  if (new_tokens == 0) return;
  record->resume_attempts = 0;
  if (record->last_token_at.has_value()) {
    step_model_.OnToken(static_cast<std::int64_t>(running_generations_),
                        (now.boot - *record->last_token_at) / new_tokens);
  }
  if (!record->first_token_at.has_value()) record->first_token_at = now.boot;
  record->last_token_at = now.boot;
  resident_tokens_ += new_tokens;
  queue_.Charge(record->work.workspace, static_cast<double>(new_tokens));
  record->lengths->OnGrowth(static_cast<std::int64_t>(before),
                            static_cast<std::int64_t>(record->log.end()));
  changed_.push_back(local_id);
}

void Executor::OnCompleted(LocalId local_id, Outcome outcome,
                           ClockReading now) {
  WorkRecord* record = Lookup(local_id);
  if (record == nullptr || record->phase != Phase::kRunning) return;
  crash_tracker_.OnCompleted(record->work.fingerprint);
  const bool ended_before_limit = record->lengths != nullptr &&
                                  outcome.code == ResultCode::kOk &&
                                  static_cast<std::int64_t>(record->log.end()) <
                                      record->work.max_output_tokens;
  if (ended_before_limit) {
    record->lengths->OnEnd(static_cast<std::int64_t>(record->log.end()));
  }
  Finish(*record, std::move(outcome), now);
}

void Executor::OnNotSent(LocalId local_id, std::string reason,
                         ClockReading now) {
  WorkRecord* record = Lookup(local_id);
  if (record == nullptr || record->IsDone()) return;
  FinishNotRun(*record,
               Outcome::NotRun(ResultCode::kNoBackendServer, std::move(reason),
                               kRetryAfterRefusal),
               now);
}

void Executor::OnStreamBroken(LocalId local_id, std::string reason,
                              ClockReading now) {
  WorkRecord* record = Lookup(local_id);
  if (record == nullptr || record->phase != Phase::kRunning) return;
  if (record->work.kind == WorkKind::kCall) {
    const ResultCode code = ResultCode::kBackendServerLost;
    Finish(*record, Outcome::Unknown(code, std::move(reason)), now);
    return;
  }
  if (++record->resume_attempts > config_.max_resume_attempts) {
    // The engine may be running it still.
    cancellations_.push_back(local_id);
    Finish(*record,
           Outcome::Unknown(ResultCode::kBackendServerLost, std::move(reason)),
           now);
    return;
  }
  record->phase = Phase::kBroken;
  record->resume_at = now.boot + config_.resume_delay;
}

void Executor::OnResumeFailed(LocalId local_id, ClockReading now) {
  WorkRecord* record = Lookup(local_id);
  if (record == nullptr || record->IsDone()) return;
  // A crash breaks all streams of a backend server at once. Generations whose
  // stream is broken or is being resumed were therefore running at the crash.
  std::vector<LocalId> crashed;
  std::vector<std::uint64_t> fingerprints;
  std::ranges::for_each(active_, [&](LocalId other) {
    const WorkRecord* candidate = Lookup(other);
    const bool broken =
        candidate->phase == Phase::kBroken ||
        (candidate->phase == Phase::kRunning && candidate->resume_attempts > 0);
    if (!broken) return;
    crashed.push_back(other);
    fingerprints.push_back(candidate->work.fingerprint);
  });
  crash_tracker_.OnCrash(fingerprints, now.boot);
  std::ranges::for_each(crashed, [&](LocalId other) {
    Lookup(other)->is_suspected = !Lookup(other)->IsHarmless();
    Finish(*Lookup(other),
           Outcome::Unknown(
               ResultCode::kBackendServerLost,
               "the backend server of sidecar " + config_.vm + " crashed"),
           now);
  });
}

// --- Time and membership ---

void Executor::Tick(ClockReading now) {
  DetectPause(now);
  ExpireQueue(now);
  ExpireRunning(now);
  DropExpiredRecords(now);
  crash_tracker_.DropExpired(now.boot);
}

void Executor::ExpireQueue(ClockReading now) {
  std::vector<LocalId> expired;
  std::ranges::copy_if(active_, std::back_inserter(expired),
                       [&](LocalId local_id) {
                         const WorkRecord* record = Find(local_id);
                         return record->phase == Phase::kQueued &&
                                record->queue_deadline <= now.boot;
                       });
  std::ranges::for_each(expired, [&](LocalId local_id) {
    const milliseconds wait = ExpectedWait(queue_.size());
    FinishNotRun(
        *Lookup(local_id),
        Outcome::NotRun(ResultCode::kDeadlineInQueue,
                        "the queue deadline expired at sidecar " + config_.vm,
                        RetryAfter(wait)),
        now);
  });
}

void Executor::ExpireRunning(ClockReading now) {
  const std::vector<LocalId> active(active_.begin(), active_.end());
  std::ranges::for_each(active, [&](LocalId local_id) {
    WorkRecord& record = *Lookup(local_id);
    if (record.abandon_at.has_value() && *record.abandon_at <= now.boot) {
      Cancel(local_id, now);
      return;
    }
    if (record.phase == Phase::kQueued) return;
    if (record.started_at + record.work.run_deadline > now.boot) return;
    const std::string detail = "the run deadline expired";
    cancellations_.push_back(local_id);
    Finish(record,
           record.work.kind == WorkKind::kCall
               ? Outcome::Unknown(ResultCode::kDeadlineWhileRunning, detail)
               : Outcome::Ran(ResultCode::kDeadlineWhileRunning, detail),
           now);
  });
}

void Executor::BeginDrain(ClockReading now) {
  if (draining_) return;
  draining_ = true;
  key_ownership_.RelinquishKeys();
  const std::vector<LocalId> active(active_.begin(), active_.end());
  std::ranges::for_each(active, [&](LocalId local_id) {
    WorkRecord& record = *Lookup(local_id);
    if (record.phase != Phase::kQueued) return;
    FinishNotRun(record,
                 Outcome::NotRun(ResultCode::kDraining,
                                 "sidecar " + config_.vm + " is draining",
                                 kMinRetryAfter),
                 now);
  });
}

std::size_t Executor::AbandonAll(ClockReading now) {
  const std::vector<LocalId> active(active_.begin(), active_.end());
  std::ranges::for_each(active, [&](LocalId local_id) {
    cancellations_.push_back(local_id);
    Finish(*Lookup(local_id),
           Outcome::Unknown(
               ResultCode::kStopDeadline,
               "sidecar " + config_.vm + " stopped at its stop deadline"),
           now);
  });
  return active.size();
}

bool Executor::IsIdle() const { return active_.empty(); }

std::vector<LocalId> Executor::TakeChanged() {
  auto changed = std::exchange(changed_, {});
  std::ranges::sort(changed);
  const auto repeats = std::ranges::unique(changed);
  changed.erase(repeats.begin(), repeats.end());
  return changed;
}

// --- Private helpers ---

void Executor::Finish(WorkRecord& record, Outcome outcome, ClockReading now) {
  if (record.HoldsMemory()) {
    --running_generations_;
    running_over_budget_ -= record.IsOverBudget() ? 1 : 0;
    if (!record.IsOverBudget()) last_within_budget_ = now.boot;
    resident_tokens_ -=
        record.work.prompt_tokens + static_cast<std::int64_t>(record.log.end());
  } else if (record.phase == Phase::kRunning) {
    --running_calls_;
  } else if (record.phase == Phase::kQueued) {
    queue_.Remove(record.work.workspace, record.local_id);
  }
  outcome.total_tokens = record.log.end();
  record.phase = Phase::kDone;
  record.outcome = std::move(outcome);
  record.done_at = now.boot;
  retained_bytes_ += record.log.bytes() + record.outcome->body.size();
  // The body is not needed any more, only the identity of the request.
  record.work.body = {};
  active_.erase(record.local_id);
  changed_.push_back(record.local_id);
}

void Executor::FinishNotRun(WorkRecord& record, Outcome outcome,
                            ClockReading now) {
  if (record.work.key.has_value()) {
    KeyState& key = keys_[{record.work.workspace, record.work.key->text}];
    key.not_run_at = now.wall;
  }
  if (const auto id = generation::GenerationId::Parse(record.work.ticket)) {
    const auto ticket = tickets_.find(id->local_id);
    if (ticket != tickets_.end()) ticket->second.local_id.reset();
  }
  Finish(record, std::move(outcome), now);
}

bool Executor::IsRetentionOver(const WorkRecord& record,
                               ClockReading now) const {
  const bool is_keyed =
      record.work.key.has_value() || !record.work.ticket.empty();
  const milliseconds retention =
      is_keyed ? config_.keys.key_lifetime + 2 * config_.keys.clock_error
               : config_.reader_grace;
  return record.done_at + retention <= now.boot;
}

void Executor::DropExpiredRecords(ClockReading now) {
  std::erase_if(records_, [&](const auto& entry) {
    const WorkRecord& record = entry.second;
    if (!record.IsDone() || record.readers > 0) return false;
    const bool over_retention_limit =
        retained_bytes_ > config_.max_retained_bytes && record.work.idempotent;
    if (!over_retention_limit && !IsRetentionOver(record, now)) return false;
    retained_bytes_ -= record.log.bytes() + record.outcome->body.size();
    return true;
  });
  const milliseconds retention =
      config_.keys.key_lifetime + 2 * config_.keys.clock_error;
  std::erase_if(keys_, [&](const auto& entry) {
    return entry.second.last_use + retention <= now.wall &&
           !records_.contains(entry.second.local_id);
  });
  std::erase_if(tickets_, [&](const auto& entry) {
    const Ticket& ticket = entry.second;
    return ticket.issued + retention <= now.wall &&
           (!ticket.local_id.has_value() ||
            !records_.contains(*ticket.local_id));
  });
}

}  // namespace balsam::execution
