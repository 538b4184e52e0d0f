// The sidecar's request state machine, without I/O, threads or clocks: accepts
// work items, decides when each is dispatched, stores every generation's tokens
// and outcome, and answers repeated requests from the stored state. Time is an
// argument of each call.
//
// A record changes to kRunning in the same call that returns it for dispatch,
// and to kDone with "not run" only from kQueued. A request that was dispatched
// is therefore never reported as "not run".
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "libraries/admission/fair_queue.h"
#include "libraries/admission/memory_forecast.h"
#include "libraries/admission/step_time_model.h"
#include "libraries/execution/crash_tracker.h"
#include "libraries/execution/key_ownership.h"
#include "libraries/execution/work_record.h"
#include "libraries/generation/generation_id.h"

namespace balsam::execution {

struct ExecutorConfig {
  std::string vm;
  std::string service;
  std::uint64_t incarnation = 0;
  admission::MemoryLimits memory;
  std::int64_t max_running_generations = 256;
  // Share of the engine's memory that generations which are delivered whole
  // leave free for generations which are streamed live.
  double live_memory_headroom = 0.06;
  // Token bucket for prompts: its burst, and its refill per millisecond. Keeps
  // many prompts from falling into one step of the engine. A burst of zero
  // disables it.
  std::int64_t prompt_burst_tokens = 512;
  double prompt_tokens_per_millisecond = 40.0;
  std::int64_t max_running_calls = 64;
  // The share by which generations over budget may lengthen the time between
  // tokens of generations within budget. The limit is lifted once no work
  // within budget was seen for `within_budget_window`.
  double max_over_budget_slowdown = 0.05;
  std::chrono::milliseconds within_budget_window{5000};
  // How long the result of a request without a key or a ticket is kept, and how
  // long a generation without a reader continues to run.
  std::chrono::milliseconds reader_grace{30000};
  // How long a generation continues to run after its reader cancelled the
  // stream.
  std::chrono::milliseconds reader_left_grace{2000};
  std::size_t max_retained_bytes = 32U << 20;
  std::chrono::milliseconds suspicion_lifetime{600000};
  int max_resume_attempts = 3;
  std::chrono::milliseconds resume_delay{100};
  KeyOwnership::Config keys;
  // A longer interval between two calls means that the process was suspended
  // in between; `Tick` must be called more often than this.
  std::chrono::milliseconds pause_limit{500};
};

// The sidecar's current load, sent to entries with each reply.
struct LoadReport {
  std::int64_t capacity_tokens = 0;
  std::int64_t resident_tokens = 0;
  // Expected peak memory use of running and queued generations, as a share of
  // the capacity.
  double peak_load = 0.0;
  std::int64_t running = 0;
  std::int64_t queued = 0;
  // Expected queueing time of a request that is queued now.
  std::chrono::milliseconds expected_wait{0};
  bool draining = false;
  std::uint64_t list_revision = 0;

  bool operator==(const LoadReport&) const = default;
};

// The request was accepted, or its key or ticket names a request that was
// accepted before.
struct Accepted {
  LocalId local_id = 0;
  bool is_duplicate = false;
};

using SubmitResult = std::variant<Accepted, Outcome>;

// The rule by which a queued generation is dispatched.
enum class AdmissionPolicy {
  // The memory forecast stays within the accepted risk.
  kForecast,
  // Like kForecast, but uses `max_output_tokens` as the exact length. An upper
  // bound for experiments with known lengths.
  kKnownLengths,
  // The tokens resident now and the prompt fit into memory.
  kResidentOnly,
  // Immediately; the engine's own queue orders the requests.
  kImmediate,
};

class Executor {
 public:
  explicit Executor(ExecutorConfig config, ClockReading now,
                    AdmissionPolicy policy = AdmissionPolicy::kForecast);

  // --- Requests ---
  SubmitResult Submit(WorkItem work, ClockReading now);
  // Issues a ticket. A call that carries it can run in this incarnation only.
  std::string IssueTicket(const std::string& workspace, ClockReading now);
  // Ends a request whose caller cancelled it. A queued request ends as "not
  // run", a running generation is cancelled at the backend server, and a
  // running call continues.
  void Cancel(LocalId local_id, ClockReading now);
  // Null unless `id` is of this incarnation and belongs to `workspace`.
  const WorkRecord* Find(const generation::GenerationId& id,
                         const std::string& workspace) const;
  const WorkRecord* Find(LocalId local_id) const;
  void AttachReader(LocalId local_id);
  void DetachReader(LocalId local_id, ClockReading now);
  // The reader cancelled the stream: the generation is cancelled after
  // `reader_left_grace` unless a reader attaches.
  void OnReaderLeft(LocalId local_id, ClockReading now);
  generation::GenerationId IdOf(LocalId local_id) const;
  std::uint64_t incarnation() const { return config_.incarnation; }

  // --- Commands for the backend server ---
  // The records to dispatch now, in order. Each is kRunning on return.
  std::vector<LocalId> TakeDispatches(ClockReading now);
  // Streams to resume at the backend server, with the sequence number of the
  // first missing token.
  std::vector<std::pair<LocalId, std::uint64_t>> TakeResumes(ClockReading now);
  // Streams to cancel at the backend server.
  std::vector<LocalId> TakeCancellations();

