// Per-VM load state.
#include "libraries/placement/load_tracker.h"

#include <algorithm>

namespace balsam::placement {
namespace {

// Minimum time between replacements of the lagged report.
constexpr std::chrono::milliseconds kLaggedReportInterval{2000};

}  // namespace

void LoadTracker::OnReport(const std::string& vm,
                           const execution::LoadReport& report) {
  const std::lock_guard lock(mutex_);
  auto& [candidate, lagged_report_at] = vms_[vm];
  const BootTime now = BootClock::now();
  if (now - lagged_report_at >= kLaggedReportInterval) {
    candidate.lagged_report = report;
    lagged_report_at = now;
  }
  candidate.report = report;
  candidate.sent_requests = 0;
  candidate.sent_tokens = 0;
}

void LoadTracker::OnRequestSent(const std::string& vm,
                                std::int64_t prompt_tokens) {
  const std::lock_guard lock(mutex_);
  Candidate& candidate = vms_[vm].candidate;
  ++candidate.open_requests;
  ++candidate.sent_requests;
  candidate.sent_tokens += prompt_tokens;
}

void LoadTracker::OnRequestClosed(const std::string& vm) {
  const std::lock_guard lock(mutex_);
  const auto item = vms_.find(vm);
  if (item != vms_.end()) --item->second.candidate.open_requests;
}

void LoadTracker::OnConnected(const std::string& vm) {
  const std::lock_guard lock(mutex_);
  const auto item = vms_.find(vm);
  if (item != vms_.end()) item->second.candidate.report.reset();
}

void LoadTracker::Retain(const std::set<std::string>& listed) {
  const std::lock_guard lock(mutex_);
  std::erase_if(vms_, [&](const auto& item) {
    return !listed.contains(item.first) &&
           item.second.candidate.open_requests == 0;
  });
}

std::size_t LoadTracker::tracked_vms() const {
  const std::lock_guard lock(mutex_);
  return vms_.size();
}

std::vector<Candidate> LoadTracker::Candidates(
    const std::vector<std::string>& vms) const {
  const std::lock_guard lock(mutex_);
  std::vector<Candidate> candidates;
  std::ranges::for_each(vms, [&](const std::string& vm) {
    const auto item = vms_.find(vm);
    Candidate candidate =
        item == vms_.end() ? Candidate{} : item->second.candidate;
    if (candidate.report.has_value() && candidate.report->draining) return;
    candidate.vm = vm;
    candidates.push_back(std::move(candidate));
  });
  return candidates;
}

}  // namespace balsam::placement
