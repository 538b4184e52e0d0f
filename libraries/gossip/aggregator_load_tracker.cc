// Compares the current load with what the aggregators were last sent.
#include "libraries/gossip/aggregator_load_tracker.h"

#include <utility>

namespace balsam::gossip {

using dispatch::Usage;

std::map<std::string, dispatch::UsageByServer>
AggregatorLoadTracker::TakeUpdates(const dispatch::UsageByServer& load,
                                   const AggregatorLookup& aggregators_of,
                                   BootTime now) {
  for (const auto& [server, usage] : load) {
    if (dispatch::RoundForReport(usage) != Usage{}) sent_.try_emplace(server);
  }
  std::map<std::string, dispatch::UsageByServer> updates;
  for (auto& [server, sent] : sent_) {
    const auto found = load.find(server);
    const Usage usage =
        found == load.end() ? Usage{} : dispatch::RoundForReport(found->second);
    std::vector<std::string> aggregators = aggregators_of(server);
    if (usage == sent.usage && aggregators == sent.aggregators &&
        now - sent.sent_at < kRefreshInterval) {
      continue;
    }
    sent.zero_transmissions =
        usage == Usage{} ? sent.zero_transmissions + 1 : 0;
    sent.usage = usage;
    sent.aggregators = std::move(aggregators);
    sent.sent_at = now;
    for (const std::string& aggregator : sent.aggregators) {
      updates[aggregator][server] = usage;
    }
  }
  std::erase_if(sent_, [](const auto& item) {
    return item.second.zero_transmissions >= kZeroTransmissions;
  });
  return updates;
}

void AggregatorLoadTracker::Forget(const std::string& aggregator) {
  for (auto& [server, sent] : sent_) std::erase(sent.aggregators, aggregator);
}

}  // namespace balsam::gossip
