// Bookkeeping of reports.
#include "libraries/placement/load_board.h"

#include <algorithm>

namespace balsam::placement {
namespace {

constexpr std::chrono::milliseconds kReportLag{2000};

}  // namespace

void LoadBoard::OnReport(const std::string& vm,
                         const execution::LoadReport& report) {
  const std::lock_guard lock(mutex_);
  Candidate& row = rows_[vm];
  const BootTime now = BootClock::now();
  BootTime& lagged_at = lagged_at_[vm];
  if (now - lagged_at >= kReportLag) {
    row.lagged_report = report;
    lagged_at = now;
  }
  row.report = report;
  row.sent_requests = 0;
  row.sent_tokens = 0;
}

void LoadBoard::OnSent(const std::string& vm, std::int64_t prompt_tokens) {
  const std::lock_guard lock(mutex_);
  Candidate& row = rows_[vm];
  ++row.open_requests;
  ++row.sent_requests;
  row.sent_tokens += prompt_tokens;
}

void LoadBoard::OnClosed(const std::string& vm) {
  const std::lock_guard lock(mutex_);
  const auto row = rows_.find(vm);
  if (row != rows_.end()) --row->second.open_requests;
}

void LoadBoard::OnConnected(const std::string& vm) {
  const std::lock_guard lock(mutex_);
  const auto row = rows_.find(vm);
  if (row != rows_.end()) row->second.report.reset();
}

void LoadBoard::Retain(const std::set<std::string>& listed) {
  const std::lock_guard lock(mutex_);
  std::erase_if(rows_, [&](const auto& row) {
    return !listed.contains(row.first) && row.second.open_requests == 0;
  });
}

std::vector<Candidate> LoadBoard::Candidates(
    const std::vector<std::string>& vms) const {
  const std::lock_guard lock(mutex_);
  std::vector<Candidate> candidates;
  std::ranges::for_each(vms, [&](const std::string& vm) {
    const auto row = rows_.find(vm);
    Candidate candidate = row == rows_.end() ? Candidate{} : row->second;
    if (candidate.report.has_value() && candidate.report->draining) return;
    candidate.vm = vm;
    candidates.push_back(std::move(candidate));
  });
  return candidates;
}

}  // namespace balsam::placement
