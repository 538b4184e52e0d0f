// The load that other entries' requests place on backend servers. Each server
// has an aggregator among the entries, and a backup for it. Both receive the
// reports of all others, and the aggregator sends these the load total. An
// entry therefore knows a server's load from reports where it is one of the
// two, and from totals elsewhere.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/base/boot_clock.h"
#include "libraries/dispatch/usage.h"

namespace balsam::dispatch {

class LoadReports {
 public:
  // How long a total is valid: twice the interval at which it is sent again
  // (gossip::LoadDeltaTracker::kRefreshInterval).
  static constexpr std::chrono::milliseconds kTotalLifetime{6000};

  // How long an aggregator that did not answer a query is considered
  // unresponsive. Another entry takes over its servers soon after.
  static constexpr std::chrono::milliseconds kUnresponsiveAggregatorPeriod{
      1500};

  // `lifetime`: how long a report is valid after the last message of its entry.
  explicit LoadReports(std::chrono::milliseconds lifetime)
      : lifetime_(lifetime) {}

  // Replaces the whole report of an entry.
  void ReplaceReport(const std::string& entry, UsageByServer usage,
                     BootTime now);
  // Merges an entry's new load at the servers where it changed; zero usage
  // removes a server.
  void UpdateReport(const std::string& entry, const UsageByServer& changes,
                    BootTime now);
  // The entry is alive and its report is still valid.
  void RenewReport(const std::string& entry, BootTime now);
  // Removes reports, totals and unanswered queries that have expired.
  void RemoveExpired(BootTime now);

  // The server's aggregator sent the total over all entries but this one.
  void SetTotal(std::uint32_t server, const Usage& usage, BootTime now);
  // When the last total arrived; nothing if there is none.
  std::optional<BootTime> TotalReceivedAt(std::uint32_t server) const;
  // The server's aggregator did not answer a query.
  void OnAggregatorUnresponsive(std::uint32_t server, BootTime now) {
    unanswered_queries_.insert_or_assign(server, now);
  }
  // Whether the aggregator left a query unanswered within
  // `kUnresponsiveAggregatorPeriod` and sent no total since.
  bool IsAggregatorUnresponsive(std::uint32_t server, BootTime now) const;
  // Removes the totals of servers for which `is_aggregated` is true: this entry
  // has become their aggregator or its backup, so the reports are used instead.
  template <typename IsAggregated>
  void RemoveTotals(IsAggregated&& is_aggregated) {
    std::erase_if(totals_,
                  [&](const auto& item) { return is_aggregated(item.first); });
  }
  // Drops all loads known of the server: this entry is neither its aggregator
  // nor its backup any more.
  void RemoveServer(std::uint32_t server);

  // Usage by all other entries: the total if there is a valid one, otherwise
  // the sum of the reports.
  Usage UsageOf(std::string_view server_id, BootTime now) const;
  // Sum of the reports, except that of `entry`.
  Usage ReportedUsageExcept(std::uint32_t server, const std::string& entry,
                            BootTime now) const;
  // Sum of the reports for each server.
  UsageByServer ReportedUsage(BootTime now) const;
  // Number of entries that have a report.
  std::size_t size() const { return reports_.size(); }

 private:
  struct Report {
    UsageByServer usage;
    BootTime received_at;
  };

  struct Total {
    Usage usage;
    BootTime received_at;
  };

  bool IsCurrent(const Report& report, BootTime now) const {
    return now - report.received_at <= lifetime_;
  }

  std::chrono::milliseconds lifetime_;
  std::map<std::string, Report> reports_;
  std::map<std::uint32_t, Total> totals_;
  // When a query about a server was last left unanswered.
  std::map<std::uint32_t, BootTime> unanswered_queries_;
};

}  // namespace balsam::dispatch
