// The life of backend servers, from their entries.
#include "libraries/directory/backend_directory.h"

#include <boost/asio/ip/address_v4.hpp>
#include <charconv>

namespace balsam::directory {

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
  Life life = server.leaving ? Life::kLeaving : Life::kReady;
  if (found == entries_.end()) {
    entries_[server.id] = {server, life, now, false};
    entries_[server.id].server.cold_until = now + server.cold_left;
    return ServerChange{life == Life::kReady ? ServerChange::Kind::kAppeared
                                             : ServerChange::Kind::kLeaving,
                        server.id};
  }
  Entry& entry = found->second;
  const bool restarted = entry.server.born.has_value() &&
                         server.born.has_value() &&
                         entry.server.born != server.born;
  const Life before = entry.life;
  if (restarted) {
    entry.reported_leaving = false;
    entry.leaving_is_final = false;
  }
  if (entry.reported_leaving) life = Life::kLeaving;
  entry.announced = true;
  entry.server = server;
  entry.server.cold_until = now + server.cold_left;
  entry.life = life;
  if (life != before) entry.since = now;
  if (restarted) return ServerChange{ServerChange::Kind::kRestarted, server.id};
  if (life == before) return std::nullopt;
  return ServerChange{life == Life::kReady ? ServerChange::Kind::kAppeared
                                           : ServerChange::Kind::kLeaving,
                      server.id};
}

std::optional<ServerChange> BackendDirectory::OnRemoved(std::string_view id,
                                                        bool may_have_lapsed,
                                                        BootTime now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return std::nullopt;
  Entry& entry = found->second;
  entry.announced = false;
  if (entry.life != Life::kReady) return std::nullopt;
  entry.life = may_have_lapsed ? Life::kLapsed : Life::kLeaving;
  entry.since = now;
  return ServerChange{may_have_lapsed ? ServerChange::Kind::kLapsed
                                      : ServerChange::Kind::kLeaving,
                      entry.server.id};
}

std::optional<ServerChange> BackendDirectory::OnReportedLeaving(
    std::string_view id, LeavingWord word, BootTime now) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return std::nullopt;
  Entry& entry = found->second;
  entry.reported_leaving = true;
  if (word == LeavingWord::kFinal) entry.leaving_is_final = true;
  if (entry.life == Life::kLeaving) return std::nullopt;
  entry.life = Life::kLeaving;
  entry.since = now;
  return ServerChange{ServerChange::Kind::kLeaving, entry.server.id};
}

std::optional<ServerChange> BackendDirectory::OnReportLapsed(
    std::string_view id, BootTime now) {
  if (!IsReportedOnly(id)) return std::nullopt;
  Entry& entry = entries_.find(id)->second;
  entry.reported_leaving = false;
  entry.life = Life::kReady;
  entry.since = now;
  return ServerChange{ServerChange::Kind::kAppeared, entry.server.id};
}

bool BackendDirectory::IsReportedOnly(std::string_view id) const {
  const auto found = entries_.find(id);
  return found != entries_.end() && found->second.reported_leaving &&
         !found->second.leaving_is_final && found->second.announced &&
         !found->second.server.leaving;
}

std::vector<ServerChange> BackendDirectory::OnTime(BootTime now) {
  std::vector<ServerChange> changes;
  for (auto& [id, entry] : entries_) {
    if (entry.life != Life::kLapsed ||
        now - entry.since < limits_.lapse_grace) {
      continue;
    }
    entry.life = Life::kLeaving;
    entry.since = now;
    changes.push_back({ServerChange::Kind::kLeaving, id});
  }
  std::erase_if(entries_, [&](const auto& item) {
    const Entry& entry = item.second;
    // While the store lists it as ready, only what is remembered here keeps
    // requests away from it.
    const bool only_remembered = entry.announced && !entry.server.leaving;
    if (entry.life != Life::kLeaving || only_remembered ||
        now - entry.since < limits_.memory_of_leaving) {
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

std::optional<Life> BackendDirectory::LifeOf(std::string_view id) const {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return std::nullopt;
  return found->second.life;
}

}  // namespace balsam::directory
