// Counts the crashes of each trait and finds the signatures that explain them.
#include "libraries/quarantine/crash_ledger.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace balsam::quarantine {
namespace {

using std::chrono::milliseconds;

// Whether a run or request with these traits has the whole signature.
bool HasSignature(std::span<const Trait> traits, const Signature& signature) {
  return std::ranges::all_of(signature, [&](Trait trait) {
    return std::ranges::find(traits, trait) != traits.end();
  });
}

}  // namespace

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

CrashLedger::Crash* CrashLedger::FindCrash(std::uint32_t server,
                                           BootTime run_began) {
  // A run that began after a crash was lost in a later one.
  const auto found = std::ranges::find_if(crashes_, [&](const Crash& crash) {
    return crash.server == server && crash.time >= run_began;
  });
  return found == crashes_.end() ? nullptr : &*found;
}

bool CrashLedger::CountsAgainst(Trait trait, const Crash& crash) const {
  return crash.time > traits_.at(trait).last_survival;
}

bool CrashLedger::IsExplained(const Crash& crash) const {
  return std::ranges::any_of(quarantines_, [&](const auto& item) {
    return item.second.is_active &&
           std::ranges::any_of(crash.suspects, [&](const Suspect& suspect) {
             return HasSignature(suspect.traits, item.first);
           });
  });
}

bool CrashLedger::CountsFor(Trait trait, const Crash& crash) const {
  if (!CountsAgainst(trait, crash)) return false;
  const auto explains_without_it = [&](const auto& item) {
    return item.second.is_active &&
           !std::ranges::binary_search(item.first, trait) &&
           std::ranges::any_of(crash.suspects, [&](const Suspect& suspect) {
             return HasSignature(suspect.traits, item.first);
           });
  };
  return std::ranges::none_of(quarantines_, explains_without_it);
}

bool CrashLedger::MayStandBeside(Trait trait, const Crash& crash) const {
  return std::ranges::any_of(quarantines_, [&](const auto& item) {
    const BootTime started_at = item.second.started_at;
    return item.second.is_active &&
           crash.time >= started_at - kMaxReportDelay &&
           crash.time <= started_at + kMaxReportDelay &&
           std::ranges::binary_search(item.first, trait);
  });
}

CrashLedger::Tallies CrashLedger::CountCrashes() const {
  Tallies tallies;
  for (const Crash& crash : crashes_) {
    const bool is_explained = IsExplained(crash);
    for (const Suspect& suspect : crash.suspects) {
      for (std::size_t i = 0; i < suspect.traits.size(); ++i) {
        const Trait trait = suspect.traits[i];
        if (!CountsFor(trait, crash)) continue;
        if (!suspect.is_answering && MayStandBeside(trait, crash)) continue;
        Tally& tally = tallies[trait];
        tally.is_whole = i + 1 == suspect.traits.size();
        tally.has_survived = traits_.at(trait).last_survival != BootTime{};
        tally.position = std::max(tally.position, i);
        tally.has_unexplained |= !is_explained;
        if (tally.crashes > 0 && suspect.began <= tally.last_crash) continue;
        ++tally.crashes;
        if (suspect.is_answering) ++tally.crashes_of_answers;
        tally.last_crash = crash.time;
      }
    }
  }
  return tallies;
}

Signature CrashLedger::SignatureOf(Trait trait) const {
  std::optional<Signature> common;
  for (const Crash& crash : crashes_) {
    if (!CountsFor(trait, crash)) continue;
    for (const Suspect& suspect : crash.suspects) {
      if (!HasSignature(suspect.traits, {trait})) continue;
      Signature traits;
      std::ranges::copy_if(
          suspect.traits, std::back_inserter(traits),
          [&](Trait other) { return CountsAgainst(other, crash); });
      std::ranges::sort(traits);
      const auto repeated = std::ranges::unique(traits);
      traits.erase(repeated.begin(), repeated.end());
      if (!common.has_value()) {
        common = std::move(traits);
        continue;
      }
      std::erase_if(*common, [&](Trait other) {
        return !std::ranges::binary_search(traits, other);
      });
    }
  }
  return common.value_or(Signature{trait});
}

bool CrashLedger::WasAnswering(const Tally& tally) const {
  return tally.crashes_of_answers >= limits_.crashes_to_quarantine;
}

int CrashLedger::CrashesNeeded(const Tally& tally) const {
  const bool is_doubtful = tally.has_survived && !WasAnswering(tally);
  return is_doubtful ? limits_.crashes_to_doubt_survivors
                     : limits_.crashes_to_quarantine;
}

CrashLedger::Tallies CrashLedger::EqualExplanations(const Tallies& tallies,
                                                    const Tally& worst) {
  Tallies equal;
  std::ranges::copy_if(
      tallies, std::inserter(equal, equal.end()), [&](const auto& item) {
        const Tally& other = item.second;
        return other.has_unexplained && other.crashes + 1 >= worst.crashes &&
               other.has_survived == worst.has_survived;
      });
  return equal;
}

