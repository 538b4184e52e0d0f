// What an executor admits now, and what it reports of its load.
#include <algorithm>

#include "libraries/execution/executor.h"

namespace balsam::execution {
namespace {

using std::chrono::milliseconds;

// Tokens by which engines commonly hand out memory.
constexpr std::int64_t kBlockTokens = 16;

}  // namespace

bool Executor::FitsNow(const GenerationRecord& record, Moment now) const {
  if (record.work.kind == WorkKind::kCall) {
    return running_calls_ < static_cast<std::size_t>(config_.max_running_calls);
  }
  if (running_generations_ >=
      static_cast<std::size_t>(config_.max_running_generations)) {
    return false;
  }
  const auto is_suspect = [&](std::uint64_t fingerprint) {
    return suspicions_.CrashesOf(fingerprint, now.boot) > 0;
  };
  if (is_suspect(record.work.fingerprint)) {
    const bool suspect_runs =
        std::ranges::any_of(active_, [&](Counter counter) {
          const GenerationRecord* other = Find(counter);
          return other->HoldsMemory() && is_suspect(other->work.fingerprint);
        });
    if (suspect_runs) return false;
  }
  if (record.IsOverBudget() && !LeavesOthersTheirPace(record, now)) {
    return false;
  }
  // An idle engine takes anything, or a prompt larger than the forecast allows
  // would wait for ever.
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
  auto resident = Resident();
  resident.push_back(ResidentOf(record));
  admission::MemoryLimits limits = config_.memory;
  if (policy_ == AdmissionPolicy::kKnownLengths) {
    // With nothing unknown, a step's growth in whole blocks is all that can
    // still surprise.
    limits.reserve_tokens +=
        kBlockTokens * static_cast<std::int64_t>(resident.size());
  }
  if (record.work.whole) {
    limits.reserve_tokens += static_cast<std::int64_t>(
        config_.live_headroom * static_cast<double>(limits.capacity_tokens));
  }
  return admission::FitsAtRisk(resident, limits, record.work.overflow_risk);
}

bool Executor::LeavesOthersTheirPace(const GenerationRecord& record,
                                     Moment now) const {
  const std::size_t within = running_generations_ - running_over_budget_;
  const bool nobody_cares =
      within == 0 &&
      (!within_budget_seen_.has_value() ||
       *within_budget_seen_ + config_.within_budget_memory <= now.boot);
  if (nobody_cares) return true;
  // What a workspace has over budget already counts twice, so that it leaves
  // half of the room to one that is only now and then over.
  const auto own = std::ranges::count_if(active_, [&](Counter counter) {
    const GenerationRecord* other = Find(counter);
    return other->HoldsMemory() && other->IsOverBudget() &&
           other->work.workspace == record.work.workspace;
  });
  // One at a time may always go, or a small workspace would stand still.
  if (own == 0) return true;
  const double growth = steps_.SlowdownFactor(
      static_cast<std::int64_t>(within),
      static_cast<std::int64_t>(running_generations_) + 1 + own);
  return growth <= 1.0 + config_.over_budget_growth;
}

admission::ResidentGeneration Executor::ResidentOf(
    const GenerationRecord& record) const {
  const bool known = policy_ == AdmissionPolicy::kKnownLengths;
  return {record.work.prompt_tokens,
          static_cast<std::int64_t>(record.log.end()),
          record.work.max_output_tokens, known ? nullptr : record.lengths};
}

std::vector<admission::ResidentGeneration> Executor::Resident() const {
  std::vector<admission::ResidentGeneration> resident;
  resident.reserve(running_generations_ + 1);
  std::ranges::for_each(active_, [&](Counter counter) {
    const GenerationRecord* record = Find(counter);
    if (!record->HoldsMemory()) return;
    resident.push_back(ResidentOf(*record));
  });
  return resident;
}

LoadReport Executor::Load(Moment now) const {
  LoadReport report;
  report.capacity_tokens = config_.memory.capacity_tokens;
  report.resident_tokens = resident_tokens_;
  report.running =
      static_cast<std::int64_t>(running_generations_ + running_calls_);
  report.queued = static_cast<std::int64_t>(queue_.size());
  report.expected_wait = ExpectedWait(queue_.size());
  report.draining = draining_;
  report.list_revision = authority_.list_revision();
  auto resident = Resident();
  std::ranges::for_each(active_, [&](Counter counter) {
    const GenerationRecord* record = Find(counter);
    const bool waits = record->phase == Phase::kQueued &&
                       record->work.kind == WorkKind::kGeneration &&
                       record->queue_deadline > now.boot;
    if (!waits) return;
    resident.push_back(ResidentOf(*record));
  });
  report.peak_load = admission::PeakLoad(resident, config_.memory);
  return report;
}

admission::LengthModel& Executor::LengthsOf(const Work& work) {
  const std::string shared = work.template_name + '\n' + work.model;
  const std::string own = shared + '\n' + work.workspace;
  const auto known = lengths_.find(own);
  if (known != lengths_.end()) return known->second;
  admission::LengthModel& model = lengths_[own];
  // A workspace's first generations are expected to be like the others' of
  // the same template.
  const auto parent = std::ranges::find_if(lengths_, [&](const auto& entry) {
    return &entry.second != &model && entry.first.starts_with(shared + '\n');
  });
  if (parent != lengths_.end()) model.SetPrior(parent->second);
  return model;
}

milliseconds Executor::ExpectedWait(std::size_t ahead) const {
  return std::chrono::duration_cast<milliseconds>(dispatch_interval_ *
                                                  static_cast<double>(ahead));
}

}  // namespace balsam::execution
