// Counts the crashes of each trait and finds the signatures that explain them.
#include "libraries/quarantine/crash_ledger.h"

#include <algorithm>
#include <concepts>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace balsam::quarantine {
namespace {

using std::chrono::milliseconds;

// The ages in a report grow stale by its delay in the network each time that it
// is passed on. A server takes longer than this to restart after a crash, so
// that a run cannot begin there so soon.
constexpr milliseconds kMaxReportDelay{1000};
// No request has more traits; a peer's message may claim more.
constexpr std::size_t kMaxTraits = 64;

milliseconds AgeOf(BootTime time, BootTime now) {
  return std::max(milliseconds(0),
                  std::chrono::duration_cast<milliseconds>(now - time));
}

// Returns up to `count` of the items: those for which `is_new` holds first,
// then the others, beginning at a place that moves with `turn`.
template <typename Item, std::predicate<const Item&> IsNew>
std::vector<Item> TakeInTurn(std::vector<Item> items, std::size_t count,
                             std::size_t turn, IsNew&& is_new) {
  const auto others = std::ranges::stable_partition(items, is_new).begin();
  const auto other_count =
      static_cast<std::size_t>(std::distance(others, items.end()));
  if (other_count > 0) {
    std::rotate(others,
                std::next(others, static_cast<std::ptrdiff_t>((turn * count) %
                                                              other_count)),
                items.end());
  }
  if (items.size() > count) items.resize(count);
  return items;
}

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
  if (is_known || crash->suspects.size() >= limits_.max_suspects_per_crash) {
    return change;
  }
  change.is_news = true;
  crash->learned_at = now;
  crash->suspects.push_back({began, report.traits});
  std::ranges::for_each(report.traits, [&](Trait trait) {
    TraitState& state = traits_[trait];
    state.last_crash = std::max(state.last_crash, crash->time);
  });
  RenewQuarantines(crash->suspects.back(), crash->time, change);
  Judge(change);
  return change;
}

Change CrashLedger::OnSurvived(std::span<const Trait> traits, BootTime now) {
  Change change;
  std::ranges::for_each(
      traits, [&](Trait trait) { OnTraitSurvived(trait, now, now, change); });
  return change;
}

void CrashLedger::OnTraitSurvived(Trait trait, BootTime time, BootTime now,
                                  Change& change) {
  const auto found = traits_.find(trait);
  if (found == traits_.end() || time <= found->second.last_survival) return;
  TraitState& state = found->second;
  // Most survivals are no news: nothing has crashed since the last one.
  const bool clears =
      state.last_crash > state.last_survival && time > state.last_crash;
  state.last_survival = time;
  if (!clears) return;
  state.survival_learned_at = now;
  change.is_news = true;
  ClearTrait(trait, time, change);
}

void CrashLedger::ClearTrait(Trait trait, BootTime survived_at,
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
      StartQuarantine(rest, quarantine, change);
    } else if (quarantine.is_active) {
      change.released.push_back(signature);
    }
  }
}

Change CrashLedger::Merge(const Evidence& evidence, BootTime now) {
  Change change;
  const auto add = [&](Change&& other) {
    change.is_news |= other.is_news;
    std::ranges::move(other.quarantined,
                      std::back_inserter(change.quarantined));
  };
  std::ranges::for_each(evidence.crashes, [&](const CrashReport& report) {
    add(AddReport(report, kMaxReportDelay, now));
  });
  std::ranges::for_each(evidence.quarantined,
                        [&](const QuarantineReport& report) {
                          MergeQuarantine(report, now, change);
                        });
  std::ranges::for_each(evidence.survived, [&](const TraitAge& item) {
    OnTraitSurvived(item.trait, now - item.age, now, change);
  });
  return change;
}

