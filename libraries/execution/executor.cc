// The state changes of work in a sidecar, from dispatch to the end. What peers
// ask for is in executor_requests.cc; what may run now is judged in
// executor_admission.cc.
#include "libraries/execution/executor.h"

#include <algorithm>

#include "libraries/execution/retry_after.h"

namespace balsam::execution {
namespace {

using std::chrono::milliseconds;

// Weight of the newest interval in the mean of dispatch intervals.
constexpr double kIntervalWeight = 0.1;
// An interval longer than this says that nothing waited, not that dispatching
// is slow.
constexpr std::chrono::seconds kLongestInterval{10};

}  // namespace

Executor::Executor(ExecutorConfig config, Moment now, AdmissionPolicy policy)
    : config_(std::move(config)),
      policy_(policy),
      authority_(config_.keys, now.wall),
      suspicions_(config_.suspicion_lifetime),
      last_call_(now.boot) {}

void Executor::NoticePause(Moment now) {
  const bool paused = now.boot - last_call_ > config_.pause_limit;
  last_call_ = now.boot;
  if (!paused) return;
  ++pauses_;
  authority_.OnPause(now.wall);
}

// --- Towards the backend server ---

std::vector<Counter> Executor::TakeDispatches(Moment now) {
  NoticePause(now);
  ExpireQueue(now);
  const std::chrono::duration<double, std::milli> passed = now.boot - paced_at_;
  prompt_debt_ =
      std::max(0.0, prompt_debt_ -
                        passed.count() * config_.prompt_tokens_per_millisecond);
  paced_at_ = now.boot;
  std::vector<Counter> dispatches;
  const auto fits = [&](admission::WorkId counter) {
    return FitsNow(*Get(counter), now);
  };
  while (const auto counter = queue_.TakeFirst(fits)) {
    GenerationRecord& record = *Get(*counter);
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
                                        kLongestInterval);
      dispatch_interval_ += (interval - dispatch_interval_) * kIntervalWeight;
    }
    last_dispatch_ = now.boot;
    dispatches.push_back(*counter);
  }
  return dispatches;
}

std::vector<std::pair<Counter, std::uint64_t>> Executor::TakeResumes(
    Moment now) {
  std::vector<std::pair<Counter, std::uint64_t>> resumes;
  std::ranges::for_each(active_, [&](Counter counter) {
    GenerationRecord* record = Get(counter);
    const bool due =
        record->phase == Phase::kBroken && record->resume_at <= now.boot;
    if (!due) return;
    record->phase = Phase::kRunning;
    resumes.emplace_back(counter, record->log.end());
  });
  return resumes;
}

std::vector<Counter> Executor::TakeCancellations() {
  return std::exchange(cancellations_, {});
}

// --- From the backend server ---

void Executor::OnTokens(Counter counter, std::uint64_t first,
                        std::span<const std::string> tokens, Moment now) {
  GenerationRecord* record = Get(counter);
  if (record == nullptr || record->IsDone()) return;
  const std::uint64_t before = record->log.end();
  if (!record->log.Append(first, tokens)) {
    OnStreamBroken(counter, "the stream skipped tokens", now);
    return;
  }
  const auto grown = static_cast<std::int64_t>(record->log.end() - before);
  if (grown == 0) return;
  record->resume_attempts = 0;
  if (record->grown_at.has_value()) {
    steps_.OnToken(static_cast<std::int64_t>(running_generations_),
                   (now.boot - *record->grown_at) / grown);
  }
  record->grown_at = now.boot;
  resident_tokens_ += grown;
  queue_.Charge(record->work.workspace, static_cast<double>(grown));
  record->lengths->OnGrowth(static_cast<std::int64_t>(before),
                            static_cast<std::int64_t>(record->log.end()));
  changed_.push_back(counter);
}

void Executor::OnCompleted(Counter counter, Outcome outcome, Moment now) {
  GenerationRecord* record = Get(counter);
  if (record == nullptr || record->IsDone()) return;
  suspicions_.OnCompleted(record->work.fingerprint);
  const bool natural_end = record->lengths != nullptr &&
                           outcome.code == ResultCode::kOk &&
                           static_cast<std::int64_t>(record->log.end()) <
                               record->work.max_output_tokens;
  if (natural_end) {
    record->lengths->OnEnd(static_cast<std::int64_t>(record->log.end()));
  }
  Finish(*record, std::move(outcome), now);
}

