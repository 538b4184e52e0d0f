// Storage, expiry and summing of load reports.
#include "libraries/dispatch/load_reports.h"

#include <utility>

namespace balsam::dispatch {

void LoadReports::ReplaceReport(const std::string& entry, UsageByServer usage,
                                BootTime now) {
  reports_.insert_or_assign(entry, Report{std::move(usage), now});
}

void LoadReports::UpdateReport(const std::string& entry,
                               const UsageByServer& changes, BootTime now) {
  Report& report = reports_[entry];
  report.received_at = now;
  for (const auto& [key, usage] : changes) {
    if (usage == Usage{}) {
      report.usage.erase(key);
    } else {
      report.usage.insert_or_assign(key, usage);
    }
  }
}

void LoadReports::RenewReport(const std::string& entry, BootTime now) {
  const auto found = reports_.find(entry);
  if (found != reports_.end()) found->second.received_at = now;
}

void LoadReports::RemoveExpired(BootTime now) {
  std::erase_if(reports_,
                [&](const auto& item) { return !IsCurrent(item.second, now); });
  std::erase_if(totals_, [&](const auto& item) {
    return now - item.second.received_at > kTotalLifetime;
  });
  std::erase_if(unanswered_queries_, [&](const auto& item) {
    return now - item.second > kUnresponsiveAggregatorPeriod;
  });
}

void LoadReports::SetTotal(std::uint32_t server, const Usage& usage,
                           BootTime now) {
  totals_[server] = {usage, now};
  unanswered_queries_.erase(server);
}

std::optional<BootTime> LoadReports::TotalReceivedAt(
    std::uint32_t server) const {
  const auto found = totals_.find(server);
  if (found == totals_.end()) return std::nullopt;
  return found->second.received_at;
}

void LoadReports::RemoveServer(std::uint32_t server) {
  totals_.erase(server);
  unanswered_queries_.erase(server);
  for (auto& [entry, report] : reports_) report.usage.erase(server);
}

bool LoadReports::IsAggregatorUnresponsive(std::uint32_t server,
                                           BootTime now) const {
  const auto found = unanswered_queries_.find(server);
  return found != unanswered_queries_.end() &&
         now - found->second <= kUnresponsiveAggregatorPeriod;
}

Usage LoadReports::UsageOf(std::string_view server_id, BootTime now) const {
  const std::uint32_t server = ServerKey(server_id);
  const auto total = totals_.find(server);
  if (total != totals_.end() &&
      now - total->second.received_at <= kTotalLifetime) {
    return total->second.usage;
  }
  return ReportedUsageExcept(server, {}, now);
}

Usage LoadReports::ReportedUsageExcept(std::uint32_t server,
                                       const std::string& entry,
                                       BootTime now) const {
  Usage sum;
  for (const auto& [name, report] : reports_) {
    if (!IsCurrent(report, now) || name == entry) continue;
    const auto found = report.usage.find(server);
    if (found != report.usage.end()) sum += found->second;
  }
  return sum;
}

UsageByServer LoadReports::ReportedUsage(BootTime now) const {
  UsageByServer reported;
  for (const auto& [name, report] : reports_) {
    if (!IsCurrent(report, now)) continue;
    for (const auto& [server, usage] : report.usage) reported[server] += usage;
  }
  return reported;
}

}  // namespace balsam::dispatch
