// Takes in evidence, and forgets what is too old. Who is guilty is in
// crash_ledger_judgement.cc, what follows in crash_ledger_quarantines.cc.
#include "libraries/quarantine/crash_ledger.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace balsam::quarantine {

using std::chrono::milliseconds;

bool HasSignature(std::span<const Trait> traits, const Signature& signature) {
  return std::ranges::all_of(signature, [&](Trait trait) {
    return std::ranges::find(traits, trait) != traits.end();
  });
}

std::string ToText(const Signature& signature) {
  std::string text;
  for (const Trait trait : signature) {
    if (!text.empty()) text += ',';
    text += std::to_string(trait);
  }
  return text;
}

Change CrashLedger::OnCrash(const CrashReport& report, BootTime now) {
  return AddReport(report, milliseconds(0), now);
}

Change CrashLedger::AddReport(const CrashReport& report,
                              milliseconds time_error, BootTime now) {
  Change change;
  if (report.traits.empty() || report.traits.size() > kMaxTraits ||
      report.crash_age > limits_.crash_retention) {
    return change;
  }
  const BootTime time = now - report.crash_age;
  const BootTime began = now - report.run_age;
  Crash* crash = FindCrash(report.server, began - time_error);
  if (crash == nullptr) {
    const bool is_full = crashes_.size() >= limits_.max_crashes;
    // It may be one that was just forgotten.
    if (is_full && time <= crashes_.front().time + kMaxReportDelay) {
      return change;
    }
    if (is_full) crashes_.pop_front();
    const auto place =
        std::ranges::upper_bound(crashes_, time, {}, &Crash::time);
    crash = &*crashes_.insert(place, {report.server, time, now, {}});
  }
  const bool is_known =
      std::ranges::find(crash->suspects, report.traits, &Suspect::traits) !=
      crash->suspects.end();
  const Suspect suspect{began, report.traits, report.is_answering};
  const std::size_t max_suspects = report.is_answering || IsUnproven(suspect)
                                       ? limits_.max_suspects_per_crash
                                       : limits_.max_proven_suspects_per_crash;
  if (is_known || crash->suspects.size() >= max_suspects) return change;
  change.is_news = true;
  crash->learned_at = now;
  crash->suspects.push_back(suspect);
  std::ranges::for_each(report.traits, [&](Trait trait) {
    TraitState& state = Track(trait, now);
    state.last_crash = std::max(state.last_crash, crash->time);
  });
  RenewQuarantines(suspect, crash->time, now, change);
  const bool may_be_guilty =
      std::ranges::any_of(suspect.traits, [&](Trait trait) {
        return CrashesOf(trait) >= limits_.crashes_to_quarantine;
      });
  if (may_be_guilty) Judge(now, change);
  return change;
}

CrashLedger::TraitState& CrashLedger::Track(Trait trait, BootTime now) {
  const auto [found, is_new] = traits_.try_emplace(trait);
  TraitState& state = found->second;
  if (!is_new) return state;
  for (auto* generation : {&former_survivors_, &survivors_}) {
    const auto survivor = generation->find(trait);
    if (survivor == generation->end()) continue;
    state.last_survival = std::max(state.last_survival, survivor->second);
    // Others need to know it now.
    state.survival_learned_at = now;
  }
  return state;
}

void CrashLedger::RememberSurvivor(Trait trait, BootTime time) {
  if (survivors_.size() >= limits_.max_survivors) {
    former_survivors_ = std::exchange(survivors_, {});
  }
  BootTime& known = survivors_[trait];
  known = std::max(known, time);
}

bool CrashLedger::IsUnproven(const Suspect& suspect) const {
  return std::any_of(suspect.traits.begin(), std::prev(suspect.traits.end()),
                     [&](Trait trait) {
                       const auto state = traits_.find(trait);
                       return state == traits_.end()
                                  ? !survivors_.contains(trait) &&
                                        !former_survivors_.contains(trait)
                                  : state->second.last_survival == BootTime{};
                     });
}

Change CrashLedger::OnSurvived(std::span<const Trait> traits, BootTime now) {
  Change change;
  // The last one, the request itself, is hardly ever seen again, unless it has
  // no others.
  const bool has_parts = traits.size() > 1;
  std::ranges::for_each(traits, [&](const Trait& trait) {
    const bool is_worth_keeping = !has_parts || &trait != &traits.back();
    if (is_worth_keeping || traits_.contains(trait)) {
      OnTraitSurvived(trait, now, now, change);
    }
  });
  return change;
}

void CrashLedger::OnTraitSurvived(Trait trait, BootTime time, BootTime now,
                                  Change& change) {
  const auto found = traits_.find(trait);
  if (found == traits_.end()) {
    RememberSurvivor(trait, time);
    return;
  }
  if (time <= found->second.last_survival) return;
  TraitState& state = found->second;
  // Most survivals are no news: nothing has crashed since the last one.
  const bool clears =
      state.last_crash > state.last_survival && time > state.last_crash;
  state.last_survival = time;
  if (!clears) return;
  state.survival_learned_at = now;
  change.is_news = true;
  ClearTrait(trait, time, now, change);
}

CrashLedger::Crash* CrashLedger::FindCrash(std::uint32_t server,
                                           BootTime run_began) {
  // A run that began after a crash was lost in a later one.
  const auto found = std::ranges::find_if(crashes_, [&](const Crash& crash) {
    return crash.server == server && crash.time >= run_began;
  });
  return found == crashes_.end() ? nullptr : &*found;
}

Change CrashLedger::DropExpired(BootTime now) {
  Change change;
  while (!crashes_.empty() &&
         now - crashes_.front().time > limits_.crash_retention) {
    crashes_.pop_front();
  }
  for (auto& [signature, quarantine] : quarantines_) {
    if (!quarantine.is_active ||
        now - quarantine.last_crash < QuarantineTime(quarantine.count)) {
      continue;
    }
    quarantine.is_active = false;
    change.released.push_back(signature);
    // They have been dealt with, and must not count for other traits now.
    std::erase_if(crashes_, [&](const Crash& crash) {
      return std::ranges::any_of(crash.suspects, [&](const Suspect& suspect) {
        return HasSignature(suspect.traits, signature);
      });
    });
  }
  std::erase_if(quarantines_, [&](const auto& item) {
    const Quarantine& quarantine = item.second;
    return !quarantine.is_active &&
           now - quarantine.last_crash >=
               QuarantineTime(quarantine.count) + limits_.offence_retention;
  });
  ForgetUnusedTraits();
  return change;
}

void CrashLedger::ForgetUnusedTraits() {
  std::set<Trait> used;
  for (const Crash& crash : crashes_) {
    for (const Suspect& suspect : crash.suspects) {
      used.insert(suspect.traits.begin(), suspect.traits.end());
    }
  }
  for (const auto& [signature, quarantine] : quarantines_) {
    used.insert(signature.begin(), signature.end());
  }
  std::erase_if(traits_,
                [&](const auto& item) { return !used.contains(item.first); });
}

}  // namespace balsam::quarantine
