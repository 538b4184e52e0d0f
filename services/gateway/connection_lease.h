// Exclusive use of a pooled connection. The end of a lease closes a connection
// whose request is still in progress, so that the callbacks of the request do
// not outlive the owner of the lease.
#pragma once

#include <QPointer>
#include <string>
#include <utility>

#include "services/gateway/connection_pool.h"

namespace balsam::gateway {

class ConnectionLease {
 public:
  // Holds no connection.
  ConnectionLease() = default;
  ConnectionLease(ConnectionPool& pool, const std::string& server_id,
                  const directory::Endpoint& endpoint, ConnectionPool::Use use)
      : pool_(&pool),
        server_id_(server_id),
        connection_(pool.Acquire(server_id, endpoint, use)) {}
  ~ConnectionLease() { End(); }

  ConnectionLease(const ConnectionLease&) = delete;
  ConnectionLease& operator=(const ConnectionLease&) = delete;
  ConnectionLease(ConnectionLease&& other) noexcept { Take(other); }
  ConnectionLease& operator=(ConnectionLease&& other) noexcept {
    if (this == &other) return *this;
    End();
    Take(other);
    return *this;
  }

  // Returns the connection to the pool, or closes it if its response is not
  // complete. No callback of its request follows.
  void End() {
    OutboundConnection* connection = std::exchange(connection_, nullptr);
    if (connection != nullptr && pool_ != nullptr) {
      pool_->Release(server_id_, connection);
    }
  }

  explicit operator bool() const { return connection_ != nullptr; }
  // A connection must be held.
  OutboundConnection* operator->() const { return connection_; }

 private:
  // Takes over the other's connection; none may be held.
  void Take(ConnectionLease& other) {
    pool_ = other.pool_;
    server_id_ = std::move(other.server_id_);
    connection_ = std::exchange(other.connection_, nullptr);
  }

  // A pool that is destroyed closes its connections itself, with the callbacks
  // that may own this.
  QPointer<ConnectionPool> pool_;
  std::string server_id_;
  OutboundConnection* connection_ = nullptr;
};

}  // namespace balsam::gateway
