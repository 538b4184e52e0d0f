// The sidecar's decisions as one aggregate without I/O, threads or clocks: it
// takes work on, decides what runs when, keeps each generation's tokens and
// outcome, and answers every repeat of a request from what it knows. Time is
// an argument of each call.
//
// A record's phase changes to kRunning in the same call that hands it out for
// dispatch, and to kDone with "not run" only from kQueued. So "not run" and
// "dispatched" exclude each other.
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
#include "libraries/admission/step_model.h"
#include "libraries/execution/generation_record.h"
#include "libraries/execution/key_authority.h"
#include "libraries/execution/suspicion_table.h"
#include "libraries/generation/generation_id.h"

namespace balsam::execution {

struct ExecutorConfig {
  std::string vm;
  std::string service;
  std::uint64_t incarnation = 0;
  admission::MemoryLimits memory;
  std::int64_t max_running_generations = 256;
  // Share of memory that work which nobody reads live leaves free for work that
  // somebody does.
  double live_headroom = 0.06;
  // Prompt tokens that are handed to the engine at once, and a millisecond, so
  // that many prompts do not fall into one of its steps. Zero turns it off.
  std::int64_t prompt_burst_tokens = 512;
  double prompt_tokens_per_millisecond = 40.0;
  std::int64_t max_running_calls = 64;
  // By how much work over budget may lengthen the time between the tokens of
  // work within budget, and after how long without any such work it need not
  // care.
  double over_budget_growth = 0.05;
  std::chrono::milliseconds within_budget_memory{5000};
  // How long an answer that nobody collected is kept, and how long a
  // generation runs on without a reader.
  std::chrono::milliseconds reader_grace{30000};
  // How long a generation runs on after its reader left on purpose.
  std::chrono::milliseconds leave_grace{2000};
  std::size_t max_retained_bytes = 32U << 20;
  std::chrono::milliseconds suspicion_lifetime{600000};
  int max_resume_attempts = 3;
  std::chrono::milliseconds resume_delay{100};
  KeyAuthority::Config keys;
  // An interval without any call longer than this means that the process was
  // stopped meanwhile; `Tick` must be called more often.
  std::chrono::milliseconds pause_limit{500};
};

// First-hand load, sent to entries with each answer.
struct LoadReport {
  std::int64_t capacity_tokens = 0;
  std::int64_t resident_tokens = 0;
  // Expected peak occupancy of running and waiting work over capacity.
  double peak_load = 0.0;
  std::int64_t running = 0;
  std::int64_t queued = 0;
  // How long work that is queued now is expected to wait.
  std::chrono::milliseconds expected_wait{0};
  bool draining = false;
  std::uint64_t list_revision = 0;

  bool operator==(const LoadReport&) const = default;
};

// The request was taken on, or its key, or its ticket, names work that was
// taken on before.
struct Accepted {
  Counter counter = 0;
  bool joined = false;
};

using Submission = std::variant<Accepted, Outcome>;

// Why admission takes a generation now or lets it wait.
enum class AdmissionPolicy {
  // By the forecast of memory.
  kForecast,
  // By the forecast, with `max_output_tokens` taken for the length: a bound for
  // experiments in which lengths are known.
  kKnownLengths,
  // While the tokens that are resident now fit.
  kResidentOnly,
  // At once; the engine's own queue orders the work.
  kImmediate,
};

class Executor {
 public:
  explicit Executor(ExecutorConfig config, Moment now,
                    AdmissionPolicy policy = AdmissionPolicy::kForecast);

  // --- Requests ---
  Submission Submit(Work work, Moment now);
  // Issues a ticket: a call that carries it can run here only.
  std::string IssueTicket(const std::string& workspace, Moment now);
  // Ends work that its caller gave up. From kQueued the outcome is a proven
  // "not run"; a running generation is cancelled at the backend server; a
  // running call goes on.
  void Cancel(Counter counter, Moment now);
  // Null unless `id` is of this incarnation and belongs to `workspace`.
  const GenerationRecord* Find(const generation::GenerationId& id,
                               const std::string& workspace) const;
  const GenerationRecord* Find(Counter counter) const;
  void AttachReader(Counter counter);
  void DetachReader(Counter counter, Moment now);
  // The reader left on purpose: the generation ends soon unless one comes.
  void OnReaderLeft(Counter counter, Moment now);
  generation::GenerationId IdOf(Counter counter) const;
  std::uint64_t incarnation() const { return config_.incarnation; }

  // --- Towards the backend server ---
  // The work to dispatch now, in order. Each is kRunning on return.
  std::vector<Counter> TakeDispatches(Moment now);
  // Streams to ask the backend server to continue, with the first sequence
  // number that is missing.
  std::vector<std::pair<Counter, std::uint64_t>> TakeResumes(Moment now);
  // Streams to cancel at the backend server.
  std::vector<Counter> TakeCancellations();

