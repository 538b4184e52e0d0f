// Admission of queued requests, and the load report.
#include <algorithm>

#include "libraries/execution/executor.h"

namespace balsam::execution {
namespace {

using std::chrono::milliseconds;

// Common block size of an engine's memory allocation, in tokens.
constexpr std::int64_t kBlockTokens = 16;

}  // namespace

bool Executor::CanDispatch(const WorkRecord& record, ClockReading now) const {
  if (record.work.kind == WorkKind::kCall) {
    return running_calls_ < static_cast<std::size_t>(config_.max_running_calls);
  }
  if (running_generations_ >=
      static_cast<std::size_t>(config_.max_running_generations)) {
    return false;
  }
  const auto is_suspect = [&](std::uint64_t fingerprint) {
    return crash_tracker_.CrashesOf(fingerprint, now.boot) > 0;
  };
  if (is_suspect(record.work.fingerprint)) {
    const bool suspect_running =
        std::ranges::any_of(active_, [&](LocalId local_id) {
          const WorkRecord* other = Find(local_id);
          return other->HoldsMemory() && is_suspect(other->work.fingerprint);
        });
    if (suspect_running) return false;
  }
  if (record.IsOverBudget() && !KeepsOthersTokenRate(record, now)) {
    return false;
  }
  // An idle engine accepts any generation; otherwise a prompt larger than the
  // forecast allows would wait forever.
  if (running_generations_ == 0) return true;
  if (policy_ == AdmissionPolicy::kImmediate) return true;
  if (prompt_debt_ > 0.0 && config_.prompt_burst_tokens > 0 &&
      prompt_debt_ + static_cast<double>(record.work.prompt_tokens) >
          static_cast<double>(config_.prompt_burst_tokens)) {
    return false;
  }
  if (policy_ == AdmissionPolicy::kResidentOnly) {
    return resident_tokens_ + record.work.prompt_tokens <=
           config_.memory.capacity_tokens;
  }
  auto resident = ResidentGenerations();
  resident.push_back(AsResident(record));
  admission::MemoryLimits limits = config_.memory;
  if (policy_ == AdmissionPolicy::kKnownLengths) {
    // With known lengths, only the allocation in whole blocks can still exceed
    // the forecast.
    limits.reserve_tokens +=
        kBlockTokens * static_cast<std::int64_t>(resident.size());
  }
  if (record.work.whole) {
    limits.reserve_tokens +=
        static_cast<std::int64_t>(config_.live_memory_headroom *
                                  static_cast<double>(limits.capacity_tokens));
  }
  return admission::FitsAtRisk(resident, limits, record.work.overflow_risk);
}

bool Executor::KeepsOthersTokenRate(const WorkRecord& record,
                                    ClockReading now) const {
  const std::size_t within = running_generations_ - running_over_budget_;
  const bool no_recent_work_within_budget =
      within == 0 &&
      (!last_within_budget_.has_value() ||
       *last_within_budget_ + config_.within_budget_window <= now.boot);
  if (no_recent_work_within_budget) return true;
  // Running generations of this workspace over budget count twice. This leaves
  // half of the capacity to workspaces that are over budget only occasionally.
  const auto running_of_workspace =
      std::ranges::count_if(active_, [&](LocalId local_id) {
        const WorkRecord* other = Find(local_id);
        return other->HoldsMemory() && other->IsOverBudget() &&
               other->work.workspace == record.work.workspace;
      });
  // One generation at a time is always allowed, so that a workspace with a
  // small budget makes progress.
  if (running_of_workspace == 0) return true;
  const double slowdown = step_model_.SlowdownFactor(
      static_cast<std::int64_t>(within),
      static_cast<std::int64_t>(running_generations_) + 1 +
          running_of_workspace);
  return slowdown <= 1.0 + config_.max_over_budget_slowdown;
}

admission::ResidentGeneration Executor::AsResident(
    const WorkRecord& record) const {
  const bool known = policy_ == AdmissionPolicy::kKnownLengths;
  return {record.work.prompt_tokens,
          static_cast<std::int64_t>(record.log.end()),
          record.work.max_output_tokens, known ? nullptr : record.lengths};
}

std::vector<admission::ResidentGeneration> Executor::ResidentGenerations()
    const {
  std::vector<admission::ResidentGeneration> resident;
  resident.reserve(running_generations_ + 1);
  std::ranges::for_each(active_, [&](LocalId local_id) {
    const WorkRecord* record = Find(local_id);
    if (!record->HoldsMemory()) return;
    resident.push_back(AsResident(*record));
  });
  return resident;
}

LoadReport Executor::Load(ClockReading now) const {
  LoadReport report;
  report.capacity_tokens = config_.memory.capacity_tokens;
  report.resident_tokens = resident_tokens_;
  report.running =
      static_cast<std::int64_t>(running_generations_ + running_calls_);
  report.queued = static_cast<std::int64_t>(queue_.size());
  report.expected_wait = ExpectedWait(queue_.size());
  report.draining = draining_;
  report.list_revision = key_ownership_.list_revision();
  auto resident = ResidentGenerations();
  std::ranges::for_each(active_, [&](LocalId local_id) {
    const WorkRecord* record = Find(local_id);
    const bool is_queued = record->phase == Phase::kQueued &&
                           record->work.kind == WorkKind::kGeneration &&
                           record->queue_deadline > now.boot;
    if (!is_queued) return;
    resident.push_back(AsResident(*record));
  });
  report.peak_load = admission::PeakLoad(resident, config_.memory);
  return report;
}

admission::LengthModel& Executor::LengthModelOf(const WorkItem& work) {
  const std::string shared = work.template_name + '\n' + work.model;
  const std::string key = shared + '\n' + work.workspace;
  const auto known = length_models_.find(key);
  if (known != length_models_.end()) return known->second;
  admission::LengthModel& model = length_models_[key];
  // A workspace's first generations are expected to resemble those of other
  // workspaces with the same template and model.
  const auto parent =
      std::ranges::find_if(length_models_, [&](const auto& entry) {
        return &entry.second != &model &&
               entry.first.starts_with(shared + '\n');
      });
  if (parent != length_models_.end()) model.SetPrior(parent->second);
  return model;
}

milliseconds Executor::ExpectedWait(std::size_t ahead) const {
  return std::chrono::duration_cast<milliseconds>(dispatch_interval_ *
                                                  static_cast<double>(ahead));
}

}  // namespace balsam::execution
