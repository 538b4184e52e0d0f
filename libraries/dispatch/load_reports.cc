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
  std::erase_if(reports_, [&](const auto& item) {
    return now - item.second.heard > lifetime_;
  });
}

Usage LoadReports::UsageOf(std::string_view server_id, BootTime now) const {
  const std::uint32_t key = ServerKey(server_id);
  Usage sum;
  for (const auto& [entry, report] : reports_) {
    if (now - report.heard > lifetime_) continue;
    const auto found = report.usage.find(key);
    if (found != report.usage.end()) sum += found->second;
  }
  return sum;
}

}  // namespace balsam::dispatch
