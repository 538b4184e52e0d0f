// Pooling and selection of idle connections.
#include "services/gateway/connection_pool.h"

#include <algorithm>

namespace balsam::gateway {

ConnectionPool::ConnectionPool(Limits limits, QObject* parent)
    : QObject(parent), limits_(limits) {}

std::chrono::milliseconds ConnectionPool::IdleTimeOf(
    const OutboundConnection& connection) const {
  const auto idle_limit = connection.idle_limit();
  if (!idle_limit.has_value()) return limits_.max_idle_time;
  return std::min(limits_.max_idle_time, *idle_limit / 2);
}

OutboundConnection* ConnectionPool::Acquire(const std::string& server_id,
                                            const directory::Endpoint& endpoint,
                                            bool recent_only) {
  const BootTime now = BootClock::now();
  std::vector<Idle>& idle = idle_[server_id];
  while (!idle.empty()) {
    const Idle last = idle.back();
    const auto age = now - last.since;
    const bool usable = last.connection->reusable() &&
                        last.connection->endpoint() == endpoint &&
                        age < IdleTimeOf(*last.connection);
    if (usable && recent_only && age >= limits_.recent_use_time) break;
    idle.pop_back();
    last.connection->on_idle_closed = nullptr;
    if (usable) return last.connection;
    last.connection->Abort();
    last.connection->deleteLater();
  }
  auto* connection = new OutboundConnection(endpoint, limits_.timeouts, this);
  connection->on_response_head = [this,
                                  server_id](const http1::ResponseHead& head) {
    if (on_response_head) on_response_head(server_id, head);
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
  for (const Idle& idle : found->second) {
    idle.connection->on_idle_closed = nullptr;
    idle.connection->Abort();
    idle.connection->deleteLater();
  }
  idle_.erase(found);
}

void ConnectionPool::CloseExpired(BootTime now) {
  for (auto& [server_id, idle] : idle_) {
    std::erase_if(idle, [&](const Idle& entry) {
      if (now - entry.since < IdleTimeOf(*entry.connection)) return false;
      entry.connection->on_idle_closed = nullptr;
      entry.connection->Abort();
      entry.connection->deleteLater();
      return true;
    });
  }
  // A connection may have been returned after its server was removed.
  std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

}  // namespace balsam::gateway
