// What the threads of one entry share. Requests read snapshots under RCU and
// hold the one that admitted them.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>

#include "libraries/admission/budget.h"
#include "libraries/base/rcu_cell.h"
#include "libraries/execution/suspicion_table.h"
#include "libraries/membership/vm_list.h"
#include "libraries/placement/load_board.h"
#include "libraries/relay/retry_budget.h"
#include "libraries/revisions/revisioned_text.h"
#include "libraries/telemetry/request_metrics.h"
#include "libraries/templates/template_store.h"
#include "services/entry/entry_settings.h"

namespace balsam::entry {

class SharedState {
 public:
  explicit SharedState(EntrySettings entry_settings)
      : settings(std::move(entry_settings)),
        vms(std::make_shared<const membership::VmList>()),
        retries(settings.retry_share, settings.retry_burst),
        metrics("entry"),
        suspicions_(settings.suspicion_lifetime) {}

  const EntrySettings settings;
  templates::TemplateStore templates;
  RcuCell<membership::VmList> vms;
  // The lists of late, to pass changes on.
  revisions::RevisionedText list_history;
  placement::LoadTracker board;
  admission::WorkspaceBudgets budgets;
  relay::RetryBudget retries;
  telemetry::RequestMetrics metrics;
  std::atomic<bool> draining{false};
  std::atomic<std::int64_t> open_requests{0};
  std::atomic<std::uint64_t> stray_tokens{0};

  // Crashes that a request is blamed for, as this entry heard.
  std::int64_t CrashesOf(std::uint64_t fingerprint) {
    if (!any_suspicion_.load(std::memory_order_acquire)) return 0;
    const std::lock_guard lock(suspicions_mutex_);
    return suspicions_.CrashesOf(fingerprint, BootClock::now());
  }
  void LearnCrashes(std::uint64_t fingerprint, std::int64_t crashes) {
    if (crashes == 0) return;
    const std::lock_guard lock(suspicions_mutex_);
    suspicions_.DropExpired(BootClock::now());
    suspicions_.MergeCrashCount(fingerprint, crashes, BootClock::now());
    any_suspicion_.store(true, std::memory_order_release);
  }
  void ClearCrashes(std::uint64_t fingerprint) {
    if (!any_suspicion_.load(std::memory_order_acquire)) return;
    const std::lock_guard lock(suspicions_mutex_);
    suspicions_.OnCompleted(fingerprint);
  }

 private:
  std::mutex suspicions_mutex_;
  execution::CrashTracker suspicions_;
  // False until something was learned, so that most requests take no lock.
  std::atomic<bool> any_suspicion_{false};
};

}  // namespace balsam::entry
