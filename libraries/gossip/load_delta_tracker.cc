// Numbers the changes, and records the last one that each peer was sent.
#include "libraries/gossip/load_delta_tracker.h"

#include <algorithm>

namespace balsam::gossip {

void LoadDeltaTracker::Update(const dispatch::UsageByServer& load) {
  for (auto& [server, entry] : entries_) {
    if (load.contains(server) || entry.usage == dispatch::Usage{}) continue;
    entry = {{}, ++last_change_};
  }
  for (const auto& [server, raw_usage] : load) {
    const dispatch::Usage usage = dispatch::RoundForReport(raw_usage);
    const auto found = entries_.find(server);
    const bool is_unchanged = found != entries_.end()
                                  ? found->second.usage == usage
                                  : usage == dispatch::Usage{};
    if (!is_unchanged) entries_[server] = {usage, ++last_change_};
  }
}

bool LoadDeltaTracker::HasDeltaFor(const std::string& peer,
                                   BootTime now) const {
  const auto state = peers_.find(peer);
  return state == peers_.end() || state->second.change < last_change_ ||
         now - state->second.last_full_at >= kRefreshInterval;
}

LoadDeltaTracker::Delta LoadDeltaTracker::DeltaFor(const std::string& peer,
                                                   BootTime now) const {
  const auto state = peers_.find(peer);
  Delta delta;
  delta.is_full = state == peers_.end() ||
                  now - state->second.last_full_at >= kRefreshInterval;
  for (const auto& [server, entry] : entries_) {
    const bool is_included = delta.is_full
                                 ? entry.usage != dispatch::Usage{}
                                 : entry.change > state->second.change;
    if (is_included) delta.load.emplace(server, entry.usage);
  }
  return delta;
}

void LoadDeltaTracker::OnSent(const std::string& peer, BootTime now) {
  PeerState& state = peers_[peer];
  if (now - state.last_full_at >= kRefreshInterval) state.last_full_at = now;
  state.change = last_change_;
  DropSentZeros();
}

void LoadDeltaTracker::Forget(const std::string& peer) {
  peers_.erase(peer);
  DropSentZeros();
}

void LoadDeltaTracker::DropSentZeros() {
  std::uint64_t sent = last_change_;
  for (const auto& [peer, state] : peers_) sent = std::min(sent, state.change);
  std::erase_if(entries_, [sent](const auto& item) {
    return item.second.usage == dispatch::Usage{} && item.second.change <= sent;
  });
}

}  // namespace balsam::gossip
