// Derives the state of backend servers from their announcements and reports.
#include "libraries/directory/backend_directory.h"

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <charconv>

namespace balsam::directory {

using std::chrono::milliseconds;

std::string Endpoint::ToString() const {
  return ip + ':' + std::to_string(port);
}

std::optional<Endpoint> Endpoint::Parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  Endpoint endpoint;
  endpoint.ip = std::string(text.substr(0, colon));
  boost::system::error_code error;
  boost::asio::ip::make_address_v4(endpoint.ip, error);
  if (error) return std::nullopt;
  const std::string_view port = text.substr(colon + 1);
  const auto [end, code] =
      std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
  if (code != std::errc() || end != port.data() + port.size() ||
      endpoint.port == 0) {
    return std::nullopt;
  }
  return endpoint;
}

std::optional<ServerChange> BackendDirectory::OnAnnounced(
    const BackendServer& server, BootTime now) {
  const auto found = entries_.find(server.id);
  if (found == entries_.end()) {
    const ServerState state =
        server.leaving ? ServerState::kLeaving : ServerState::kReady;
    entries_[server.id] = {server, state, now, false};
    entries_[server.id].server.cold_until = now + server.cold_left;
    return ServerChange{state == ServerState::kReady
                            ? ServerChange::Kind::kAppeared
                            : ServerChange::Kind::kLeaving,
                        server.id};
  }
  Entry& entry = found->second;
  if (IsFormer(server.id, server.started_at)) {
    entry.former = server;
    entry.former_since = now;
    return std::nullopt;
  }
  const bool restarted = entry.server.started_at.has_value() &&
                         server.started_at > entry.server.started_at;
  return Apply(entry, server, restarted, now);
}

std::optional<ServerChange> BackendDirectory::Apply(Entry& entry,
                                                    const BackendServer& server,
                                                    bool restarted,
                                                    BootTime now) {
  ServerState state =
      server.leaving ? ServerState::kLeaving : ServerState::kReady;
  const ServerState previous_state = entry.state;
  if (restarted) {
    ForgetOldNotices(entry, now - server.age);
    entry.known_since = now;
  }
  if (entry.reported_leaving) state = ServerState::kLeaving;
  entry.announced = true;
  entry.doubted_until = {};
  entry.former.reset();
  entry.server = server;
  entry.server.cold_until = now + server.cold_left;
  entry.state = state;
  if (state != previous_state) entry.state_since = now;
  if (restarted) return ServerChange{ServerChange::Kind::kRestarted, server.id};
  if (state == previous_state) return std::nullopt;
  return ServerChange{state == ServerState::kReady
                          ? ServerChange::Kind::kAppeared
                          : ServerChange::Kind::kLeaving,
                      server.id};
}

void BackendDirectory::ForgetOldNotices(Entry& entry, BootTime began) {
  const BootTime noticed = entry.noticed_leaving_at;
  entry.reported_leaving &= noticed >= began;
  // A final notice that may be of either incarnation holds like a report, until
  // it was not repeated for a while.
  entry.leaving_is_final &= noticed >= began + kMaxClockError;
}

std::optional<ServerChange> BackendDirectory::OnRestored(
    const BackendServer& server, BootTime now) {
  const auto found = entries_.find(server.id);
  if (found != entries_.end()) {
    Entry& entry = found->second;
    // Equal if one of them is not announced.
    const auto known_start = entry.server.started_at;
    const auto start = known_start.has_value() && server.started_at.has_value()
                           ? server.started_at
                           : known_start;
    if (start < known_start) return std::nullopt;
    if (start > known_start || entry.state != ServerState::kLeaving) {
      return OnAnnounced(server, now);
    }
    entry.announced = true;
    entry.former.reset();
    entry.server.leaving = server.leaving;
    entry.doubted_until = now + limits_.restored_doubt;
    return std::nullopt;
  }
  Entry& entry = entries_[server.id];
  entry = {server, ServerState::kLeaving, now, false};
  entry.server.cold_until = now + server.cold_left;
  entry.doubted_until = now + limits_.restored_doubt;
  return ServerChange{ServerChange::Kind::kLeaving, server.id};
}

void BackendDirectory::OnReportedCold(std::string_view id, milliseconds left,
                                      BootTime now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  BootTime& cold_until = found->second.server.cold_until;
  cold_until = std::max(cold_until, now + left);
}

