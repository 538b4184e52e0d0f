// What is known of the other entries' requests at backend servers. One entry
// keeps the book of each server: it gets the reports of all others, and tells
// them the sum. An entry thus knows servers by reports where it keeps the book,
// and by sums elsewhere.
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
  // How long a sum counts: a few times the interval at which it is told again
  // (gossip::LoadDeltaTracker).
  static constexpr std::chrono::milliseconds kSumLifetime{6000};

  // How long a keeper that did not answer is taken to be away; another one
  // takes its books over soon after.
  static constexpr std::chrono::milliseconds kUnansweredTime{1500};

  // `lifetime`: how long a report counts after its entry was last heard.
  explicit LoadReports(std::chrono::milliseconds lifetime)
      : lifetime_(lifetime) {}

  // All of an entry's load.
  void Replace(const std::string& entry, UsageByServer usage, BootTime now);
  // Its load at the servers where something changed; zero where it has nothing
  // any more.
  void Change(const std::string& entry, const UsageByServer& changes,
              BootTime now);
  // It is alive, and what it reported holds.
  void Renew(const std::string& entry, BootTime now);
  // Forgets entries that have not been heard for the lifetime.
  void DropOld(BootTime now);

  // The keeper of a server's book told the sum over all entries but this one.
  void TakeSum(std::uint32_t server, const Usage& usage, BootTime now);
  // When it last did.
  std::optional<BootTime> SumHeard(std::uint32_t server) const;
  // The keeper was asked and did not answer.
  void OnUnanswered(std::uint32_t server, BootTime now) {
    unanswered_.insert_or_assign(server, now);
  }
  // Whether that is so of late, and nothing was heard since.
  bool IsUnanswered(std::uint32_t server, BootTime now) const;
  // This entry keeps the books of these servers now, so reports count.
  template <typename IsKept>
  void DropSumsOf(IsKept&& is_kept) {
    std::erase_if(sums_, [&](const auto& item) { return is_kept(item.first); });
  }
  // This entry does not keep the server's book any more.
  void DropServer(std::uint32_t server);

  // Of all other entries together: the sum if there is one.
  Usage UsageOf(std::string_view server_id, BootTime now) const;
  // By reports alone; without those of `entry`.
  Usage ReportedExcept(std::uint32_t server, const std::string& entry,
                       BootTime now) const;
  // By reports alone, for all servers.
  UsageByServer Reported(BootTime now) const;
  // Entries that something is remembered of.
  std::size_t size() const { return reports_.size(); }

 private:
  struct Report {
    UsageByServer usage;
    BootTime heard;
  };

  struct Sum {
    Usage usage;
    BootTime heard;
  };

  bool Counts(const Report& report, BootTime now) const {
    return now - report.heard <= lifetime_;
  }

  std::chrono::milliseconds lifetime_;
  std::map<std::string, Report> reports_;
  std::map<std::uint32_t, Sum> sums_;
  // When a question about a server was last left without an answer.
  std::map<std::uint32_t, BootTime> unanswered_;
};

}  // namespace balsam::dispatch