void Executor::OnNotSent(Counter counter, std::string reason, Moment now) {
  GenerationRecord* record = Get(counter);
  if (record == nullptr || record->IsDone()) return;
  FinishNotRun(*record,
               Outcome::NotRun(ResultCode::kNoBackendServer, std::move(reason),
                               kRetryAfterRefusal),
               now);
}

void Executor::OnStreamBroken(Counter counter, std::string reason, Moment now) {
  GenerationRecord* record = Get(counter);
  if (record == nullptr || record->phase != Phase::kRunning) return;
  if (record->work.kind == WorkKind::kCall) {
    const ResultCode code = ResultCode::kBackendServerLost;
    Finish(*record, Outcome::Unknown(code, std::move(reason)), now);
    return;
  }
  if (++record->resume_attempts > config_.max_resume_attempts) {
    Finish(*record,
           Outcome::Unknown(ResultCode::kBackendServerLost, std::move(reason)),
           now);
    return;
  }
  record->phase = Phase::kBroken;
  record->resume_at = now.boot + config_.resume_delay;
}

void Executor::OnResumeFailed(Counter counter, Moment now) {
  GenerationRecord* record = Get(counter);
  if (record == nullptr || record->IsDone()) return;
  // All streams of a backend server break together, so those that are broken,
  // or were and are being resumed, were running when it crashed.
  std::vector<Counter> crashed;
  std::vector<std::uint64_t> fingerprints;
  std::ranges::for_each(active_, [&](Counter other) {
    const GenerationRecord* candidate = Get(other);
    const bool broken =
        candidate->phase == Phase::kBroken ||
        (candidate->phase == Phase::kRunning && candidate->resume_attempts > 0);
    if (!broken) return;
    crashed.push_back(other);
    fingerprints.push_back(candidate->work.fingerprint);
  });
  suspicions_.OnCrash(fingerprints, now.boot);
  std::ranges::for_each(crashed, [&](Counter other) {
    Finish(*Get(other),
           Outcome::Unknown(
               ResultCode::kBackendServerLost,
               "the backend server beside sidecar " + config_.vm + " crashed"),
           now);
  });
}

// --- Time and membership ---

void Executor::Tick(Moment now) {
  NoticePause(now);
  ExpireQueue(now);
  ExpireRunning(now);
  DropOldRecords(now);
  suspicions_.DropExpired(now.boot);
}

void Executor::ExpireQueue(Moment now) {
  std::vector<Counter> expired;
  std::ranges::copy_if(active_, std::back_inserter(expired),
                       [&](Counter counter) {
                         const GenerationRecord* record = Find(counter);
                         return record->phase == Phase::kQueued &&
                                record->queue_deadline <= now.boot;
                       });
  std::ranges::for_each(expired, [&](Counter counter) {
    const milliseconds wait = ExpectedWait(queue_.size());
    FinishNotRun(
        *Get(counter),
        Outcome::NotRun(ResultCode::kDeadlineInQueue,
                        "the queue deadline passed at sidecar " + config_.vm,
                        RetryAfter(wait)),
        now);
  });
}

void Executor::ExpireRunning(Moment now) {
  const std::vector<Counter> active(active_.begin(), active_.end());
  std::ranges::for_each(active, [&](Counter counter) {
    GenerationRecord& record = *Get(counter);
    if (record.abandon_at.has_value() && *record.abandon_at <= now.boot) {
      Cancel(counter, now);
      return;
    }
    if (record.phase == Phase::kQueued) return;
    if (record.started_at + record.work.run_deadline > now.boot) return;
    const std::string detail = "the run deadline passed";
    cancellations_.push_back(counter);
    Finish(record,
           record.work.kind == WorkKind::kCall
               ? Outcome::Unknown(ResultCode::kDeadlineWhileRunning, detail)
               : Outcome::Ran(ResultCode::kDeadlineWhileRunning, detail),
           now);
  });
}