bool BackendDirectory::IsConfirmed(const Entry& entry, BootTime now) {
  return entry.doubted_until != BootTime{} && now >= entry.doubted_until &&
         entry.state == ServerState::kLeaving && entry.announced &&
         !entry.server.leaving && !entry.reported_leaving;
}

std::optional<ServerChange> BackendDirectory::OnRemoved(std::string_view id,
                                                        bool may_have_lapsed,
                                                        BootTime now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return std::nullopt;
  Entry& entry = found->second;
  entry.announced = false;
  entry.former.reset();
  if (entry.state != ServerState::kReady) return std::nullopt;
  entry.state = may_have_lapsed ? ServerState::kLapsed : ServerState::kLeaving;
  entry.state_since = now;
  return ServerChange{may_have_lapsed ? ServerChange::Kind::kLapsed
                                      : ServerChange::Kind::kLeaving,
                      entry.server.id};
}

std::optional<ServerChange> BackendDirectory::OnReportedLeaving(
    std::string_view id, LeavingNotice notice, BootTime now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return std::nullopt;
  Entry& entry = found->second;
  entry.reported_leaving = true;
  entry.noticed_leaving_at = now;
  if (notice == LeavingNotice::kFinal) entry.leaving_is_final = true;
  if (entry.state == ServerState::kLeaving) return std::nullopt;
  entry.state = ServerState::kLeaving;
  entry.state_since = now;
  return ServerChange{ServerChange::Kind::kLeaving, entry.server.id};
}

std::optional<ServerChange> BackendDirectory::OnLeavingReportExpired(
    std::string_view id, BootTime now) {
  if (!IsLeavingByReportOnly(id)) return std::nullopt;
  Entry& entry = entries_.find(id)->second;
  entry.reported_leaving = false;
  entry.state = ServerState::kReady;
  entry.state_since = now;
  return ServerChange{ServerChange::Kind::kAppeared, entry.server.id};
}

bool BackendDirectory::IsLeavingByReportOnly(std::string_view id) const {
  const auto found = entries_.find(id);
  return found != entries_.end() && found->second.reported_leaving &&
         !found->second.leaving_is_final && found->second.announced &&
         !found->second.server.leaving;
}

std::vector<ServerChange> BackendDirectory::ProcessTimeouts(BootTime now) {
  std::vector<ServerChange> changes;
  for (auto& [id, entry] : entries_) {
    if (IsConfirmed(entry, now)) {
      entry.doubted_until = {};
      entry.state = ServerState::kReady;
      entry.state_since = now;
      changes.push_back({ServerChange::Kind::kAppeared, id});
    }
    if (entry.former.has_value() &&
        now - entry.former_since >= limits_.former_doubt) {
      BackendServer server = *std::move(entry.former);
      server.age +=
          std::chrono::duration_cast<milliseconds>(now - entry.former_since);
      if (const auto change = Apply(entry, server, /*restarted=*/true, now)) {
        changes.push_back(*change);
      }
    }
    if (entry.state != ServerState::kLapsed ||
        now - entry.state_since < limits_.lapsed_grace_period) {
      continue;
    }
    entry.state = ServerState::kLeaving;
    entry.state_since = now;
    changes.push_back({ServerChange::Kind::kLeaving, id});
  }
  std::erase_if(entries_, [&](const auto& item) {
    const Entry& entry = item.second;
    // While the store lists the server as ready, only its `Entry` here keeps
    // requests away from it, so that must not expire.
    const bool is_listed_as_ready = entry.announced && !entry.server.leaving;
    if (entry.state != ServerState::kLeaving || is_listed_as_ready ||
        entry.former.has_value() ||
        now - entry.state_since < limits_.leaving_retention) {
      return false;
    }
    changes.push_back({ServerChange::Kind::kGone, item.first});
    return true;
  });
  return changes;
}

const BackendServer* BackendDirectory::Find(std::string_view id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.server;
}

bool BackendDirectory::IsEvacuated(std::string_view id) const {
  const BackendServer* server = Find(id);
  return server != nullptr && evacuations_.Contains(server->data_center);
}

bool BackendDirectory::IsFormer(std::string_view id,
                                std::optional<milliseconds> started_at) const {
  const BackendServer* known = Find(id);
  return known != nullptr && known->started_at.has_value() &&
         started_at.has_value() && started_at < known->started_at;
}

BootTime BackendDirectory::KnownSince(std::string_view id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? BootTime{} : found->second.known_since;
}

std::optional<ServerState> BackendDirectory::StateOf(
    std::string_view id) const {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return std::nullopt;
  return found->second.state;
}

}  // namespace balsam::directory