  // --- From the backend server ---
  void OnTokens(Counter counter, std::uint64_t first,
                std::span<const std::string> tokens, Moment now);
  void OnCompleted(Counter counter, Outcome outcome, Moment now);
  // The adapter proved that no byte of the request left.
  void OnNotSent(Counter counter, std::string reason, Moment now);
  void OnStreamBroken(Counter counter, std::string reason, Moment now);
  // The backend server does not know the stream any more: it crashed.
  void OnResumeFailed(Counter counter, Moment now);

  // --- Time and membership ---
  // To be called several times within the pause limit.
  void Tick(Moment now);
  // Pauses of this process that were noticed.
  std::uint64_t pauses() const { return pauses_; }
  // Takes no new work from now on; what waits is handed back as "not run".
  void BeginDrain(Moment now);
  // Ends everything that is left, at the stop deadline. Returns how many.
  std::size_t AbandonAll(Moment now);
  bool draining() const { return draining_; }
  bool IsIdle() const;

  // Records that gained tokens or an outcome since the last call.
  std::vector<Counter> TakeChanged();

  LoadReport Load(Moment now) const;
  std::int64_t resident_tokens() const { return resident_tokens_; }
  KeyAuthority& authority() { return authority_; }
  SuspicionTable& suspicions() { return suspicions_; }
  const admission::FairQueue& queue() const { return queue_; }

 private:
  struct KeyEntry {
    Counter counter = 0;
    std::uint64_t fingerprint = 0;
    // Once the key was answered "not run", copies that an entry received
    // before this time stay not run.
    std::optional<WallTime> not_run_at;
    WallTime last_use;
  };
  struct Ticket {
    std::string workspace;
    std::optional<Counter> counter;
    WallTime issued;
  };
  using KeyName = std::pair<std::string, std::string>;

  // Checks anew what this process believes if it was stopped for long.
  void NoticePause(Moment now);
  std::optional<Submission> AnswerFromTicket(const Work& work);
  std::optional<Submission> AnswerFromKey(const Work& work, Moment now);
  std::optional<Outcome> RefuseByAuthority(const Work& work, Moment now);
  std::optional<Outcome> RefuseByLoad(const Work& work, Moment now);
  Accepted TakeOn(Work work, Moment now);

  GenerationRecord* Get(Counter counter);
  bool FitsNow(const GenerationRecord& record, Moment now) const;
  // Whether one more generation over budget leaves the others their pace.
  bool LeavesOthersTheirPace(const GenerationRecord& record, Moment now) const;
  void Finish(GenerationRecord& record, Outcome outcome, Moment now);
  void FinishNotRun(GenerationRecord& record, Outcome outcome, Moment now);
  void ExpireQueue(Moment now);
  void ExpireRunning(Moment now);
  void DropOldRecords(Moment now);
  bool MayDrop(const GenerationRecord& record, Moment now) const;
  admission::LengthModel& LengthsOf(const Work& work);
  std::chrono::milliseconds ExpectedWait(std::size_t ahead) const;
  std::vector<admission::ResidentGeneration> Resident() const;
  admission::ResidentGeneration ResidentOf(
      const GenerationRecord& record) const;

  ExecutorConfig config_;
  AdmissionPolicy policy_;
  KeyAuthority authority_;
  SuspicionTable suspicions_;
  admission::FairQueue queue_;
  bool draining_ = false;
  Counter next_counter_ = 1;

  std::map<Counter, GenerationRecord> records_;
  // Records that are not done, so that work per event does not grow with what
  // is merely kept.
  std::set<Counter> active_;
  std::map<KeyName, KeyEntry> keys_;
  std::map<Counter, Ticket> tickets_;
  // Workspace, template and model -> lengths; and template and model alone,
  // from which the former inherit. Pointers into the maps stay valid.
  std::map<std::string, admission::LengthModel> lengths_;

  std::vector<Counter> cancellations_;
  std::vector<Counter> changed_;
  std::int64_t resident_tokens_ = 0;
  std::size_t running_generations_ = 0;
  std::size_t running_calls_ = 0;
  std::size_t running_over_budget_ = 0;
  // When work within budget was last taken on or ended.
  std::optional<BootTime> within_budget_seen_;
  admission::StepTimeModel steps_;
  // Prompt tokens handed out and not yet worked off at the pace, at
  // `paced_at_`.
  double prompt_debt_ = 0.0;
  BootTime paced_at_;
  std::size_t retained_bytes_ = 0;
  // Mean time between dispatches while work waited; zero until known.
  std::chrono::duration<double> dispatch_interval_{0};
  std::optional<BootTime> last_dispatch_;
  BootTime last_call_;
  std::uint64_t pauses_ = 0;
};

}  // namespace balsam::execution
