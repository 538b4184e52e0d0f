// Liveness of peers, the news of it, and the choice of whom to tell.
#include "libraries/gossip/peer_table.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "libraries/membership/rendezvous.h"

namespace balsam::gossip {
namespace {

using State = PeerNews::State;

// News is told in so many digests for each doubling of the fleet. In SWIM's
// analysis three leave less than one entry in a thousand without it; two more
// are for what overtakes it, datagrams that are lost, and readers that are
// away.
constexpr std::size_t kTellingsPerDoubling = 5;
// A round that comes this late was not late alone: this process stood still,
// and what it did not hear meanwhile tells nothing.
constexpr std::chrono::milliseconds kStoodStill{600};

// Lists of different peers that are asked for after an address was new: each
// may lack some that others know.
constexpr int kListsAfterNews = 4;

bool Overrides(const PeerNews& news, std::uint32_t standing, State state) {
  if (news.standing != standing) return news.standing > standing;
  return news.state > state;
}

}  // namespace

PeerTable::Peer* PeerTable::Learn(const std::string& ip, BootTime now) {
  if (ip.empty() || ip == own_ip_) return nullptr;
  const auto [found, added] = peers_.try_emplace(ip);
  if (added) {
    found->second.since = now;
    found->second.ring_position = membership::StableHash(ip);
    lists_wanted_ = kListsAfterNews;
  }
  return &found->second;
}

void PeerTable::SetSeeds(const std::vector<std::string>& ips, BootTime now) {
  for (auto& [ip, peer] : peers_) peer.is_seed = false;
  for (const std::string& ip : ips) {
    if (Peer* peer = Learn(ip, now); peer != nullptr) peer->is_seed = true;
  }
}

void PeerTable::SetReachesStore(bool reaches_store) {
  if (std::exchange(own_reaches_store_, reaches_store) == reaches_store) return;
  ++own_standing_;
}

void PeerTable::SetState(Peer& peer, State state, BootTime now) {
  if (IsAlive(peer) && state == State::kLost) peer.lost_untold = true;
  if (state == State::kAlive) peer.lost_untold = false;
  if (!IsAlive(peer) && state != State::kLost) peer.alive_since = now;
  peer.state = state;
  peer.since = now;
}

void PeerTable::Tell(Peer& peer) {
  // Of a start that nobody had doubted, lists tell, too.
  const bool is_plain = peer.state == State::kAlive && peer.standing <= 1;
  peer.left_to_tell =
      (is_plain ? 1 : kTellingsPerDoubling) * std::bit_width(peers_.size() + 1);
}

void PeerTable::OnHeard(Peer& peer, BootTime now) {
  peer.heard = now;
  if (peer.state == State::kAlive) return;
  // Overrides whatever said that it is away.
  ++peer.standing;
  SetState(peer, State::kAlive, now);
  Tell(peer);
}

PeerTable::News PeerTable::OnDigest(const std::string& ip, const Digest& digest,
                                    BootTime now) {
  Peer* peer = Learn(ip, now);
  if (peer == nullptr) return News::kNone;
  const bool joined = !IsAlive(*peer);
  OnHeard(*peer, now);
  if (digest.standing > peer->standing) {
    peer->standing = digest.standing;
    peer->reaches_store = digest.reaches_store;
    Tell(*peer);
  }
  for (const PeerNews& news : digest.news) OnNews(news, now);
  const bool restarted = peer->incarnation != digest.incarnation;
  if (!restarted && digest.sequence <= peer->sequence) return News::kNone;
  const bool known = peer->incarnation != 0;
  peer->incarnation = digest.incarnation;
  peer->sequence = digest.sequence;
  // Of the same standing, or of one that its sender has not heard of.
  peer->reaches_store = digest.reaches_store;
  if (restarted && known) {
    peer->load_sequence = 0;
    peer->alive_since = now;
    return News::kRestarted;
  }
  return joined ? News::kJoined : News::kNone;
}

bool PeerTable::OnLoadUpdate(const std::string& ip, std::uint64_t sequence,
                             BootTime now) {
  Peer* peer = Learn(ip, now);
  if (peer == nullptr || sequence <= peer->load_sequence) return false;
  peer->load_sequence = sequence;
  if (IsAlive(*peer)) OnHeard(*peer, now);
  return true;
}

void PeerTable::OnNewsOfSelf(const PeerNews& news) {
  const bool is_wrong =
      news.state != State::kAlive || news.reaches_store != own_reaches_store_;
  if (news.standing > own_standing_) own_standing_ = news.standing;
  if (is_wrong && news.standing == own_standing_) ++own_standing_;
}

void PeerTable::OnNews(const PeerNews& news, BootTime now) {
  if (news.ip == own_ip_) {
    OnNewsOfSelf(news);
    return;
  }
  Peer* peer = Learn(news.ip, now);
  if (peer == nullptr || !Overrides(news, peer->standing, peer->state)) return;
  peer->standing = news.standing;
  Tell(*peer);
  if (news.state == State::kSuspected) AskListsIfMany();
  if (news.state != State::kAlive && now - peer->heard < limits_.recent) {
    ++peer->standing;
    SetState(*peer, State::kAlive, now);
    return;
  }
  peer->reaches_store = news.reaches_store;
  if (news.state != peer->state) SetState(*peer, news.state, now);
}

void PeerTable::AskListsIfMany() {
  const auto untold = std::ranges::count_if(peers_, [](const auto& item) {
    return item.second.state != State::kAlive && item.second.left_to_tell > 0;
  });
  if (std::cmp_greater(untold, limits_.away_told_by_news)) {
    lists_wanted_ = kListsAfterNews;
  }
}

void PeerTable::OnList(const std::vector<PeerNews>& list, BootTime now) {
  for (const PeerNews& news : list) {
    const auto found = peers_.find(news.ip);
    // Or entries would tell each other of one that is gone for ever.
    if (found == peers_.end() && news.state == State::kLost) continue;
    const std::size_t left =
        found == peers_.end() ? 0 : found->second.left_to_tell;
    OnNews(news, now);
    // Others get it by their own lists.
    const auto known = peers_.find(news.ip);
    if (known != peers_.end()) known->second.left_to_tell = left;
  }
}

std::vector<std::string> PeerTable::TakeLost(BootTime now) {
  const bool stood_still =
      last_round_ != BootTime{} && now - last_round_ > kStoodStill;
  last_round_ = now;
  if (stood_still) asked_.clear();
  std::erase_if(asked_, [&](const auto& item) {
    const auto found = peers_.find(item.first);
    if (found == peers_.end() || found->second.heard >= item.second.since) {
      return true;
    }
    if (item.second.rounds < limits_.rounds_asked) return false;
    Peer& peer = found->second;
    if (peer.state == State::kAlive) {
      SetState(peer, State::kSuspected, now);
      Tell(peer);
    }
    return true;
  });
  std::vector<std::string> lost;
  for (auto& [ip, peer] : peers_) {
    if (peer.state == State::kSuspected) {
      if (stood_still) peer.since = now;
      if (now - peer.since >= limits_.suspicion_time) {
        SetState(peer, State::kLost, now);
        Tell(peer);
      }
    }
    if (std::exchange(peer.lost_untold, false)) lost.push_back(ip);
  }
  std::erase_if(peers_, [&](const auto& item) {
    const Peer& peer = item.second;
    return !peer.is_seed && !IsAlive(peer) && now - peer.since > limits_.memory;
  });
  return lost;
}

std::vector<std::string> PeerTable::NextTargets(std::size_t most) {
  std::vector<std::string> targets = AliveAfter(last_target_);
  if (targets.size() > most) targets.resize(most);
  if (!targets.empty()) last_target_ = targets.back();
  return targets;
}

std::vector<std::string> PeerTable::Targets(std::size_t most) {
  std::vector<std::string> targets = NextTargets(most);
  std::vector<std::string> silent;
  for (const auto& [ip, peer] : peers_) {
    if (!IsAlive(peer)) silent.push_back(ip);
  }
  std::ranges::sample(silent, std::back_inserter(targets), 1, random_);
  return targets;
}

void PeerTable::AskNext(const std::string& ip, BootTime now) {
  if (IsAlive(ip) && asked_.size() < limits_.asked_at_once) {
    asked_.try_emplace(ip, Asked{now, 0});
  }
}

std::optional<std::string> PeerTable::NextOnRing() {
  const std::uint64_t own = membership::StableHash(own_ip_);
  std::vector<std::pair<std::uint64_t, const std::string*>> ahead;
  for (const auto& [ip, peer] : peers_) {
    if (IsAlive(peer)) ahead.emplace_back(peer.ring_position - own, &ip);
  }
  if (ahead.empty()) return std::nullopt;
  const std::size_t turn =
      asked_turn_++ % std::min(limits_.ring_successors, ahead.size());
  const auto next = ahead.begin() + static_cast<std::ptrdiff_t>(turn);
  std::ranges::nth_element(ahead, next);
  return *next->second;
}

std::vector<std::string> PeerTable::TakeAsked(BootTime now) {
  if (const auto next = NextOnRing()) AskNext(*next, now);
  std::vector<std::string> asked;
  for (auto& [ip, state] : asked_) {
    ++state.rounds;
    asked.push_back(ip);
    if (state.rounds == limits_.rounds_asked) asked.push_back(ip);
  }
  return asked;
}

std::vector<PeerNews> PeerTable::TakeNews(std::size_t readers) {
  // That someone is away goes first, since each suspicion has its time; then
  // what was told least.
  using Urgency = std::pair<bool, std::size_t>;
  std::vector<std::pair<Urgency, const std::string*>> untold;
  for (const auto& [ip, peer] : peers_) {
    if (peer.left_to_tell == 0) continue;
    untold.emplace_back(Urgency(peer.state != State::kAlive, peer.left_to_tell),
                        &ip);
  }
  const std::size_t most = std::min(untold.size(), limits_.told_news);
  // Entries that know the same do not tell the same first.
  std::ranges::shuffle(untold, random_);
  std::ranges::partial_sort(
      untold, untold.begin() + static_cast<std::ptrdiff_t>(most),
      std::greater<>(), [](const auto& item) { return item.first; });
  untold.resize(most);
  std::vector<PeerNews> told;
  for (const auto& [urgency, ip] : untold) {
    Peer& peer = peers_[*ip];
    peer.left_to_tell -= std::min(readers, peer.left_to_tell);
    told.push_back({*ip, peer.standing, peer.state, peer.reaches_store});
  }
  return told;
}

std::vector<PeerNews> PeerTable::List() const {
  std::vector<PeerNews> list;
  for (const auto& [ip, peer] : peers_) {
    // One that is only named was never known to be alive.
    if (!IsAlive(peer) && peer.standing == 0) continue;
    list.push_back({ip, peer.standing, peer.state, peer.reaches_store});
  }
  list.push_back({own_ip_, own_standing_, State::kAlive, own_reaches_store_});
  return list;
}

std::optional<std::string> PeerTable::TakeListSource(BootTime now) {
  const auto wait = lists_wanted_ > 0 ? limits_.list_while_learning
                                      : limits_.list_in_any_case;
  if (now - list_asked_ < wait) return std::nullopt;
  std::vector<std::string> source;
  std::ranges::sample(Alive(), std::back_inserter(source), 1, random_);
  if (source.empty()) return std::nullopt;
  list_asked_ = now;
  lists_wanted_ = std::max(0, lists_wanted_ - 1);
  return source.front();
}

std::vector<std::string> PeerTable::Alive() const {
  std::vector<std::string> alive;
  for (const auto& [ip, peer] : peers_) {
    if (IsAlive(peer)) alive.push_back(ip);
  }
  return alive;
}

std::vector<std::string> PeerTable::AliveAfter(const std::string& last) const {
  std::vector<std::string> alive = Alive();
  std::ranges::rotate(alive, std::ranges::upper_bound(alive, last));
  return alive;
}

std::vector<std::string> PeerTable::AliveFor(std::chrono::milliseconds time,
                                             BootTime now) const {
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

template <typename Counts>
std::size_t PeerTable::RankedBefore(std::string_view key,
                                    Counts&& counts) const {
  std::vector<std::string> ranked = {own_ip_};
  for (const auto& [ip, peer] : peers_) {
    if (counts(peer)) ranked.push_back(ip);
  }
  const auto order = membership::RendezvousOrder(key, std::move(ranked));
  return static_cast<std::size_t>(std::ranges::find(order, own_ip_) -
                                  order.begin());
}

std::size_t PeerTable::StoreReachersBefore(std::string_view key) const {
  return RankedBefore(key, [](const Peer& peer) {
    return IsAlive(peer) && peer.reaches_store;
  });
}

std::size_t PeerTable::PeersBefore(std::string_view key) const {
  return RankedBefore(key, [](const Peer& peer) { return IsAlive(peer); });
}

}  // namespace balsam::gossip
