// Membership of the fleet and failure detection, after SWIM (A. Das, I. Gupta,
// A. Motivala, DSN 2002). Entries are discovered through seeds, which may be
// stale, and through the updates of peers. Each round probes one peer, and
// state changes are disseminated with digests, so neither the traffic of an
// entry nor its detection time depends on the size of the fleet. Unlike in
// SWIM, any entry that receives a message from a suspected peer refutes the
// suspicion.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "libraries/base/boot_clock.h"
#include "libraries/gossip/digest.h"

namespace balsam::gossip {

class PeerTable {
 public:
  struct Limits {
    // A peer that was probed in this many rounds without a sign of life is
    // suspected. Datagrams get lost, and every suspicion is disseminated to
    // the whole fleet.
    int probe_rounds = 4;
    // Maximum number of peers probed at the same time; more than one only while
    // some do not respond.
    std::size_t max_concurrent_probes = 8;
    // Number of peers probed in turn: the successors of this entry on a ring of
    // hashed addresses. Each peer is thus probed by this many others, so it is
    // probed soon even if some of them are unreachable. Random selection does
    // not guarantee that when many peers are lost at once.
    std::size_t ring_successors = 8;
    // A suspected peer is lost unless some entry receives a message from it
    // within this time, which allows the suspicion to spread and its refutation
    // to return.
    std::chrono::milliseconds suspicion_timeout{600};
    // An entry that received a message from a peer this recently rejects
    // updates that call the peer suspected or lost.
    std::chrono::milliseconds recently_received_window{300};
    // An unreachable address is dropped after this time unless it is a seed.
    std::chrono::milliseconds unreachable_retention{20000};
    std::size_t max_updates_per_digest = 32;
    // If more peers than this have been newly suspected or lost, peer lists are
    // requested as well: each update reaches few recipients at a time, and some
    // entries would learn of it late.
    std::size_t peer_list_threshold = 8;
    // Interval between requests for peer lists while some are still to be
    // requested after a change; updates alone would take long when many entries
    // join at once.
    std::chrono::milliseconds peer_list_interval_after_change{200};
    // Interval between requests otherwise, so that parts of a fleet that were
    // separated find each other again.
    std::chrono::milliseconds peer_list_interval{10000};
    // A peer list is also requested once this many peers in a row consider
    // other entries alive than this one, which has not changed its view for a
    // while: it missed an update that is no longer disseminated.
    std::size_t differing_digests = 3;
    std::chrono::milliseconds settling_time{300};
    // The shortest interval between such requests; doubled each time that one
    // changes nothing.
    std::chrono::milliseconds differing_list_interval{400};
  };

  PeerTable(std::string own_ip, Limits limits, std::uint64_t seed)
      : own_ip_(std::move(own_ip)), limits_(limits), random_(seed) {}

  void SetSeeds(const std::vector<std::string>& ips, BootTime now);
  // Whether this entry has recently been able to reach the store without
  // interruption.
  void SetReachesStore(bool reaches_store);

  enum class PeerEvent { kNone, kJoined, kRestarted };
  // Applies a digest. An older one of the same incarnation only counts as a
  // sign of life and contributes its peer updates.
  PeerEvent OnDigest(const std::string& ip, const Digest& digest, BootTime now);
  // Records a load update of a peer. Returns false if a newer one was received
  // before. Updates of peers without a digest so far are accepted, since they
  // are sent only once; such a peer is alive from its first digest on.
  bool OnLoadUpdate(const std::string& ip, std::uint64_t sequence,
                    BootTime now);
  // Applies the peer list of another entry, which includes suspected and lost
  // peers.
  void OnPeerList(const std::vector<PeerUpdate>& list, BootTime now);
  // Advances failure detection by one round and returns the peers that were
  // lost since the last call. Must be called once in each round.
  std::vector<std::string> TakeLostPeers(BootTime now);

  // Returns up to `max_count` recipients of this round's digest: alive peers in
  // turn, and one address that is not alive.
  std::vector<std::string> SelectDigestTargets(std::size_t max_count);
  // Returns alive peers only.
  std::vector<std::string> SelectAliveTargets(std::size_t max_count);
  // Returns the peers to request a digest from in this round: the next ring
  // successor, and all with a pending probe. A peer occurs twice in the last
  // round of its probe, so that lost datagrams alone rarely cause a suspicion.
  std::vector<std::string> SelectProbeTargets(BootTime now);
  // Starts probing a peer that failed to answer another message.
  void AddProbe(const std::string& ip, BootTime now);
  // Returns the updates for a digest to this many recipients.
  std::vector<PeerUpdate> TakeUpdates(std::size_t recipients);
  // Returns a peer to request a peer list from; nothing if none is due.
  std::optional<std::string> TakeListSource(BootTime now);
  std::vector<PeerUpdate> PeerList() const;

