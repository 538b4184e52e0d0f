// What processes tell each other of crashes, survivors and quarantines.
#include <algorithm>
#include <concepts>
#include <iterator>
#include <utility>

#include "libraries/quarantine/crash_ledger.h"

namespace balsam::quarantine {
namespace {

using std::chrono::milliseconds;

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
  StartQuarantine(signature, {last_crash, true, report.count}, now, change);
}

Evidence CrashLedger::Share(BootTime now, BootTime new_since) {
  const std::size_t turn = turn_++;
  const auto is_shared = [&](BootTime learned_at) {
    return learned_at != BootTime{} && now - learned_at <= limits_.sharing_time;
  };
  using Learned = std::pair<BootTime, CrashReport>;
  std::vector<Learned> crashes;
  // Those that may hold the guilty trait go first.
  std::size_t unproven = 0;
  for (const Crash& crash : crashes_) {
    if (!is_shared(crash.learned_at)) continue;
    for (const Suspect& suspect : crash.suspects) {
      crashes.emplace_back(crash.learned_at,
                           CrashReport{crash.server, AgeOf(crash.time, now),
                                       AgeOf(suspect.began, now),
                                       suspect.traits, suspect.is_answering});
      if (IsUnproven(suspect)) {
        std::swap(crashes.back(), crashes[unproven++]);
      }
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

}  // namespace balsam::quarantine
