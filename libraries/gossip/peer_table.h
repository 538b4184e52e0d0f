// The other entries: found through seeds, which may be stale, and through what
// peers say of each other. Who is away is found out by asking one peer in each
// round, and told on as news, so that what an entry sends and how soon it knows
// do not depend on the size of the fleet (A. Das, I. Gupta, A. Motivala: SWIM,
// DSN 2002; here a suspicion is also refuted by whoever hears the suspected).
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "libraries/base/boot_clock.h"
#include "libraries/gossip/digest.h"

namespace balsam::gossip {

class PeerTable {
 public:
  struct Limits {
    // A peer that was asked in so many rounds and gave no sign of life is
    // suspected. Datagrams are lost, and each suspicion is told to all.
    int rounds_asked = 4;
    // Peers that are asked at once at most; more than one only while some are
    // silent.
    std::size_t asked_at_once = 8;
    // The peers that are asked in turn, those next to this entry on a ring of
    // hashed addresses: each is asked by so many others that it matters little
    // who of them is away, and soon by one of them, which chance does not grant
    // where many are lost at once.
    std::size_t ring_successors = 8;
    // A suspected peer is lost unless someone hears it within this time, which
    // is enough for the word to go round and back.
    std::chrono::milliseconds suspicion_time{600};
    // Whoever heard a peer this lately does not believe that it is away.
    std::chrono::milliseconds recent{300};
    // An address that does not answer is forgotten after this time, unless it
    // is a seed.
    std::chrono::milliseconds memory{20000};
    // News in one digest.
    std::size_t told_news = 32;
    // Where more peers than this are newly away, lists tell of them, too: each
    // piece of news goes to few readers, and some would hear late.
    std::size_t away_told_by_news = 8;
    // A list of all is asked for this long after the last one if there were new
    // addresses since; news alone would take long where many join at once.
    std::chrono::milliseconds list_while_learning{200};
    // And after this time in any case, so that parts of a fleet that lost each
    // other meet again.
    std::chrono::milliseconds list_in_any_case{10000};
  };

  PeerTable(std::string own_ip, Limits limits, std::uint64_t seed)
      : own_ip_(std::move(own_ip)), limits_(limits), random_(seed) {}

  void SetSeeds(const std::vector<std::string>& ips, BootTime now);
  // Whether this entry reached the store all the while lately.
  void SetReachesStore(bool reaches_store);

  enum class News { kNone, kJoined, kRestarted };
  // Takes a digest; an older one of the same life changes nothing but is a sign
  // of life.
  News OnDigest(const std::string& ip, const Digest& digest, BootTime now);
  // A peer told its load; false if something newer came before. The load of one
  // that was not heard yet counts, too, since it is told only once; it is alive
  // from its first digest on.
  bool OnLoadUpdate(const std::string& ip, std::uint64_t sequence,
                    BootTime now);
  // Takes all that another entry knows of, those that are away included.
  void OnList(const std::vector<PeerNews>& list, BootTime now);
  // Peers that were lost since the last call, which is to be made each round.
  std::vector<std::string> TakeLost(BootTime now);

  // Up to `most` addresses to send this round's digest to, each alive one in
  // its turn; and one of those that have not been heard.
  std::vector<std::string> Targets(std::size_t most);
  // The same without one that was not heard.
  std::vector<std::string> NextTargets(std::size_t most);
  // Peers to be asked for a digest in this round: the next in turn, and again
  // those that were asked before and not heard since. Twice in the last round,
  // so that lost datagrams alone seldom make a suspicion.
  std::vector<std::string> TakeAsked(BootTime now);
  // This peer did not answer something else: it is asked, too.
  void AskNext(const std::string& ip, BootTime now);
  // The news to tell in a digest that goes to so many readers.
  std::vector<PeerNews> TakeNews(std::size_t readers);
  // Another entry to ask for its list; nothing if it is not time.
  std::optional<std::string> TakeListSource(BootTime now);
  std::vector<PeerNews> List() const;

  std::vector<std::string> Alive() const;
  // The same, beginning with the one behind `last`: who was not reached in one
  // round goes first in the next.
  std::vector<std::string> AliveAfter(const std::string& last) const;
  bool IsAlive(const std::string& ip) const;
  // Those that have been alive, in one life as far as is known, for so long.
  std::vector<std::string> AliveFor(std::chrono::milliseconds time,
                                    BootTime now) const;
  // Whether any peer that is alive reached the store all the while lately.
  bool AnyReachesStore() const;
  // How many of those rank before this entry for `key`; how many of all that
  // are alive do.
  std::size_t StoreReachersBefore(std::string_view key) const;
  std::size_t PeersBefore(std::string_view key) const;

  std::uint32_t own_standing() const { return own_standing_; }
  bool own_reaches_store() const { return own_reaches_store_; }

 private:
  struct Peer {
    // Of its last digest; zero if none came.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    // Of its last load; a digest may overtake one.
    std::uint64_t load_sequence = 0;
    // What is known, by others too. An address that was only named is lost with
    // a standing of zero, which any news overrides.
    std::uint32_t standing = 0;
    PeerNews::State state = PeerNews::State::kLost;
    bool reaches_store = false;
    // Since when it is suspected or lost.
    BootTime since;
    // Since when it is alive.
    BootTime alive_since;
    // When it was last heard by this entry itself; zero if it never was.
    BootTime heard;
    bool is_seed = false;
    // Of its address, hashed.
    std::uint64_t ring_position = 0;
    // Datagrams that are still to carry its news.
    std::size_t left_to_tell = 0;
    // `TakeLost` has to return it.
    bool lost_untold = false;
  };

  // A peer that was asked and has not been heard since.
  struct Asked {
    BootTime since;
    // In how many rounds it was asked.
    int rounds = 0;
  };

  static bool IsAlive(const Peer& peer) {
    return peer.state != PeerNews::State::kLost;
  }
  Peer* Learn(const std::string& ip, BootTime now);
  // It was heard by this entry itself.
  void OnHeard(Peer& peer, BootTime now);
  void OnNews(const PeerNews& news, BootTime now);
  void OnNewsOfSelf(const PeerNews& news);
  // Lists of others are wanted where many peers are newly away.
  void AskListsIfMany();
  void SetState(Peer& peer, PeerNews::State state, BootTime now);
  // Of the peers for which `counts` holds.
  template <typename Counts>
  std::size_t RankedBefore(std::string_view key, Counts&& counts) const;
  // The next of those that this entry asks in turn.
  std::optional<std::string> NextOnRing();
  // Its news is to be told as often as the fleet's size asks for.
  void Tell(Peer& peer);

  std::string own_ip_;
  Limits limits_;
  std::minstd_rand random_;
  std::map<std::string, Peer> peers_;
  std::uint32_t own_standing_ = 1;
  bool own_reaches_store_ = false;
  // Peers that are being asked.
  std::map<std::string, Asked> asked_;
  // Counts the peers on the ring that were asked.
  std::size_t asked_turn_ = 0;
  BootTime last_round_;
  // When a list was last asked for, and how many more are to be soon.
  BootTime list_asked_;
  int lists_wanted_ = 1;
  // The last peer whose turn it was.
  std::string last_target_;
};

}  // namespace balsam::gossip
