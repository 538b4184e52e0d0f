// State shared by the threads of one entry. Requests read snapshots under RCU
// and keep the snapshot with which they were admitted.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>

#include "libraries/admission/budget.h"
#include "libraries/base/rcu_cell.h"
#include "libraries/execution/crash_tracker.h"
#include "libraries/membership/vm_list.h"
#include "libraries/placement/load_tracker.h"
#include "libraries/relay/retry_budget.h"
#include "libraries/revisions/revisioned_text.h"
#include "libraries/telemetry/request_metrics.h"
#include "libraries/templates/template_store.h"
#include "services/entry/crash_evidence.h"
#include "services/entry/entry_settings.h"

namespace balsam::entry {

class SharedState {
 public:
  explicit SharedState(EntrySettings entry_settings)
      : settings(std::move(entry_settings)),
        vm_list(std::make_shared<const membership::VmList>()),
        retry_budget(settings.retry_share, settings.retry_burst),
        metrics("entry"),
        crash_tracker_(settings.suspicion_lifetime) {}

  const EntrySettings settings;
  templates::TemplateStore templates;
  RcuCell<membership::VmList> vm_list;
  // Recent revisions of the VM list, from which deltas for other processes are
  // computed.
  revisions::RevisionedText vm_list_history;
  placement::LoadTracker load_tracker;
  admission::WorkspaceBudgets workspace_budgets;
  relay::RetryBudget retry_budget;
  telemetry::RequestMetrics metrics;
  CrashEvidence crash_evidence;
  std::atomic<bool> draining{false};
  std::atomic<std::int64_t> open_requests{0};
  std::atomic<std::uint64_t> stray_tokens{0};

  // Returns how many crashes are counted for requests with this fingerprint,
  // as far as sidecars have reported them to this entry.
  std::int64_t CrashesOf(std::uint64_t fingerprint) {
    if (!has_crashes_.load(std::memory_order_acquire)) return 0;
    const std::lock_guard lock(crash_tracker_mutex_);
    return crash_tracker_.CrashesOf(fingerprint, BootClock::now());
  }
  void RecordCrashes(std::uint64_t fingerprint, std::int64_t crashes) {
    if (crashes == 0) return;
    const std::lock_guard lock(crash_tracker_mutex_);
    crash_tracker_.DropExpired(BootClock::now());
    crash_tracker_.MergeCrashCount(fingerprint, crashes, BootClock::now());
    has_crashes_.store(true, std::memory_order_release);
  }
  void ClearCrashes(std::uint64_t fingerprint) {
    if (!has_crashes_.load(std::memory_order_acquire)) return;
    const std::lock_guard lock(crash_tracker_mutex_);
    crash_tracker_.OnCompleted(fingerprint);
  }

 private:
  std::mutex crash_tracker_mutex_;
  execution::CrashTracker crash_tracker_;
  // False until the first crash is recorded, so that most requests take no
  // lock.
  std::atomic<bool> has_crashes_{false};
};

}  // namespace balsam::entry
