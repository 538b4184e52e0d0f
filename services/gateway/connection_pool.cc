// Pooling and selection of idle connections.
#include "services/gateway/connection_pool.h"

#include <algorithm>
#include <iterator>

namespace balsam::gateway {

ConnectionPool::ConnectionPool(Limits limits, QObject* parent)
    : QObject(parent), limits_(limits) {}

std::chrono::milliseconds ConnectionPool::IdleTimeOf(
    const OutboundConnection& connection) const {
  const auto idle_limit = connection.idle_limit();
  if (!idle_limit.has_value()) return limits_.max_idle_time;
  return std::min(limits_.max_idle_time, *idle_limit / 2);
}

bool ConnectionPool::IsUsable(const Idle& idle,
                              const directory::Endpoint& endpoint,
                              BootTime now) const {
  return idle.connection->reusable() &&
         idle.connection->endpoint() == endpoint &&
         now - idle.since < IdleTimeOf(*idle.connection);
}

bool ConnectionPool::Suits(const Idle& idle, Use use, BootTime now) const {
  const bool is_for_polls = idle.connection->has_nameless_response();
  const bool is_recent = now - idle.since < limits_.recent_use_time;
  return is_for_polls == (use == Use::kPoll) &&
         (use != Use::kRequestOnce || is_recent);
}

void ConnectionPool::Discard(OutboundConnection* connection) {
  connection->on_idle_closed = nullptr;
  connection->Abort();
  connection->deleteLater();
}

OutboundConnection* ConnectionPool::TakeIdle(std::vector<Idle>& idle, Use use,
                                             BootTime now) const {
  while (true) {
    const auto latest = std::ranges::find_if(
        idle.rbegin(), idle.rend(),
        [&](const Idle& entry) { return Suits(entry, use, now); });
    if (latest == idle.rend()) return nullptr;
    OutboundConnection* connection = latest->connection;
    idle.erase(std::prev(latest.base()));
    if (!connection->HasUnread()) return connection;
    Discard(connection);
  }
}

OutboundConnection* ConnectionPool::Acquire(const std::string& server_id,
                                            const directory::Endpoint& endpoint,
                                            Use use) {
  const BootTime now = BootClock::now();
  if (use == Use::kNewConnection) return Create(server_id, endpoint, now);
  std::vector<Idle>& idle = idle_[server_id];
  std::erase_if(idle, [&](const Idle& entry) {
    if (IsUsable(entry, endpoint, now)) return false;
    Discard(entry.connection);
    return true;
  });
  if (OutboundConnection* connection = TakeIdle(idle, use, now)) {
    connection->on_idle_closed = nullptr;
    return connection;
  }
  return Create(server_id, endpoint, now);
}

OutboundConnection* ConnectionPool::Create(const std::string& server_id,
                                           const directory::Endpoint& endpoint,
                                           BootTime now) {
  auto* connection = new OutboundConnection(endpoint, limits_.timeouts, this);
  connection->names_request = names_request;
  connection->on_response_head = [this, server_id,
                                  now](const http1::ResponseHead& head) {
    if (on_response_head) on_response_head(server_id, now, head);
  };
  return connection;
}

void ConnectionPool::Release(const std::string& server_id,
                             OutboundConnection* connection) {
  std::vector<Idle>& idle = idle_[server_id];
  if (!connection->reusable() || idle.size() >= limits_.max_idle) {
    connection->Abort();
    connection->deleteLater();
    return;
  }
  connection->on_idle_closed = [this, server_id, connection] {
    Remove(server_id, connection);
  };
  idle.push_back({connection, BootClock::now()});
}

void ConnectionPool::Remove(const std::string& server_id,
                            OutboundConnection* connection) {
  std::erase_if(idle_[server_id], [connection](const Idle& idle) {
    return idle.connection == connection;
  });
  connection->on_idle_closed = nullptr;
  connection->deleteLater();
}

void ConnectionPool::CloseIdleConnections(const std::string& server_id) {
  const auto found = idle_.find(server_id);
  if (found == idle_.end()) return;
  for (const Idle& idle : found->second) Discard(idle.connection);
  idle_.erase(found);
}

void ConnectionPool::CloseExpired(BootTime now) {
  for (auto& [server_id, idle] : idle_) {
    std::erase_if(idle, [&](const Idle& entry) {
      if (now - entry.since < IdleTimeOf(*entry.connection)) return false;
      Discard(entry.connection);
      return true;
    });
  }
  // A connection may have been returned after its server was removed.
  std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

}  // namespace balsam::gateway
