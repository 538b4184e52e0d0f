// Which requests crash backend servers, as far as this entry knows. Shared by
// the threads of the entry.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <span>

#include "libraries/quarantine/crash_ledger.h"

namespace balsam::entry {

class CrashEvidence {
 public:
  void OnCrash(const quarantine::CrashReport& report);
  void OnSurvived(std::span<const quarantine::Trait> traits);
  void Merge(const quarantine::Evidence& evidence);
  void DropExpired();
  quarantine::Evidence Share();
  std::optional<quarantine::Signature> FindQuarantined(
      std::span<const quarantine::Trait> traits) const;

  // Called in the thread that learned something which other entries may lack.
  // To be set before the first evidence.
  std::function<void()> on_news;

 private:
  // Runs `step(now)`, which changes the ledger, under the lock.
  template <typename Step>
  void Update(Step&& step);
  void Handle(const quarantine::Change& change);

  mutable std::mutex mutex_;
  quarantine::CrashLedger ledger_{{}};
  // False until a crash is about to be recorded, so that most requests take no
  // lock.
  std::atomic<bool> has_evidence_{false};
};

}  // namespace balsam::entry
