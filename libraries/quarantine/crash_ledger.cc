// Counts the crashes of each trait and chooses the traits that explain them.
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

}  // namespace

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
  state.quarantines = 0;
  if (!std::exchange(state.quarantined, false)) return;
  --quarantined_count_;
  change.released.push_back(trait);
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
  std::ranges::for_each(
      evidence.quarantined, [&](const QuarantineReport& report) {
        if (report.crash_age >= QuarantineTime(report.count)) return;
        TraitState& state = traits_[report.trait];
        const BootTime last_crash = now - report.crash_age;
        if (state.last_survival >= last_crash) {
          // The sender does not know of the survival yet.
          state.survival_learned_at = now;
          return;
        }
        Quarantine(report.trait, last_crash, report.count, change);
      });
  std::ranges::for_each(evidence.survived, [&](const TraitAge& item) {
    OnTraitSurvived(item.trait, now - item.age, now, change);
  });
  return change;
}

void CrashLedger::Quarantine(Trait trait, BootTime last_crash, int count,
                             Change& change) {
  TraitState& state = traits_[trait];
  // Reports that are passed on again and again must not prolong it.
  if (last_crash > state.last_crash + kMaxReportDelay) {
    state.last_crash = last_crash;
  }
  state.quarantines = std::max(state.quarantines, count);
  if (std::exchange(state.quarantined, true)) return;
  ++quarantined_count_;
  change.is_news = true;
  change.quarantined.push_back(trait);
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
  const TraitState& state = traits_.at(trait);
  return crash.time > std::max(state.last_survival, state.judged_until);
}

bool CrashLedger::IsExplained(const Crash& crash) const {
  return std::ranges::any_of(crash.suspects, [&](const Suspect& suspect) {
    return std::ranges::any_of(suspect.traits, [&](Trait trait) {
      return traits_.at(trait).quarantined;
    });
  });
}

std::map<Trait, CrashLedger::Tally> CrashLedger::CountUnexplained() const {
  std::map<Trait, Tally> tallies;
  for (const Crash& crash : crashes_) {
    if (IsExplained(crash)) continue;
    for (const Suspect& suspect : crash.suspects) {
      for (std::size_t i = 0; i < suspect.traits.size(); ++i) {
        const Trait trait = suspect.traits[i];
        if (!CountsAgainst(trait, crash)) continue;
        Tally& tally = tallies[trait];
        tally.position = std::max(tally.position, i);
        if (tally.crashes > 0 && suspect.began <= tally.last_crash) continue;
        ++tally.crashes;
        tally.last_crash = crash.time;
      }
    }
  }
  return tallies;
}

void CrashLedger::Judge(Change& change) {
  while (true) {
    const auto tallies = CountUnexplained();
    const auto was_quarantined = [&](Trait trait) {
      return traits_.at(trait).quarantines > 0;
    };
    // Of two traits with equally many crashes, the more specific one is
    // quarantined, so that fewer requests are rejected.
    const auto worst = std::ranges::max_element(
        tallies, {}, [&](const std::pair<const Trait, Tally>& item) {
          return std::tuple(was_quarantined(item.first), item.second.crashes,
                            item.second.position);
        });
    if (worst == tallies.end()) return;
    const auto& [trait, tally] = *worst;
    if (tally.crashes < limits_.crashes_to_quarantine &&
        !was_quarantined(trait)) {
      return;
    }
    Quarantine(trait, tally.last_crash, traits_.at(trait).quarantines + 1,
               change);
  }
}

Change CrashLedger::DropExpired(BootTime now) {
  Change change;
  while (!crashes_.empty() &&
         now - crashes_.front().time > limits_.crash_retention) {
    crashes_.pop_front();
  }
  std::set<Trait> suspected;
  for (const Crash& crash : crashes_) {
    for (const Suspect& suspect : crash.suspects) {
      suspected.insert(suspect.traits.begin(), suspect.traits.end());
    }
  }
  for (auto& [trait, state] : traits_) {
    if (!state.quarantined ||
        now - state.last_crash < QuarantineTime(state.quarantines)) {
      continue;
    }
    state.quarantined = false;
    state.judged_until = state.last_crash;
    --quarantined_count_;
    change.released.push_back(trait);
  }
  std::erase_if(traits_, [&](const auto& item) {
    const TraitState& state = item.second;
    const bool is_remembered =
        state.quarantines > 0 &&
        now - state.last_crash <
            QuarantineTime(state.quarantines) + limits_.offence_retention;
    return !is_remembered && !suspected.contains(item.first);
  });
  return change;
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
  std::vector<QuarantineReport> quarantined;
  for (const auto& [trait, state] : traits_) {
    if (state.quarantined) {
      quarantined.push_back(
          {trait, AgeOf(state.last_crash, now), state.quarantines});
    } else if (is_shared(state.survival_learned_at)) {
      survived.push_back({trait, AgeOf(state.last_survival, now)});
    }
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

std::optional<Trait> CrashLedger::FindQuarantined(
    std::span<const Trait> traits) const {
  if (quarantined_count_ == 0) return std::nullopt;
  const auto found = std::ranges::find_if(traits, [&](Trait trait) {
    const auto state = traits_.find(trait);
    return state != traits_.end() && state->second.quarantined;
  });
  if (found == traits.end()) return std::nullopt;
  return *found;
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
