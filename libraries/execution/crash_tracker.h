// Counts backend server crashes for each request that was running at the time,
// to find and quarantine requests that crash every server, and to clear the
// requests that ran beside them.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <span>

#include "libraries/base/boot_clock.h"

namespace balsam::execution {

class CrashTracker {
 public:
  enum class Status {
    kClear,
    // Was running during one crash. Must not run beside another suspect.
    kSuspect,
    // Was running during two crashes, in the second one as the only suspect.
    kQuarantined,
  };

  explicit CrashTracker(std::chrono::milliseconds lifetime)
      : lifetime_(lifetime) {}

  // A backend server crashed while these requests were running. If there are
  // suspects among them, only those are counted.
  void OnCrash(std::span<const std::uint64_t> fingerprints, BootTime now);
  // The request completed, so it does not crash backend servers.
  void OnCompleted(std::uint64_t fingerprint);
  // Merges the count of another process; the higher count wins.
  void MergeCrashCount(std::uint64_t fingerprint, std::int64_t crashes,
                       BootTime now);

  Status StatusOf(std::uint64_t fingerprint, BootTime now) const;
  // Crashes that are counted for the request; zero once the record expired.
  std::int64_t CrashesOf(std::uint64_t fingerprint, BootTime now) const;
  void DropExpired(BootTime now);
  std::size_t size() const { return crashes_.size(); }

 private:
  struct CrashRecord {
    std::int64_t crashes = 0;
    BootTime expires;
  };

  std::chrono::milliseconds lifetime_;
  std::map<std::uint64_t, CrashRecord> crashes_;
};

}  // namespace balsam::execution
