// Begins, renews and ends quarantines, and tries requests of a quarantined
// signature.
#include <algorithm>
#include <utility>

#include "libraries/quarantine/crash_ledger.h"

namespace balsam::quarantine {

using std::chrono::milliseconds;

void CrashLedger::ClearTrait(Trait trait, BootTime survived_at, BootTime now,
                             Change& change) {
  std::vector<std::pair<Signature, Quarantine>> cleared;
  std::erase_if(quarantines_, [&](const auto& item) {
    const bool is_cleared = std::ranges::binary_search(item.first, trait) &&
                            item.second.last_crash < survived_at;
    if (is_cleared) cleared.push_back(item);
    return is_cleared;
  });
  for (auto& [signature, quarantine] : cleared) {
    Signature rest = signature;
    std::erase(rest, trait);
    if (!rest.empty()) {
      StartQuarantine(rest, quarantine, now, change);
    } else if (quarantine.is_active) {
      change.released.push_back(signature);
    }
  }
}

void CrashLedger::StartQuarantine(const Signature& signature,
                                  Quarantine quarantine, BootTime now,
                                  Change& change) {
  const auto is_covered_by = [&](const auto& item) {
    return item.second.is_active && item.first != signature &&
           HasSignature(signature, item.first);
  };
  if (std::ranges::any_of(quarantines_, is_covered_by)) return;
  if (quarantine.is_active) {
    std::erase_if(quarantines_, [&](const auto& item) {
      return item.first != signature && HasSignature(item.first, signature);
    });
  }
  std::ranges::for_each(signature, [&](Trait trait) {
    TraitState& state = Track(trait, now);
    // Reports that are passed on again and again do not prolong it.
    if (quarantine.last_crash > state.last_crash + kMaxReportDelay) {
      state.last_crash = quarantine.last_crash;
    }
  });
  const auto [found, is_new] = quarantines_.try_emplace(signature, quarantine);
  Quarantine& known = found->second;
  const bool was_active = !is_new && known.is_active;
  if (quarantine.last_crash > known.last_crash + kMaxReportDelay) {
    known.last_crash = quarantine.last_crash;
  }
  known.count = std::max(known.count, quarantine.count);
  known.is_active |= quarantine.is_active;
  if (was_active || !known.is_active) return;
  known.started_at = now;
  change.is_news = true;
  change.quarantined.push_back(signature);
}

void CrashLedger::RenewQuarantines(const Suspect& suspect, BootTime crash_time,
                                   BootTime now, Change& change) {
  std::vector<Signature> renewed;
  for (auto& [signature, quarantine] : quarantines_) {
    if (!HasSignature(suspect.traits, signature) ||
        crash_time <= quarantine.last_crash) {
      continue;
    }
    quarantine.last_crash = crash_time;
    if (!quarantine.is_active) renewed.push_back(signature);
  }
  for (const Signature& signature : renewed) {
    const auto found = quarantines_.find(signature);
    if (found == quarantines_.end()) continue;
    const int count = found->second.count + 1;
    StartQuarantine(signature, {crash_time, true, count}, now, change);
  }
}

milliseconds CrashLedger::QuarantineTime(int count) const {
  milliseconds time = limits_.first_quarantine;
  for (int i = 1; i < count && time < limits_.longest_quarantine; ++i) {
    time *= 2;
  }
  return std::min(time, limits_.longest_quarantine);
}

std::optional<Signature> CrashLedger::FindQuarantined(
    std::span<const Trait> traits) const {
  const auto found = std::ranges::find_if(quarantines_, [&](const auto& item) {
    return item.second.is_active && HasSignature(traits, item.first);
  });
  if (found == quarantines_.end()) return std::nullopt;
  return found->first;
}

std::size_t CrashLedger::quarantined_count() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      quarantines_, [](const auto& item) { return item.second.is_active; }));
}

// --- Trials ---

int CrashLedger::CrashesWith(const Signature& signature) const {
  return static_cast<int>(
      std::ranges::count_if(crashes_, [&](const Crash& crash) {
        return std::ranges::any_of(crash.suspects, [&](const Suspect& suspect) {
          return HasSignature(suspect.traits, signature);
        });
      }));
}

bool CrashLedger::MayTry(const Signature& signature,
                         const Quarantine& quarantine, std::size_t rank,
                         BootTime now) const {
  const int crashes = CrashesWith(signature);
  // Of none, only the quarantine was heard of: others know more.
  if (crashes == 0 || crashes >= limits_.crashes_to_decide) return false;
  constexpr int kMaxDoublings = 10;
  const int doublings = std::min(quarantine.trials, kMaxDoublings);
  const milliseconds wait =
      limits_.first_trial * (1 << doublings) +
      limits_.sharing_time * static_cast<std::int64_t>(rank);
  const BootTime since = std::max(
      {quarantine.started_at, quarantine.last_crash, quarantine.last_trial});
  return now - since >= wait;
}

bool CrashLedger::TakeTrial(std::span<const Trait> traits, std::size_t rank,
                            BootTime now) {
  if (CrashesWith({traits.back()}) > 0) return false;
  std::vector<Quarantine*> tried;
  for (auto& [signature, quarantine] : quarantines_) {
    if (!quarantine.is_active || !HasSignature(traits, signature)) continue;
    if (!MayTry(signature, quarantine, rank, now)) return false;
    tried.push_back(&quarantine);
  }
  for (Quarantine* quarantine : tried) {
    quarantine->last_trial = now;
    ++quarantine->trials;
  }
  return !tried.empty();
}

}  // namespace balsam::quarantine
