// Tracks which loads each peer was sent, so that messages carry only what
// changed since. Changes can then be sent immediately, while the full load
// could be sent a few times a second at most.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "libraries/base/boot_clock.h"
#include "libraries/dispatch/usage.h"

namespace balsam::gossip {

class LoadDeltaTracker {
 public:
  // Datagrams may be lost, so each peer is sent the full load at this interval.
  static constexpr std::chrono::milliseconds kRefreshInterval{3000};

  // Sets the current load of all servers.
  void Update(const dispatch::UsageByServer& load);

  struct Delta {
    // `load` holds all servers with a load that is not zero and replaces
    // everything that the peer was sent before.
    bool is_full = false;
    // Keyed by `dispatch::ServerKey`; zero for servers without load any more.
    dispatch::UsageByServer load;

    bool empty() const { return !is_full && load.empty(); }
  };
  // Whether `peer` has to be sent anything.
  bool HasDeltaFor(const std::string& peer, BootTime now) const;
  // Returns what `peer` has to be sent.
  Delta DeltaFor(const std::string& peer, BootTime now) const;
  // `peer` was sent the whole result of `DeltaFor`.
  void OnSent(const std::string& peer, BootTime now);
  // `peer` became unreachable: it is sent the full load when it returns.
  void Forget(const std::string& peer);

 private:
  struct Entry {
    dispatch::Usage usage;
    // The change that set `usage`.
    std::uint64_t change = 0;
  };
  struct PeerState {
    // All changes up to this one were sent.
    std::uint64_t change = 0;
    // When the full load was last sent.
    BootTime last_full_at;
  };

  // Drops entries without load that all peers were sent.
  void DropSentZeros();

  std::map<std::uint32_t, Entry> entries_;
  std::map<std::string, PeerState> peers_;
  // Increases with each change; the greatest change number of any entry.
  std::uint64_t last_change_ = 0;
};

}  // namespace balsam::gossip
