// Counts the crashes of each trait and finds the signatures that explain them.
#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "libraries/quarantine/crash_ledger.h"

namespace balsam::quarantine {

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