void CrashLedger::MergeQuarantine(const QuarantineReport& report, BootTime now,
                                  Change& change) {
  if (report.crash_age >= QuarantineTime(report.count) ||
      report.signature.empty() || report.signature.size() > kMaxTraits) {
    return;
  }
  const BootTime last_crash = now - report.crash_age;
  Signature signature = report.signature;
  std::ranges::sort(signature);
  std::erase_if(signature, [&](Trait trait) {
    const auto state = traits_.find(trait);
    if (state == traits_.end() || state->second.last_survival < last_crash) {
      return false;
    }
    // The sender does not know of the survival yet.
    state->second.survival_learned_at = now;
    return true;
  });
  if (signature.empty()) return;
  StartQuarantine(signature, {last_crash, true, report.count}, change);
}

void CrashLedger::StartQuarantine(const Signature& signature,
                                  Quarantine quarantine, Change& change) {
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
    TraitState& state = traits_[trait];
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
  change.is_news = true;
  change.quarantined.push_back(signature);
}

void CrashLedger::RenewQuarantines(const Suspect& suspect, BootTime crash_time,
                                   Change& change) {
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
    StartQuarantine(signature, {crash_time, true, count}, change);
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

std::map<Trait, CrashLedger::Tally> CrashLedger::CountCrashes() const {
  std::map<Trait, Tally> tallies;
  for (const Crash& crash : crashes_) {
    const bool is_explained = IsExplained(crash);
    for (const Suspect& suspect : crash.suspects) {
      for (std::size_t i = 0; i < suspect.traits.size(); ++i) {
        const Trait trait = suspect.traits[i];
        if (!CountsFor(trait, crash)) continue;
        Tally& tally = tallies[trait];
        tally.position = std::max(tally.position, i);
        tally.has_unexplained |= !is_explained;
        if (tally.crashes > 0 && suspect.began <= tally.last_crash) continue;
        ++tally.crashes;
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

void CrashLedger::Judge(Change& change) {
  while (true) {
    auto tallies = CountCrashes();
    std::erase_if(tallies, [&](const auto& item) {
      return !item.second.has_unexplained ||
             item.second.crashes < limits_.crashes_to_quarantine;
    });
    const auto worst = std::ranges::max_element(
        tallies, {}, [](const std::pair<const Trait, Tally>& item) {
          return std::tuple(item.second.crashes, item.second.position);
        });
    if (worst == tallies.end()) return;
    const auto& [trait, tally] = *worst;
    StartQuarantine(SignatureOf(trait), {tally.last_crash, true, 1}, change);
  }
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

Evidence CrashLedger::Share(BootTime now, BootTime new_since) {
  const std::size_t turn = turn_++;
  const auto is_shared = [&](BootTime learned_at) {
    return learned_at != BootTime{} && now - learned_at <= limits_.sharing_time;
  };
  using Learned = std::pair<BootTime, CrashReport>;
  std::vector<Learned> crashes;
  for (const Crash& crash : crashes_) {
    if (!is_shared(crash.learned_at)) continue;
    for (const Suspect& suspect : crash.suspects) {
      crashes.emplace_back(
          crash.learned_at,
          CrashReport{crash.server, AgeOf(crash.time, now),
                      AgeOf(suspect.began, now), suspect.traits});
    }
  }
  Evidence evidence;
  std::ranges::transform(
      TakeInTurn(std::move(crashes), limits_.max_items_sent, turn,
                 [&](const Learned& item) { return item.first >= new_since; }),
      std::back_inserter(evidence.crashes), &Learned::second);
  std::vector<TraitAge> survived;
  for (const auto& [trait, state] : traits_) {
    if (!is_shared(state.survival_learned_at)) continue;
    survived.push_back({trait, AgeOf(state.last_survival, now)});
  }
  std::vector<QuarantineReport> quarantined;
  for (const auto& [signature, quarantine] : quarantines_) {
    if (!quarantine.is_active) continue;
    quarantined.push_back(
        {signature, AgeOf(quarantine.last_crash, now), quarantine.count});
  }
  evidence.survived = TakeInTurn(
      std::move(survived), limits_.max_items_sent, turn,
      [&](const TraitAge& item) {
        return traits_.at(item.trait).survival_learned_at >= new_since;
      });
  evidence.quarantined =
      TakeInTurn(std::move(quarantined), limits_.max_items_sent, turn,
                 [](const QuarantineReport&) { return false; });
  return evidence;
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