void Executor::BeginDrain(Moment now) {
  if (draining_) return;
  draining_ = true;
  authority_.Seal();
  const std::vector<Counter> active(active_.begin(), active_.end());
  std::ranges::for_each(active, [&](Counter counter) {
    GenerationRecord& record = *Get(counter);
    if (record.phase != Phase::kQueued) return;
    FinishNotRun(record,
                 Outcome::NotRun(ResultCode::kDraining,
                                 "sidecar " + config_.vm + " is draining",
                                 kMinRetryAfter),
                 now);
  });
}

std::size_t Executor::AbandonAll(Moment now) {
  const std::vector<Counter> active(active_.begin(), active_.end());
  std::ranges::for_each(active, [&](Counter counter) {
    cancellations_.push_back(counter);
    Finish(*Get(counter),
           Outcome::Unknown(
               ResultCode::kStopDeadline,
               "sidecar " + config_.vm + " reached its stop deadline"),
           now);
  });
  return active.size();
}

bool Executor::IsIdle() const { return active_.empty(); }

std::vector<Counter> Executor::TakeChanged() {
  auto changed = std::exchange(changed_, {});
  std::ranges::sort(changed);
  const auto repeats = std::ranges::unique(changed);
  changed.erase(repeats.begin(), repeats.end());
  return changed;
}

// --- Private helpers ---

void Executor::Finish(GenerationRecord& record, Outcome outcome, Moment now) {
  if (record.HoldsMemory()) {
    --running_generations_;
    running_over_budget_ -= record.IsOverBudget() ? 1 : 0;
    if (!record.IsOverBudget()) within_budget_seen_ = now.boot;
    resident_tokens_ -=
        record.work.prompt_tokens + static_cast<std::int64_t>(record.log.end());
  } else if (record.phase == Phase::kRunning) {
    --running_calls_;
  } else if (record.phase == Phase::kQueued) {
    queue_.Remove(record.work.workspace, record.counter);
  }
  outcome.total_tokens = record.log.end();
  record.phase = Phase::kDone;
  record.outcome = std::move(outcome);
  record.done_at = now.boot;
  retained_bytes_ += record.log.bytes() + record.outcome->body.size();
  // The request itself is needed no more; only its identity is.
  record.work.body = {};
  active_.erase(record.counter);
  changed_.push_back(record.counter);
}

void Executor::FinishNotRun(GenerationRecord& record, Outcome outcome,
                            Moment now) {
  if (record.work.key.has_value()) {
    KeyEntry& entry = keys_[{record.work.workspace, record.work.key->text}];
    entry.not_run_at = now.wall;
  }
  if (const auto id = generation::GenerationId::Parse(record.work.ticket)) {
    const auto ticket = tickets_.find(id->counter);
    if (ticket != tickets_.end()) ticket->second.counter.reset();
  }
  Finish(record, std::move(outcome), now);
}

bool Executor::MayDrop(const GenerationRecord& record, Moment now) const {
  const bool bound = record.work.key.has_value() || !record.work.ticket.empty();
  const milliseconds keep =
      bound ? config_.keys.key_lifetime + 2 * config_.keys.clock_error
            : config_.reader_grace;
  return record.done_at + keep <= now.boot;
}

void Executor::DropOldRecords(Moment now) {
  std::erase_if(records_, [&](const auto& entry) {
    const GenerationRecord& record = entry.second;
    if (!record.IsDone() || record.readers > 0) return false;
    const bool crowded =
        retained_bytes_ > config_.max_retained_bytes && record.work.idempotent;
    if (!crowded && !MayDrop(record, now)) return false;
    retained_bytes_ -= record.log.bytes() + record.outcome->body.size();
    return true;
  });
  const milliseconds keep =
      config_.keys.key_lifetime + 2 * config_.keys.clock_error;
  std::erase_if(keys_, [&](const auto& entry) {
    return entry.second.last_use + keep <= now.wall &&
           !records_.contains(entry.second.counter);
  });
  std::erase_if(tickets_, [&](const auto& entry) {
    const Ticket& ticket = entry.second;
    return ticket.issued + keep <= now.wall &&
           (!ticket.counter.has_value() || !records_.contains(*ticket.counter));
  });
}

}  // namespace balsam::execution
