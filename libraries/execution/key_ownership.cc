// Key owners, confirmations and relinquished keys.
#include "libraries/execution/key_ownership.h"

#include <algorithm>
#include <utility>

#include "libraries/membership/rendezvous.h"

namespace balsam::execution {
namespace {

// More views than arise within the lifetime of a key at 1,200 list changes a
// day.
constexpr std::size_t kMaxViews = 64;

}  // namespace

KeyOwnership::KeyOwnership(Config config, WallTime started)
    : config_(std::move(config)), started_(started) {}

std::uint64_t KeyOwnership::list_revision() const { return list_.revision(); }

void KeyOwnership::AdoptList(const membership::VmList& list, WallTime now) {
  if (list.revision() <= list_.revision()) return;
  list_ = list;
  AppendView(now);
}

void KeyOwnership::AppendView(WallTime now) {
  View view;
  view.revision = list_.revision();
  view.adopted = now;
  view.members = list_.BackendVmsOf(config_.service, /*live_only=*/false);
  view.candidates = list_.BackendVmsOf(config_.service, /*live_only=*/true);
  std::erase_if(view.candidates, [this](const std::string& vm) {
    return relinquished_peers_.contains(vm);
  });
  // If only the relinquished peers changed, the confirmations stay valid.
  if (!views_.empty() && views_.back().revision == view.revision) {
    view.confirmed = views_.back().confirmed;
  }
  // A VM that is no longer listed counts as confirmed after the grace period
  // that the platform needs to take it down.
  std::ranges::for_each(views_, [&](View& earlier) {
    std::ranges::for_each(earlier.members, [&](const std::string& vm) {
      if (std::ranges::find(view.members, vm) != view.members.end()) return;
      view.confirmed.emplace(vm, now + config_.removed_vm_grace);
      earlier.confirmed.emplace(vm, now + config_.removed_vm_grace);
    });
  });
  views_.push_back(std::move(view));
  if (views_.size() > kMaxViews) views_.pop_front();
}

std::string KeyOwnership::OwnerOf(std::string_view key,
                                  const View& view) const {
  return membership::RendezvousFirst(key, view.candidates);
}

std::optional<WallTime> KeyOwnership::SoleOwnerSince(
    std::string_view key) const {
  // `since` is the earliest view from which on this sidecar has owned the key
  // without interruption.
  auto since = views_.end();
  while (since != views_.begin() &&
         OwnerOf(key, *std::prev(since)) == config_.vm) {
    --since;
  }
  if (since == views_.end()) return std::nullopt;

  // A VM that was removed from the list just before the first view is unknown
  // here, but may run requests until its grace period ends.
  const View& first = views_.front();
  WallTime sole_since =
      std::max(started_, first.adopted + config_.removed_vm_grace);
  const auto has_confirmed = [&](const View& view, const std::string& vm) {
    if (vm == config_.vm) return true;
    const auto confirmed = view.confirmed.find(vm);
    if (confirmed == view.confirmed.end()) return false;
    sole_since = std::max(sole_since, confirmed->second);
    return true;
  };
  // What the other members ran before the first view is unknown here, so all
  // of them must have confirmed that view.
  const bool others_confirmed = std::ranges::all_of(
      first.members,
      [&](const std::string& vm) { return has_confirmed(first, vm); });
  if (!others_confirmed) return std::nullopt;
  // Every earlier owner must have confirmed the view in which it lost the key.
  const bool owners_confirmed =
      std::all_of(views_.begin(), since, [&](const View& earlier) {
        const std::string owner = OwnerOf(key, earlier);
        return owner.empty() || has_confirmed(*since, owner);
      });
  if (!owners_confirmed) return std::nullopt;
  return sole_since;
}

KeyOwnership::Status KeyOwnership::Check(const IdempotencyKey& key,
                                         WallTime now) const {
  if (keys_relinquished_ || superseded_) return Status::kRelinquished;
  if (views_.empty()) return Status::kHistoryUnknown;
  if (OwnerOf(key.text, views_.back()) != config_.vm) return Status::kNotOwner;
  if (key.created_at.has_value()) {
    const bool outside =
        *key.created_at > now + config_.clock_error ||
        *key.created_at + config_.key_lifetime < now - config_.clock_error;
    if (outside) return Status::kOutsideLifetime;
  }
  const auto sole_since = SoleOwnerSince(key.text);
  if (!sole_since.has_value()) return Status::kHistoryUnknown;
  // A key without a creation time may be as old as the key lifetime allows.
  const WallTime earliest_use = key.created_at.has_value()
                                    ? *key.created_at - config_.clock_error
                                    : now - config_.key_lifetime;
  return earliest_use > *sole_since ? Status::kMayRun : Status::kHistoryUnknown;
}

std::vector<std::string> KeyOwnership::UnconfirmedPeers() const {
  if (views_.empty()) return {};
  auto peers = list_.BackendVmsOf(config_.service, /*live_only=*/false);
  std::erase_if(peers, [this](const std::string& vm) {
    return vm == config_.vm || views_.back().confirmed.contains(vm);
  });
  return peers;
}

Confirmation KeyOwnership::Confirm(const std::string& requester,
                                   std::uint64_t incarnation, WallTime now) {
  auto& latest = incarnations_[requester];
  const bool requester_superseded = incarnation < latest;
  latest = std::max(latest, incarnation);
  const auto relinquished = relinquished_peers_.find(requester);
  if (relinquished != relinquished_peers_.end() &&
      relinquished->second < incarnation) {
    // A new incarnation may own keys again, so this sidecar loses the keys that
    // the earlier incarnation had relinquished.
    relinquished_peers_.erase(relinquished);
    AppendView(now);
  }
  return {config_.vm, config_.incarnation, list_.revision(), keys_relinquished_,
          requester_superseded};
}

void KeyOwnership::OnConfirmation(const Confirmation& confirmation,
                                  std::uint64_t round, WallTime now) {
  if (confirmation.requester_superseded) {
    superseded_ = true;
    return;
  }
  auto& latest = incarnations_[confirmation.vm];
  if (confirmation.incarnation < latest) return;
  latest = confirmation.incarnation;
  if (confirmation.keys_relinquished &&
      relinquished_peers_.emplace(confirmation.vm, confirmation.incarnation)
          .second) {
    AppendView(now);
    views_.back().confirmed.insert_or_assign(confirmation.vm, now);
  }
  if (round != confirmation_round_) return;
  std::ranges::for_each(views_, [&](View& view) {
    if (view.revision <= confirmation.list_revision) {
      view.confirmed.emplace(confirmation.vm, now);
    }
  });
}

void KeyOwnership::OnPause(WallTime now) {
  started_ = std::max(started_, now);
  ++confirmation_round_;
  if (views_.empty()) return;
  View newest = std::move(views_.back());
  newest.confirmed.clear();
  newest.adopted = now;
  views_.clear();
  views_.push_back(std::move(newest));
}

}  // namespace balsam::execution
