// Keeping, renewing and adding up reports.
#include "libraries/dispatch/load_reports.h"

#include <utility>

namespace balsam::dispatch {

void LoadReports::Replace(const std::string& entry, UsageByServer usage,
                          BootTime now) {
  reports_.insert_or_assign(entry, Report{std::move(usage), now});
}

void LoadReports::Change(const std::string& entry, const UsageByServer& changes,
                         BootTime now) {
  Report& report = reports_[entry];
  report.heard = now;
  for (const auto& [key, usage] : changes) {
    if (usage == Usage{}) {
      report.usage.erase(key);
    } else {
      report.usage.insert_or_assign(key, usage);
    }
  }
}

void LoadReports::Renew(const std::string& entry, BootTime now) {
  const auto found = reports_.find(entry);
  if (found != reports_.end()) found->second.heard = now;
}

void LoadReports::DropOld(BootTime now) {
  std::erase_if(reports_,
                [&](const auto& item) { return !Counts(item.second, now); });
  std::erase_if(sums_, [&](const auto& item) {
    return now - item.second.heard > kSumLifetime;
  });
  std::erase_if(unanswered_, [&](const auto& item) {
    return now - item.second > kUnansweredTime;
  });
}

void LoadReports::TakeSum(std::uint32_t server, const Usage& usage,
                          BootTime now) {
  sums_[server] = {usage, now};
  unanswered_.erase(server);
}

std::optional<BootTime> LoadReports::SumHeard(std::uint32_t server) const {
  const auto found = sums_.find(server);
  if (found == sums_.end()) return std::nullopt;
  return found->second.heard;
}

void LoadReports::DropServer(std::uint32_t server) {
  sums_.erase(server);
  unanswered_.erase(server);
  for (auto& [entry, report] : reports_) report.usage.erase(server);
}

bool LoadReports::IsUnanswered(std::uint32_t server, BootTime now) const {
  const auto found = unanswered_.find(server);
  return found != unanswered_.end() && now - found->second <= kUnansweredTime;
}

Usage LoadReports::UsageOf(std::string_view server_id, BootTime now) const {
  const std::uint32_t server = ServerKey(server_id);
  const auto sum = sums_.find(server);
  if (sum != sums_.end() && now - sum->second.heard <= kSumLifetime) {
    return sum->second.usage;
  }
  return ReportedExcept(server, {}, now);
}

Usage LoadReports::ReportedExcept(std::uint32_t server,
                                  const std::string& entry,
                                  BootTime now) const {
  Usage sum;
  for (const auto& [name, report] : reports_) {
    if (!Counts(report, now) || name == entry) continue;
    const auto found = report.usage.find(server);
    if (found != report.usage.end()) sum += found->second;
  }
  return sum;
}

UsageByServer LoadReports::Reported(BootTime now) const {
  UsageByServer reported;
  for (const auto& [name, report] : reports_) {
    if (!Counts(report, now)) continue;
    for (const auto& [server, usage] : report.usage) reported[server] += usage;
  }
  return reported;
}

}  // namespace balsam::dispatch
