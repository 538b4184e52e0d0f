// What the other entries report of their requests at backend servers.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>

#include "libraries/base/boot_clock.h"
#include "libraries/dispatch/usage.h"

namespace balsam::dispatch {

class LoadReports {
 public:
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

  // Of all entries together.
  Usage UsageOf(std::string_view server_id, BootTime now) const;
  // Entries that something is remembered of.
  std::size_t size() const { return reports_.size(); }

 private:
  struct Report {
    UsageByServer usage;
    BootTime heard;
  };

  std::chrono::milliseconds lifetime_;
  std::map<std::string, Report> reports_;
};

}  // namespace balsam::dispatch
