// The other entries: found through seeds, which may be stale, and through what
// peers say of each other; alive while they are heard.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "libraries/base/boot_clock.h"
#include "libraries/gossip/digest.h"

namespace balsam::gossip {

class PeerTable {
 public:
  struct Limits {
    // A peer that is not heard for this long is taken to be away.
    std::chrono::milliseconds silence{1500};
    // An address that does not answer is forgotten after this time, unless it
    // is a seed.
    std::chrono::milliseconds memory{20000};
    // Addresses named in one digest: a new one is known everywhere within a
    // few rounds.
    std::size_t named_peers = 4;
  };

  PeerTable(std::string own_ip, Limits limits, std::uint64_t seed)
      : own_ip_(std::move(own_ip)), limits_(limits), random_(seed) {}

  void SetSeeds(const std::vector<std::string>& ips, BootTime now);

  enum class News { kNone, kJoined, kRestarted };
  // Takes a digest; an older one of the same life changes nothing.
  News OnDigest(const std::string& ip, const Digest& digest, BootTime now);
  // A peer told its load; false if something newer came before. The load of one
  // that was not heard yet counts, too, since it is told only once; it is alive
  // from its first digest on.
  bool OnLoadUpdate(const std::string& ip, std::uint64_t sequence,
                    BootTime now);
  // Peers that fell silent since the last call.
  std::vector<std::string> TakeSilent(BootTime now);

  // Up to `most` addresses to send this round's digest to: peers that are
  // alive, each in its turn; and a few of those that have not been heard.
  std::vector<std::string> Targets(BootTime now, std::size_t most);
  std::vector<std::string> Alive(BootTime now) const;
  // The same, beginning with the one behind `last`: who was not reached in one
  // round goes first in the next.
  std::vector<std::string> AliveAfter(const std::string& last,
                                      BootTime now) const;
  // Whether any peer that is alive reached the store all the while lately.
  bool AnyReachesStore(BootTime now) const;
  // Alive addresses to name to others.
  std::vector<std::string> Named(BootTime now);

 private:
  struct Peer {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    bool reaches_store = false;
    // Zero if it was never heard.
    BootTime heard;
    BootTime learned;
    bool is_seed = false;
    bool reported_alive = false;
  };

  bool IsAlive(const Peer& peer, BootTime now) const;
  void Learn(const std::string& ip, BootTime now);

  std::string own_ip_;
  Limits limits_;
  std::minstd_rand random_;
  std::map<std::string, Peer> peers_;
  // The last peer whose turn it was.
  std::string last_target_;
};

}  // namespace balsam::gossip
