// Compares the load with what was told of it.
#include "libraries/gossip/part_journal.h"

namespace balsam::gossip {

using dispatch::Usage;

std::map<std::string, dispatch::UsageByServer> PartJournal::TakeNews(
    const dispatch::UsageByServer& load, const KeeperOf& keeper_of,
    BootTime now) {
  for (const auto& [server, usage] : load) {
    if (dispatch::WorthTelling(usage) != Usage{}) told_.try_emplace(server);
  }
  std::map<std::string, dispatch::UsageByServer> news;
  for (auto& [server, told] : told_) {
    const auto found = load.find(server);
    const Usage usage =
        found == load.end() ? Usage{} : dispatch::WorthTelling(found->second);
    const std::string& keeper = keeper_of(server);
    if (usage == told.usage && keeper == told.keeper &&
        now - told.at < kRefreshInterval) {
      continue;
    }
    told.zeros = usage == Usage{} ? told.zeros + 1 : 0;
    told.usage = usage;
    told.keeper = keeper;
    told.at = now;
    news[keeper][server] = usage;
  }
  std::erase_if(told_, [](const auto& item) {
    return item.second.zeros >= kZeroTellings;
  });
  return news;
}

}  // namespace balsam::gossip
