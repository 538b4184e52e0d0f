// Failure detection, dissemination of peer states, and selection of recipients.
#include "libraries/gossip/peer_table.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "libraries/membership/rendezvous.h"

namespace balsam::gossip {
namespace {

using State = PeerUpdate::State;

// An update is sent in this many digests for each doubling of the fleet. In
// SWIM's analysis, three leave fewer than one entry in a thousand without it.
// Two more compensate for updates that supersede it, lost datagrams and
// unreachable recipients.
constexpr std::size_t kTransmissionsPerDoubling = 5;
// If the last round is longer ago than this, the whole process was suspended.
// Messages of that time have not been processed, so no peer may be suspected
// for it.
constexpr std::chrono::milliseconds kPauseThreshold{600};

// Number of peer lists requested, from randomly chosen peers, after a new
// address was learned or many peers were suspected: each list may lack
// addresses that others contain.
constexpr int kPeerListsAfterChange = 4;

bool Outranks(const PeerUpdate& update, std::uint32_t version, State state) {
  if (update.state_version != version) return update.state_version > version;
  return update.state > state;
}

}  // namespace

PeerTable::Peer* PeerTable::FindOrAdd(const std::string& ip, BootTime now) {
  if (ip.empty() || ip == own_ip_) return nullptr;
  const auto [found, added] = peers_.try_emplace(ip);
  if (added) {
    found->second.state_changed_at = now;
    found->second.ring_position = membership::StableHash(ip);
    pending_peer_lists_ = kPeerListsAfterChange;
  }
  return &found->second;
}

void PeerTable::SetSeeds(const std::vector<std::string>& ips, BootTime now) {
  for (auto& [ip, peer] : peers_) peer.is_seed = false;
  for (const std::string& ip : ips) {
    if (Peer* peer = FindOrAdd(ip, now); peer != nullptr) peer->is_seed = true;
  }
}

void PeerTable::SetReachesStore(bool reaches_store) {
  if (std::exchange(own_reaches_store_, reaches_store) == reaches_store) return;
  ++own_version_;
}

void PeerTable::SetState(Peer& peer, State state, BootTime now) {
  if (IsAlive(peer) && state == State::kLost) peer.loss_unreported = true;
  if (state == State::kAlive) peer.loss_unreported = false;
  if (!IsAlive(peer) && state != State::kLost) peer.alive_since = now;
  if (IsAlive(peer) != (state != State::kLost)) {
    view_changed_at_ = now;
    differing_peers_.clear();
    differing_list_interval_ = limits_.differing_list_interval;
  }
  peer.is_refutation =
      state == State::kAlive && peer.state != State::kAlive && peer.version > 1;
  peer.state = state;
  peer.state_changed_at = now;
}

void PeerTable::ScheduleDissemination(Peer& peer) {
  // Peer lists also spread the first start of a peer that was never suspected,
  // so it needs fewer transmissions.
  const bool is_initial_state =
      peer.state == State::kAlive && peer.version <= 1;
  peer.transmissions_left = (is_initial_state ? 1 : kTransmissionsPerDoubling) *
                            std::bit_width(peers_.size() + 1);
}

void PeerTable::OnMessageReceived(Peer& peer, BootTime now) {
  peer.last_received_at = now;
  if (peer.state == State::kAlive) return;
  // Supersedes any update that calls the peer suspected or lost.
  ++peer.version;
  SetState(peer, State::kAlive, now);
  ScheduleDissemination(peer);
}

PeerTable::PeerEvent PeerTable::OnDigest(const std::string& ip,
                                         const Digest& digest, BootTime now) {
  Peer* peer = FindOrAdd(ip, now);
  if (peer == nullptr) return PeerEvent::kNone;
  const bool joined = !IsAlive(*peer);
  OnMessageReceived(*peer, now);
  if (digest.state_version > peer->version) {
    peer->version = digest.state_version;
    peer->reaches_store = digest.reaches_store;
    ScheduleDissemination(*peer);
  }
  for (const PeerUpdate& update : digest.peer_updates) ApplyUpdate(update, now);
  const bool restarted = peer->incarnation != digest.incarnation;
  if (!restarted && digest.sequence <= peer->sequence) return PeerEvent::kNone;
  const bool known = peer->incarnation != 0;
  peer->incarnation = digest.incarnation;
  peer->sequence = digest.sequence;
  CompareViews(ip, digest, now);
  // The digest has the same state version, or its sender has not yet learned of
  // the newer one.
  peer->reaches_store = digest.reaches_store;
  if (restarted && known) {
    peer->load_sequence = 0;
    peer->alive_since = now;
    return PeerEvent::kRestarted;
  }
  return joined ? PeerEvent::kJoined : PeerEvent::kNone;
}

std::uint32_t PeerTable::MembershipHash() const {
  std::uint64_t hash = membership::StableHash(own_ip_);
  for (const auto& [ip, peer] : peers_) {
    if (IsAlive(peer)) hash ^= peer.ring_position;
  }
  return static_cast<std::uint32_t>(hash);
}

void PeerTable::CompareViews(const std::string& ip, const Digest& digest,
                             BootTime now) {
  if (now - view_changed_at_ < limits_.settling_time) return;
  if (digest.membership_hash == MembershipHash()) {
    differing_peers_.clear();
  } else {
    differing_peers_.insert(ip);
  }
}

bool PeerTable::OnLoadUpdate(const std::string& ip, std::uint64_t sequence,
                             BootTime now) {
  Peer* peer = FindOrAdd(ip, now);
  if (peer == nullptr || sequence <= peer->load_sequence) return false;
  peer->load_sequence = sequence;
  if (IsAlive(*peer)) OnMessageReceived(*peer, now);
  return true;
}

void PeerTable::ApplyUpdateAboutSelf(const PeerUpdate& update) {
  const bool is_incorrect = update.state != State::kAlive ||
                            update.reaches_store != own_reaches_store_;
  if (update.state_version > own_version_) own_version_ = update.state_version;
  if (is_incorrect && update.state_version == own_version_) ++own_version_;
}

void PeerTable::ApplyUpdate(const PeerUpdate& update, BootTime now) {
  if (update.ip == own_ip_) {
    ApplyUpdateAboutSelf(update);
    return;
  }
  Peer* peer = FindOrAdd(update.ip, now);
  if (peer == nullptr || !Outranks(update, peer->version, peer->state)) return;
  peer->version = update.state_version;
  ScheduleDissemination(*peer);
  if (update.state == State::kSuspected) RequestPeerListsIfManyUnreachable();
  if (update.state != State::kAlive &&
      now - peer->last_received_at < limits_.recently_received_window) {
    ++peer->version;
    SetState(*peer, State::kAlive, now);
    peer->is_refutation = true;
    return;
  }
  peer->reaches_store = update.reaches_store;
  if (update.state != peer->state) SetState(*peer, update.state, now);
}

void PeerTable::RequestPeerListsIfManyUnreachable() {
  const auto pending = std::ranges::count_if(peers_, [](const auto& item) {
    return item.second.state != State::kAlive &&
           item.second.transmissions_left > 0;
  });
  if (std::cmp_greater(pending, limits_.peer_list_threshold)) {
    pending_peer_lists_ = kPeerListsAfterChange;
  }
}

void PeerTable::OnPeerList(const std::vector<PeerUpdate>& list, BootTime now) {
  for (const PeerUpdate& update : list) {
    const auto found = peers_.find(update.ip);
    // Otherwise entries would keep exchanging updates about a lost peer
    // forever.
    if (found == peers_.end() && update.state == State::kLost) continue;
    const std::size_t remaining =
        found == peers_.end() ? 0 : found->second.transmissions_left;
    ApplyUpdate(update, now);
    // The update is not sent on: other entries get it from the peer lists that
    // they request.
    const auto known = peers_.find(update.ip);
    if (known != peers_.end()) known->second.transmissions_left = remaining;
  }
}

std::vector<std::string> PeerTable::TakeLostPeers(BootTime now) {
  const bool was_paused = last_round_time_ != BootTime{} &&
                          now - last_round_time_ > kPauseThreshold;
  last_round_time_ = now;
  if (was_paused) probes_.clear();
  std::erase_if(probes_, [&](const auto& item) {
    const auto found = peers_.find(item.first);
    if (found == peers_.end() ||
        found->second.last_received_at >= item.second.started_at) {
      return true;
    }
    if (item.second.rounds < limits_.probe_rounds) return false;
    Peer& peer = found->second;
    if (peer.state == State::kAlive) {
      SetState(peer, State::kSuspected, now);
      ScheduleDissemination(peer);
    }
    return true;
  });
  std::vector<std::string> lost;
  for (auto& [ip, peer] : peers_) {
    if (peer.state == State::kSuspected) {
      if (was_paused) peer.state_changed_at = now;
      if (now - peer.state_changed_at >= limits_.suspicion_timeout) {
        SetState(peer, State::kLost, now);
        ScheduleDissemination(peer);
      }
    }
    if (std::exchange(peer.loss_unreported, false)) lost.push_back(ip);
  }
  std::erase_if(peers_, [&](const auto& item) {
    const Peer& peer = item.second;
    return !peer.is_seed && !IsAlive(peer) &&
           now - peer.state_changed_at > limits_.unreachable_retention;
  });
  return lost;
}

std::vector<std::string> PeerTable::SelectAliveTargets(std::size_t max_count) {
  std::vector<std::string> targets = AlivePeersAfter(last_digest_target_);
  if (targets.size() > max_count) targets.resize(max_count);
  if (!targets.empty()) last_digest_target_ = targets.back();
  return targets;
}

std::vector<std::string> PeerTable::SelectDigestTargets(std::size_t max_count) {
  std::vector<std::string> targets = SelectAliveTargets(max_count);
  std::vector<std::string> unreachable;
  for (const auto& [ip, peer] : peers_) {
    if (!IsAlive(peer)) unreachable.push_back(ip);
  }
  std::ranges::sample(unreachable, std::back_inserter(targets), 1, random_);
  return targets;
}

void PeerTable::AddProbe(const std::string& ip, BootTime now) {
  if (IsAlive(ip) && probes_.size() < limits_.max_concurrent_probes) {
    probes_.try_emplace(ip, Probe{now, 0});
  }
}

std::optional<std::string> PeerTable::NextRingSuccessor() {
  const std::uint64_t own = membership::StableHash(own_ip_);
  std::vector<std::pair<std::uint64_t, const std::string*>> successors;
  for (const auto& [ip, peer] : peers_) {
    if (IsAlive(peer)) successors.emplace_back(peer.ring_position - own, &ip);
  }
  if (successors.empty()) return std::nullopt;
  const std::size_t turn = ring_probe_count_++ %
                           std::min(limits_.ring_successors, successors.size());
  const auto next = successors.begin() + static_cast<std::ptrdiff_t>(turn);
  std::ranges::nth_element(successors, next);
  return *next->second;
}

std::vector<std::string> PeerTable::SelectProbeTargets(BootTime now) {
  if (const auto next = NextRingSuccessor()) AddProbe(*next, now);
  std::vector<std::string> targets;
  for (auto& [ip, probe] : probes_) {
    ++probe.rounds;
    targets.push_back(ip);
    if (probe.rounds == limits_.probe_rounds) targets.push_back(ip);
  }
  return targets;
}

std::vector<PeerUpdate> PeerTable::TakeUpdates(std::size_t recipients) {
  // Suspicions time out, so that they and their refutations go first. Losses
  // follow: whoever knows of the suspicion concludes them by itself. Then those
  // with the most remaining transmissions.
  using Urgency = std::pair<int, std::size_t>;
  const auto rank = [](const Peer& peer) {
    if (peer.state == State::kSuspected || peer.is_refutation) return 2;
    return peer.state == State::kLost ? 1 : 0;
  };
  std::vector<std::pair<Urgency, const std::string*>> pending;
  for (const auto& [ip, peer] : peers_) {
    if (peer.transmissions_left == 0) continue;
    pending.emplace_back(Urgency(rank(peer), peer.transmissions_left), &ip);
  }
  const std::size_t max_count =
      std::min(pending.size(), limits_.max_updates_per_digest);
  // Shuffled so that entries with the same pending updates do not all send the
  // same ones first.
  std::ranges::shuffle(pending, random_);
  std::ranges::partial_sort(
      pending, pending.begin() + static_cast<std::ptrdiff_t>(max_count),
      std::greater<>(), [](const auto& item) { return item.first; });
  pending.resize(max_count);
  std::vector<PeerUpdate> updates;
  for (const auto& [urgency, ip] : pending) {
    Peer& peer = peers_[*ip];
    peer.transmissions_left -= std::min(recipients, peer.transmissions_left);
    updates.push_back({*ip, peer.version, peer.state, peer.reaches_store});
  }
  return updates;
}

std::vector<PeerUpdate> PeerTable::PeerList() const {
  std::vector<PeerUpdate> list;
  for (const auto& [ip, peer] : peers_) {
    // An address without any update was never known to be alive.
    if (!IsAlive(peer) && peer.version == 0) continue;
    list.push_back({ip, peer.version, peer.state, peer.reaches_store});
  }
  list.push_back({own_ip_, own_version_, State::kAlive, own_reaches_store_});
  return list;
}

std::optional<std::string> PeerTable::TakeListSource(BootTime now) {
  const auto since_last = now - last_peer_list_request_;
  if (differing_peers_.size() >= limits_.differing_digests &&
      since_last >= differing_list_interval_) {
    last_peer_list_request_ = now;
    differing_list_interval_ =
        std::min(2 * differing_list_interval_, limits_.peer_list_interval);
    return differing_peers_.extract(differing_peers_.begin()).value();
  }
  const auto wait = pending_peer_lists_ > 0
                        ? limits_.peer_list_interval_after_change
                        : limits_.peer_list_interval;
  if (since_last < wait) return std::nullopt;
  std::vector<std::string> source;
  std::ranges::sample(AlivePeers(), std::back_inserter(source), 1, random_);
  if (source.empty()) return std::nullopt;
  last_peer_list_request_ = now;
  pending_peer_lists_ = std::max(0, pending_peer_lists_ - 1);
  return source.front();
}

std::vector<std::string> PeerTable::AlivePeers() const {
  std::vector<std::string> alive;
  for (const auto& [ip, peer] : peers_) {
    if (IsAlive(peer)) alive.push_back(ip);
  }
  return alive;
}

std::vector<std::string> PeerTable::AlivePeersAfter(
    const std::string& last_peer) const {
  std::vector<std::string> alive = AlivePeers();
  std::ranges::rotate(alive, std::ranges::upper_bound(alive, last_peer));
  return alive;
}

std::vector<std::string> PeerTable::PeersAliveFor(
    std::chrono::milliseconds time, BootTime now) const {
  std::vector<std::string> alive;
  for (const auto& [ip, peer] : peers_) {
    if (IsAlive(peer) && now - peer.alive_since >= time) alive.push_back(ip);
  }
  return alive;
}

bool PeerTable::IsAlive(const std::string& ip) const {
  const auto found = peers_.find(ip);
  return found != peers_.end() && IsAlive(found->second);
}

bool PeerTable::AnyReachesStore() const {
  return std::ranges::any_of(peers_, [](const auto& item) {
    return IsAlive(item.second) && item.second.reaches_store;
  });
}

template <typename Predicate>
std::size_t PeerTable::CountRankedBefore(std::string_view key,
                                         Predicate&& predicate) const {
  std::vector<std::string> ranked = {own_ip_};
  for (const auto& [ip, peer] : peers_) {
    if (predicate(peer)) ranked.push_back(ip);
  }
  const auto order = membership::RendezvousOrder(key, std::move(ranked));
  return static_cast<std::size_t>(std::ranges::find(order, own_ip_) -
                                  order.begin());
}

std::size_t PeerTable::CountStoreReachersRankedBefore(
    std::string_view key) const {
  return CountRankedBefore(key, [](const Peer& peer) {
    return IsAlive(peer) && peer.reaches_store;
  });
}

std::size_t PeerTable::CountPeersRankedBefore(std::string_view key) const {
  return CountRankedBefore(key, [](const Peer& peer) { return IsAlive(peer); });
}

}  // namespace balsam::gossip
