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
  Candidate& item = candidates_[vm];
  const BootTime now = BootClock::now();
  BootTime& lagged_at = lagged_report_at_[vm];
  if (now - lagged_at >= kLaggedReportInterval) {
    item.lagged_report = report;
    lagged_at = now;
  }
  item.report = report;
  item.sent_requests = 0;
  item.sent_tokens = 0;
}

void LoadTracker::OnRequestSent(const std::string& vm,
                                std::int64_t prompt_tokens) {
  const std::lock_guard lock(mutex_);
  Candidate& item = candidates_[vm];
  ++item.open_requests;
  ++item.sent_requests;
  item.sent_tokens += prompt_tokens;
}

void LoadTracker::OnRequestClosed(const std::string& vm) {
  const std::lock_guard lock(mutex_);
  const auto item = candidates_.find(vm);
  if (item != candidates_.end()) --item->second.open_requests;
}

void LoadTracker::OnConnected(const std::string& vm) {
  const std::lock_guard lock(mutex_);
  const auto item = candidates_.find(vm);
  if (item != candidates_.end()) item->second.report.reset();
}

void LoadTracker::Retain(const std::set<std::string>& listed) {
  const std::lock_guard lock(mutex_);
  std::erase_if(candidates_, [&](const auto& item) {
    return !listed.contains(item.first) && item.second.open_requests == 0;
  });
}

std::vector<Candidate> LoadTracker::Candidates(
    const std::vector<std::string>& vms) const {
  const std::lock_guard lock(mutex_);
  std::vector<Candidate> candidates;
  std::ranges::for_each(vms, [&](const std::string& vm) {
    const auto item = candidates_.find(vm);
    Candidate candidate =
        item == candidates_.end() ? Candidate{} : item->second;
    if (candidate.report.has_value() && candidate.report->draining) return;
    candidate.vm = vm;
    candidates.push_back(std::move(candidate));
  });
  return candidates;
}

}  // namespace balsam::placement