  // --- Events from the backend server ---
  void OnTokens(LocalId local_id, std::uint64_t first,
                std::span<const std::string> tokens, ClockReading now);
  void OnCompleted(LocalId local_id, Outcome outcome, ClockReading now);
  // No byte of the request was sent to the backend server.
  void OnNotSent(LocalId local_id, std::string reason, ClockReading now);
  void OnStreamBroken(LocalId local_id, std::string reason, ClockReading now);
  // The backend server does not know the stream, which means that it crashed.
  void OnResumeFailed(LocalId local_id, ClockReading now);

  // --- Time and membership ---
  // Expires deadlines and old records. Must be called several times within
  // `pause_limit`.
  void Tick(ClockReading now);
  // Number of detected suspensions of this process.
  std::uint64_t pauses() const { return pauses_; }
  // Stops accepting requests and ends the queued ones as "not run".
  void BeginDrain(ClockReading now);
  // Ends all remaining requests at the stop deadline. Returns their number.
  std::size_t AbandonAll(ClockReading now);
  bool draining() const { return draining_; }
  bool IsIdle() const;

  // Records that received tokens or an outcome since the last call.
  std::vector<LocalId> TakeChanged();

  LoadReport Load(ClockReading now) const;
  std::int64_t resident_tokens() const { return resident_tokens_; }
  KeyOwnership& key_ownership() { return key_ownership_; }
  CrashTracker& crash_tracker() { return crash_tracker_; }
  const admission::FairQueue& queue() const { return queue_; }

 private:
  struct KeyState {
    LocalId local_id = 0;
    std::uint64_t fingerprint = 0;
    // When the key was last answered "not run". Copies of the request that an
    // entry received before this time must not run.
    std::optional<WallTime> not_run_at;
    WallTime last_use;
  };
  struct Ticket {
    std::string workspace;
    std::optional<LocalId> local_id;
    WallTime issued;
  };
  using KeyId = std::pair<std::string, std::string>;

  // Invalidates the key ownership if the process was suspended for longer than
  // `pause_limit`.
  void DetectPause(ClockReading now);
  std::optional<SubmitResult> ResultForTicket(const WorkItem& work);
  std::optional<SubmitResult> ResultForKey(const WorkItem& work,
                                           ClockReading now);
  std::optional<Outcome> CheckKeyOwnership(const WorkItem& work,
                                           ClockReading now);
  std::optional<Outcome> CheckLimits(const WorkItem& work, ClockReading now);
  Accepted Enqueue(WorkItem work, ClockReading now);

  WorkRecord* Lookup(LocalId local_id);
  bool CanDispatch(const WorkRecord& record, ClockReading now) const;
  // Whether the time between tokens of work within budget stays within
  // `max_over_budget_slowdown` if this generation over budget is dispatched.
  bool KeepsOthersTokenRate(const WorkRecord& record, ClockReading now) const;
  void Finish(WorkRecord& record, Outcome outcome, ClockReading now);
  void FinishNotRun(WorkRecord& record, Outcome outcome, ClockReading now);
  void ExpireQueue(ClockReading now);
  void ExpireRunning(ClockReading now);
  void DropExpiredRecords(ClockReading now);
  bool IsRetentionOver(const WorkRecord& record, ClockReading now) const;
  admission::LengthModel& LengthModelOf(const WorkItem& work);
  std::chrono::milliseconds ExpectedWait(std::size_t ahead) const;
  std::vector<admission::ResidentGeneration> ResidentGenerations() const;
  admission::ResidentGeneration AsResident(const WorkRecord& record) const;

  ExecutorConfig config_;
  AdmissionPolicy policy_;
  KeyOwnership key_ownership_;
  CrashTracker crash_tracker_;
  admission::FairQueue queue_;
  bool draining_ = false;
  LocalId next_local_id_ = 1;

  std::map<LocalId, WorkRecord> records_;
  // Records that are not done. Keeps the cost of each event independent of the
  // number of retained records.
  std::set<LocalId> active_;
  std::map<KeyId, KeyState> keys_;
  std::map<LocalId, Ticket> tickets_;
  // Keyed by template, model and workspace. Records point into the map, whose
  // elements stay in place.
  std::map<std::string, admission::LengthModel> length_models_;

  std::vector<LocalId> cancellations_;
  std::vector<LocalId> changed_;
  std::int64_t resident_tokens_ = 0;
  std::size_t running_generations_ = 0;
  std::size_t running_calls_ = 0;
  std::size_t running_over_budget_ = 0;
  // When work within budget was last accepted or ended.
  std::optional<BootTime> last_within_budget_;
  admission::StepTimeModel step_model_;
  // Prompt tokens dispatched beyond the refill of the token bucket, as of
  // `prompt_debt_updated_at_`.
  double prompt_debt_ = 0.0;
  BootTime prompt_debt_updated_at_;
  std::size_t retained_bytes_ = 0;
  // Mean time between dispatches while requests were queued; zero until known.
  std::chrono::duration<double> dispatch_interval_{0};
  std::optional<BootTime> last_dispatch_;
  BootTime last_call_;
  std::uint64_t pauses_ = 0;
};

}  // namespace balsam::execution
