// Locks the ledger, and logs what becomes quarantined.
#include "services/entry/crash_evidence.h"

#include "libraries/base/log_event.h"

namespace balsam::entry {

using quarantine::Change;

template <typename Step>
void CrashEvidence::Update(Step&& step) {
  Change change;
  {
    const std::lock_guard lock(mutex_);
    change = step(BootClock::now());
  }
  Handle(change);
}

void CrashEvidence::OnCrash(const quarantine::CrashReport& report) {
  has_evidence_.store(true, std::memory_order_release);
  Update([&](BootTime now) { return ledger_.OnCrash(report, now); });
}

void CrashEvidence::OnSurvived(std::span<const quarantine::Trait> traits) {
  if (!has_evidence_.load(std::memory_order_acquire)) return;
  Update([&](BootTime now) { return ledger_.OnSurvived(traits, now); });
}

void CrashEvidence::Merge(const quarantine::Evidence& evidence) {
  if (evidence.empty()) return;
  has_evidence_.store(true, std::memory_order_release);
  Update([&](BootTime now) { return ledger_.Merge(evidence, now); });
}

void CrashEvidence::DropExpired() {
  if (!has_evidence_.load(std::memory_order_acquire)) return;
  Update([&](BootTime now) { return ledger_.DropExpired(now); });
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
