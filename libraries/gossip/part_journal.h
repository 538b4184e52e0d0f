// What the keepers of servers' books were told of this entry's own load. Each
// is told of its servers only, so that what an entry sends follows from its
// requests and not from the size of the fleet.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "libraries/base/boot_clock.h"
#include "libraries/dispatch/usage.h"

namespace balsam::gossip {

class PartJournal {
 public:
  // Datagrams may be lost: what did not change is told again after this time.
  static constexpr std::chrono::milliseconds kRefreshInterval{1000};
  // So often that a server has nothing any more.
  static constexpr int kZeroTellings = 3;

  // Sorted, without duplicates.
  using KeepersOf =
      std::function<std::vector<std::string>(std::uint32_t server)>;

  // What each keeper is to be told now, given this entry's whole load; it
  // counts as told.
  std::map<std::string, dispatch::UsageByServer> TakeNews(
      const dispatch::UsageByServer& load, const KeepersOf& keepers_of,
      BootTime now);

  // The keeper lost what it was told.
  void Forget(const std::string& keeper);

 private:
  struct Told {
    dispatch::Usage usage;
    std::vector<std::string> keepers;
    BootTime at;
    // Tellings of zero in a row.
    int zeros = 0;
  };

  std::map<std::uint32_t, Told> told_;
};

}  // namespace balsam::gossip
