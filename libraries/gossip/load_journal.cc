// Numbers changes, and remembers which of them each peer knows.
#include "libraries/gossip/load_journal.h"

#include <algorithm>

namespace balsam::gossip {
void LoadJournal::Update(const dispatch::UsageByServer& load) {
  for (auto& [server, entry] : entries_) {
    if (load.contains(server) || entry.usage == dispatch::Usage{}) continue;
    entry = {{}, ++last_change_};
  }
  for (const auto& [server, used] : load) {
    const dispatch::Usage usage = dispatch::WorthTelling(used);
    const auto found = entries_.find(server);
    const bool is_known = found != entries_.end() ? found->second.usage == usage
                                                  : usage == dispatch::Usage{};
    if (!is_known) entries_[server] = {usage, ++last_change_};
  }
}

bool LoadJournal::HasNewsFor(const std::string& peer, BootTime now) const {
  const auto told = told_.find(peer);
  return told == told_.end() || told->second.change < last_change_ ||
         now - told->second.refreshed >= kRefreshInterval;
}

LoadJournal::News LoadJournal::NewsFor(const std::string& peer,
                                       BootTime now) const {
  const auto told = told_.find(peer);
  News news;
  news.whole =
      told == told_.end() || now - told->second.refreshed >= kRefreshInterval;
  for (const auto& [server, entry] : entries_) {
    const bool is_news = news.whole ? entry.usage != dispatch::Usage{}
                                    : entry.change > told->second.change;
    if (is_news) news.load.emplace(server, entry.usage);
  }
  return news;
}

void LoadJournal::OnTold(const std::string& peer, BootTime now) {
  Told& told = told_[peer];
  if (now - told.refreshed >= kRefreshInterval) told.refreshed = now;
  told.change = last_change_;
  DropKnownZeros();
}

void LoadJournal::Forget(const std::string& peer) {
  told_.erase(peer);
  DropKnownZeros();
}

void LoadJournal::DropKnownZeros() {
  std::uint64_t known = last_change_;
  for (const auto& [peer, told] : told_) known = std::min(known, told.change);
  std::erase_if(entries_, [known](const auto& item) {
    return item.second.usage == dispatch::Usage{} &&
           item.second.change <= known;
  });
}

}  // namespace balsam::gossip
