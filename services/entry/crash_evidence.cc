// Locks the ledger, and logs what becomes quarantined.
#include "services/entry/crash_evidence.h"

#include "libraries/base/log_event.h"

namespace balsam::entry {

using quarantine::Change;

void CrashEvidence::OnCrash(const quarantine::CrashReport& report) {
  Change change;
  {
    const std::lock_guard lock(mutex_);
    change = ledger_.OnCrash(report, BootClock::now());
    has_evidence_.store(true, std::memory_order_release);
  }
  Handle(change);
}

void CrashEvidence::OnSurvived(std::span<const quarantine::Trait> traits) {
  if (!has_evidence_.load(std::memory_order_acquire)) return;
  Change change;
  {
    const std::lock_guard lock(mutex_);
    change = ledger_.OnSurvived(traits, BootClock::now());
  }
  Handle(change);
}

void CrashEvidence::Merge(const quarantine::Evidence& evidence) {
  if (evidence.empty()) return;
  Change change;
  {
    const std::lock_guard lock(mutex_);
    change = ledger_.Merge(evidence, BootClock::now());
    has_evidence_.store(true, std::memory_order_release);
  }
  Handle(change);
}

void CrashEvidence::DropExpired() {
  if (!has_evidence_.load(std::memory_order_acquire)) return;
  Change change;
  {
    const std::lock_guard lock(mutex_);
    change = ledger_.DropExpired(BootClock::now());
  }
  Handle(change);
}

quarantine::Evidence CrashEvidence::Share() {
  if (!has_evidence_.load(std::memory_order_acquire)) return {};
  const std::lock_guard lock(mutex_);
  const BootTime now = BootClock::now();
  return ledger_.Share(now, now);
}

std::optional<quarantine::Signature> CrashEvidence::FindQuarantined(
    std::span<const quarantine::Trait> traits) const {
  if (!has_evidence_.load(std::memory_order_acquire)) return std::nullopt;
  const std::lock_guard lock(mutex_);
  return ledger_.FindQuarantined(traits);
}

void CrashEvidence::Handle(const Change& change) {
  for (const quarantine::Signature& signature : change.quarantined) {
    LogEvent("quarantine_started", LogEvent::Level::kWarning)
        .With("traits", quarantine::ToText(signature));
  }
  for (const quarantine::Signature& signature : change.released) {
    LogEvent("quarantine_ended").With("traits", quarantine::ToText(signature));
  }
  if (change.is_news && on_news) on_news();
}

}  // namespace balsam::entry
