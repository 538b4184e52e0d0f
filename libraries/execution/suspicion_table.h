// Remembers which requests ran when a backend server crashed, so that one that
// crashes whatever runs it is found, and its companions are cleared.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <span>

#include "libraries/base/boot_clock.h"

namespace balsam::execution {

class SuspicionTable {
 public:
  enum class Verdict {
    kClear,
    // Took part in one crash: runs with no other suspect beside it.
    kSuspect,
    // Took part in two crashes, the second one as the only suspect.
    kQuarantined,
  };

  explicit SuspicionTable(std::chrono::milliseconds lifetime)
      : lifetime_(lifetime) {}

  // A backend server crashed while these requests ran. If suspects were among
  // them, only those are blamed.
  void OnCrash(std::span<const std::uint64_t> fingerprints, BootTime now);
  // The request completed: it is not what crashes.
  void OnCompleted(std::uint64_t fingerprint);
  // Takes over what another process knows; the higher count holds.
  void Learn(std::uint64_t fingerprint, std::int64_t crashes, BootTime now);

  Verdict VerdictOn(std::uint64_t fingerprint, BootTime now) const;
  // Crashes that the request is blamed for; zero once suspicion expired.
  std::int64_t CrashesOf(std::uint64_t fingerprint, BootTime now) const;
  void DropExpired(BootTime now);
  std::size_t size() const { return suspicions_.size(); }

 private:
  struct Suspicion {
    std::int64_t crashes = 0;
    BootTime expires;
  };

  std::chrono::milliseconds lifetime_;
  std::map<std::uint64_t, Suspicion> suspicions_;
};

}  // namespace balsam::execution
