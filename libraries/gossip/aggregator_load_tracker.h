// Tracks what the aggregators were sent of this entry's own load. Each is sent
// only the load of the servers that it aggregates, so the traffic of an entry
// depends on its requests and not on the size of the fleet.
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

class AggregatorLoadTracker {
 public:
  // Datagrams may be lost, so unchanged load is sent again at this interval.
  static constexpr std::chrono::milliseconds kRefreshInterval{1000};
  // How many times it is sent that a server has no load any more.
  static constexpr int kZeroTransmissions = 3;

  // Returns the aggregators of a server, sorted and without duplicates.
  using AggregatorLookup =
      std::function<std::vector<std::string>(std::uint32_t server)>;

  // Returns what each aggregator has to be sent now, given the full load of
  // this entry, and records it as sent.
  std::map<std::string, dispatch::UsageByServer> TakeUpdates(
      const dispatch::UsageByServer& load,
      const AggregatorLookup& aggregators_of, BootTime now);

  // The aggregator lost what it was sent: the load of its servers is sent
  // again.
  void Forget(const std::string& aggregator);

 private:
  struct Sent {
    dispatch::Usage usage;
    std::vector<std::string> aggregators;
    BootTime sent_at;
    // Consecutive transmissions of a load of zero.
    int zero_transmissions = 0;
  };

  std::map<std::uint32_t, Sent> sent_;
};

}  // namespace balsam::gossip