  std::vector<std::string> AlivePeers() const;
  // Returns the alive peers, starting with the one after `last_peer`, so that
  // peers that were not reached in one round come first in the next.
  std::vector<std::string> AlivePeersAfter(const std::string& last_peer) const;
  bool IsAlive(const std::string& ip) const;
  // Returns the peers that have been alive for this long without a known
  // restart.
  std::vector<std::string> PeersAliveFor(std::chrono::milliseconds time,
                                         BootTime now) const;
  // Whether any alive peer reaches the store.
  bool AnyReachesStore() const;
  // Number of alive peers that reach the store, or of all alive peers, with a
  // higher rendezvous rank for `key` than this entry.
  std::size_t CountStoreReachersRankedBefore(std::string_view key) const;
  std::size_t CountPeersRankedBefore(std::string_view key) const;

  // Of the alive peers and this entry, see `Digest::membership_hash`.
  std::uint32_t MembershipHash() const;

  std::uint32_t own_version() const { return own_version_; }
  bool own_reaches_store() const { return own_reaches_store_; }

 private:
  struct Peer {
    // Of its last digest; zero if none was received.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    // Of its last load update, which may be overtaken by a digest.
    std::uint64_t load_sequence = 0;
    // Known directly or from other entries. A new address starts as lost with
    // state version zero, which any update supersedes.
    std::uint32_t version = 0;
    PeerUpdate::State state = PeerUpdate::State::kLost;
    bool reaches_store = false;
    BootTime state_changed_at;
    BootTime alive_since;
    // When this entry last received a message from the peer; zero if it never
    // did.
    BootTime last_received_at;
    bool is_seed = false;
    // Hash of its address.
    std::uint64_t ring_position = 0;
    // Number of recipients that are still to be sent its state.
    std::size_t transmissions_left = 0;
    // Its state supersedes one that called it suspected or lost.
    bool is_refutation = false;
    // `TakeLostPeers` has yet to return it.
    bool loss_unreported = false;
  };

  // A peer that is being probed and has not sent a message since.
  struct Probe {
    BootTime started_at;
    // Number of rounds in which it was probed.
    int rounds = 0;
  };

  // A suspected peer counts as alive until it is lost.
  static bool IsAlive(const Peer& peer) {
    return peer.state != PeerUpdate::State::kLost;
  }
  // Returns null for this entry's own address.
  Peer* FindOrAdd(const std::string& ip, BootTime now);
  // Called when a message from the peer was received.
  void OnMessageReceived(Peer& peer, BootTime now);
  void ApplyUpdate(const PeerUpdate& update, BootTime now);
  void ApplyUpdateAboutSelf(const PeerUpdate& update);
  // Requests peer lists if many peers were newly suspected or lost.
  void RequestPeerListsIfManyUnreachable();
  void SetState(Peer& peer, PeerUpdate::State state, BootTime now);
  // Compares the sender's view of the fleet with that of this entry.
  void CompareViews(const std::string& ip, const Digest& digest, BootTime now);
  // Counts the peers for which `predicate` holds and that rank before this
  // entry for `key`.
  template <typename Predicate>
  std::size_t CountRankedBefore(std::string_view key,
                                Predicate&& predicate) const;
  std::optional<std::string> NextRingSuccessor();
  // Schedules the peer's state to be sent as often as the fleet's size
  // requires.
  void ScheduleDissemination(Peer& peer);

  std::string own_ip_;
  Limits limits_;
  std::minstd_rand random_;
  std::map<std::string, Peer> peers_;
  std::uint32_t own_version_ = 1;
  bool own_reaches_store_ = false;
  // Peers that are being probed.
  std::map<std::string, Probe> probes_;
  // Number of ring successors probed so far.
  std::size_t ring_probe_count_ = 0;
  BootTime last_round_time_;
  BootTime last_peer_list_request_;
  // Number of peer lists still to be requested at the shorter interval.
  int pending_peer_lists_ = 1;
  // When the set of alive peers last changed.
  BootTime view_changed_at_;
  // The senders of the last digests, as long as their views differ from that of
  // this entry.
  std::set<std::string> differing_peers_;
  // The interval between requests for their lists.
  std::chrono::milliseconds differing_list_interval_{
      limits_.differing_list_interval};
  // The last peer that was sent a digest in turn.
  std::string last_digest_target_;
};

}  // namespace balsam::gossip
