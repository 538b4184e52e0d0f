// Compares the load with what was told of it.
#include "libraries/gossip/part_journal.h"

#include <utility>

namespace balsam::gossip {

using dispatch::Usage;

std::map<std::string, dispatch::UsageByServer> PartJournal::TakeNews(
    const dispatch::UsageByServer& load, const KeepersOf& keepers_of,
    BootTime now) {
  for (const auto& [server, usage] : load) {
    if (dispatch::WorthTelling(usage) != Usage{}) told_.try_emplace(server);
  }
  std::map<std::string, dispatch::UsageByServer> news;
  for (auto& [server, told] : told_) {
    const auto found = load.find(server);
    const Usage usage =
        found == load.end() ? Usage{} : dispatch::WorthTelling(found->second);
    std::vector<std::string> keepers = keepers_of(server);
    if (usage == told.usage && keepers == told.keepers &&
        now - told.at < kRefreshInterval) {
      continue;
    }
    told.zeros = usage == Usage{} ? told.zeros + 1 : 0;
    told.usage = usage;
    told.keepers = std::move(keepers);
    told.at = now;
    for (const std::string& keeper : told.keepers) {
      news[keeper][server] = usage;
    }
  }
  std::erase_if(told_, [](const auto& item) {
    return item.second.zeros >= kZeroTellings;
  });
  return news;
}

void PartJournal::Forget(const std::string& keeper) {
  for (auto& [server, told] : told_) std::erase(told.keepers, keeper);
}

}  // namespace balsam::gossip
