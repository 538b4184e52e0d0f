// What each peer was last told of loads, so that a message holds only what is
// news to its reader. Changes then reach the others at once where whole loads
// could be sent a few times a second at most.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "libraries/base/boot_clock.h"
#include "libraries/dispatch/usage.h"

namespace balsam::gossip {

class LoadJournal {
 public:
  // Datagrams may be lost: a peer is told everything again after this time.
  static constexpr std::chrono::milliseconds kRefreshInterval{3000};

  // The load now, all of it.
  void Update(const dispatch::UsageByServer& load);

  struct News {
    // All that is not zero is told; what the reader knew before is void.
    bool whole = false;
    // By `dispatch::ServerKey`; zero where a server has nothing any more.
    dispatch::UsageByServer load;

    bool empty() const { return !whole && load.empty(); }
  };
  // Whether there is something that `peer` has not been told.
  bool HasNewsFor(const std::string& peer, BootTime now) const;
  // What that is.
  News NewsFor(const std::string& peer, BootTime now) const;
  // It was sent all of `NewsFor`.
  void OnTold(const std::string& peer, BootTime now);
  // It fell silent: it is told everything when it is heard again.
  void Forget(const std::string& peer);

 private:
  struct Entry {
    dispatch::Usage usage;
    // Number of the change that set `usage`.
    std::uint64_t change = 0;
  };
  struct Told {
    // All changes up to this one.
    std::uint64_t change = 0;
    // When it was last told everything.
    BootTime refreshed;
  };

  // Drops entries of zero that everyone knows of.
  void DropKnownZeros();

  std::map<std::uint32_t, Entry> entries_;
  std::map<std::string, Told> told_;
  // Counts up; no entry's change is greater.
  std::uint64_t last_change_ = 0;
};

}  // namespace balsam::gossip
