// Liveness of peers and the choice of whom to tell.
#include "libraries/gossip/peer_table.h"

#include <algorithm>

namespace balsam::gossip {
namespace {

// Silent addresses that are tried in one round.
constexpr std::size_t kSilentTried = 2;

}  // namespace

bool PeerTable::IsAlive(const Peer& peer, BootTime now) const {
  return peer.heard != BootTime{} && now - peer.heard < limits_.silence;
}

void PeerTable::Learn(const std::string& ip, BootTime now) {
  if (ip.empty() || ip == own_ip_) return;
  const auto [found, added] = peers_.try_emplace(ip);
  if (added) found->second.learned = now;
}

void PeerTable::SetSeeds(const std::vector<std::string>& ips, BootTime now) {
  for (auto& [ip, peer] : peers_) peer.is_seed = false;
  for (const std::string& ip : ips) {
    Learn(ip, now);
    if (const auto found = peers_.find(ip); found != peers_.end()) {
      found->second.is_seed = true;
    }
  }
}

PeerTable::News PeerTable::OnDigest(const std::string& ip, const Digest& digest,
                                    BootTime now) {
  if (ip == own_ip_) return News::kNone;
  Learn(ip, now);
  Peer& peer = peers_[ip];
  const bool restarted = peer.incarnation != digest.incarnation;
  if (!restarted && digest.sequence <= peer.sequence) return News::kNone;
  const bool joined = !peer.reported_alive;
  const bool known = peer.incarnation != 0;
  peer.incarnation = digest.incarnation;
  peer.sequence = digest.sequence;
  peer.reaches_store = digest.reaches_store;
  peer.heard = now;
  peer.reported_alive = true;
  for (const std::string& named : digest.peers) Learn(named, now);
  if (restarted && known) return News::kRestarted;
  return joined ? News::kJoined : News::kNone;
}

bool PeerTable::OnLoadUpdate(const std::string& ip, std::uint64_t sequence,
                             BootTime now) {
  if (ip == own_ip_) return false;
  Learn(ip, now);
  const auto found = peers_.find(ip);
  if (found == peers_.end()) return false;
  Peer& peer = found->second;
  if (sequence <= peer.sequence) return false;
  peer.sequence = sequence;
  if (peer.reported_alive) peer.heard = now;
  return true;
}

std::vector<std::string> PeerTable::TakeSilent(BootTime now) {
  std::vector<std::string> silent;
  for (auto& [ip, peer] : peers_) {
    if (!peer.reported_alive || IsAlive(peer, now)) continue;
    peer.reported_alive = false;
    peer.learned = now;
    silent.push_back(ip);
  }
  std::erase_if(peers_, [&](const auto& item) {
    const Peer& peer = item.second;
    return !peer.is_seed && !IsAlive(peer, now) &&
           now - std::max(peer.heard, peer.learned) > limits_.memory;
  });
  return silent;
}

std::vector<std::string> PeerTable::Targets(BootTime now, std::size_t most) {
  std::vector<std::string> targets = AliveAfter(last_target_, now);
  if (targets.size() > most) targets.resize(most);
  if (!targets.empty()) last_target_ = targets.back();
  std::vector<std::string> silent;
  for (const auto& [ip, peer] : peers_) {
    if (!IsAlive(peer, now)) silent.push_back(ip);
  }
  std::ranges::shuffle(silent, random_);
  if (silent.size() > kSilentTried) silent.resize(kSilentTried);
  std::ranges::copy(silent, std::back_inserter(targets));
  return targets;
}

std::vector<std::string> PeerTable::Alive(BootTime now) const {
  std::vector<std::string> alive;
  for (const auto& [ip, peer] : peers_) {
    if (IsAlive(peer, now)) alive.push_back(ip);
  }
  return alive;
}

std::vector<std::string> PeerTable::AliveAfter(const std::string& last,
                                               BootTime now) const {
  std::vector<std::string> alive = Alive(now);
  std::ranges::rotate(alive, std::ranges::upper_bound(alive, last));
  return alive;
}

std::vector<std::string> PeerTable::Named(BootTime now) {
  std::vector<std::string> named = Alive(now);
  std::ranges::shuffle(named, random_);
  if (named.size() > limits_.named_peers) named.resize(limits_.named_peers);
  return named;
}

bool PeerTable::AnyReachesStore(BootTime now) const {
  return std::ranges::any_of(peers_, [&](const auto& item) {
    return IsAlive(item.second, now) && item.second.reaches_store;
  });
}

}  // namespace balsam::gossip