std::optional<Trait> CrashLedger::FindGuilty(const Tallies& tallies) const {
  const auto severity = [&](const auto& item) {
    const Tally& tally = item.second;
    const bool is_candidate =
        tally.has_unexplained && tally.crashes >= CrashesNeeded(tally);
    return std::tuple(is_candidate, !tally.has_survived, WasAnswering(tally),
                      tally.crashes, tally.position);
  };
  const auto worst = std::ranges::max_element(tallies, {}, severity);
  if (worst == tallies.end() || !std::get<0>(severity(*worst))) {
    return std::nullopt;
  }
  const auto& [trait, tally] = *worst;
  if (WasAnswering(tally)) return trait;
  const Tallies equal = EqualExplanations(tallies, tally);
  const Signature signature = SignatureOf(trait);
  const bool has_rival = std::ranges::any_of(equal, [&](const auto& item) {
    return !std::ranges::binary_search(signature, item.first);
  });
  if (!has_rival) return trait;
  if (tally.crashes < limits_.crashes_to_decide) return std::nullopt;
  // What many requests have is in most crashes, whatever causes them. A request
  // that is repeated may stand for a part of it.
  return std::ranges::max_element(equal, {},
                                  [](const auto& item) {
                                    return std::tuple(!item.second.is_whole,
                                                      item.second.position,
                                                      item.second.crashes);
                                  })
      ->first;
}

void CrashLedger::Judge(BootTime now, Change& change) {
  while (true) {
    const Tallies tallies = CountCrashes();
    const auto guilty = FindGuilty(tallies);
    if (!guilty.has_value()) return;
    StartQuarantine(SignatureOf(*guilty),
                    {tallies.at(*guilty).last_crash, true, 1}, now, change);
  }
}

bool CrashLedger::IsSuspected(std::span<const Trait> traits) const {
  constexpr int kSeveralCrashes = 2;
  return std::ranges::any_of(traits.first(traits.size() - 1), [&](Trait trait) {
    const auto state = traits_.find(trait);
    return state != traits_.end() &&
           state->second.last_survival == BootTime{} &&
           CrashesOf(trait) >= kSeveralCrashes;
  });
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

std::optional<Signature> CrashLedger::FindQuarantined(
    std::span<const Trait> traits) const {
  const auto found = std::ranges::find_if(quarantines_, [&](const auto& item) {
    return item.second.is_active && HasSignature(traits, item.first);
  });
  if (found == quarantines_.end()) return std::nullopt;
  return found->first;
}

bool CrashLedger::MayTry(const Signature& signature,
                         const Quarantine& quarantine, Trait request,
                         std::size_t rank, BootTime now) const {
  int crashes = 0;
  for (const Crash& crash : crashes_) {
    if (std::ranges::any_of(crash.suspects, [&](const Suspect& suspect) {
          return HasSignature(suspect.traits, {request});
        })) {
      return false;
    }
    crashes += std::ranges::any_of(crash.suspects, [&](const Suspect& suspect) {
      return HasSignature(suspect.traits, signature);
    });
  }
  // Of none, only the quarantine was heard of: others know more.
  if (crashes == 0 || crashes >= limits_.crashes_to_decide) return false;
  const BootTime since = std::max(
      {quarantine.started_at, quarantine.last_crash, quarantine.last_trial});
  constexpr int kMaxDoublings = 10;
  const int doublings = std::min(quarantine.trials, kMaxDoublings);
  return now - since >=
         limits_.first_trial * (1 << doublings) +
             limits_.sharing_time * static_cast<std::int64_t>(rank);
}

bool CrashLedger::TakeTrial(std::span<const Trait> traits, std::size_t rank,
                            BootTime now) {
  std::vector<Quarantine*> tried;
  for (auto& [signature, quarantine] : quarantines_) {
    if (!quarantine.is_active || !HasSignature(traits, signature)) continue;
    if (!MayTry(signature, quarantine, traits.back(), rank, now)) return false;
    tried.push_back(&quarantine);
  }
  for (Quarantine* quarantine : tried) {
    quarantine->last_trial = now;
    ++quarantine->trials;
  }
  return !tried.empty();
}

std::size_t CrashLedger::quarantined_count() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      quarantines_, [](const auto& item) { return item.second.is_active; }));
}

int CrashLedger::CrashesOf(Trait trait) const {
  return static_cast<int>(
      std::ranges::count_if(crashes_, [&](const Crash& crash) {
        return std::ranges::any_of(crash.suspects, [&](const Suspect& suspect) {
          return std::ranges::find(suspect.traits, trait) !=
                     suspect.traits.end() &&
                 CountsAgainst(trait, crash);
        });
      }));
}

}  // namespace balsam::quarantine
