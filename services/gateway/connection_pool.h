// Kept connections to backend servers. All gateways share a server's limit of
// connections, so few idle ones are kept, and none is used near the time at
// which the server closes it.
#pragma once

#include <QObject>
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "libraries/base/boot_clock.h"
#include "services/gateway/outbound_connection.h"

namespace balsam::gateway {

class ConnectionPool : public QObject {
  Q_OBJECT

 public:
  struct Limits {
    // Idle connections kept for each server.
    std::size_t max_idle = 8;
    // Idle connections are closed after this time, or after half of what the
    // server states if that is less.
    std::chrono::milliseconds max_idle_time{4000};
    // A request that must not run twice takes only a connection that was used
    // within this time, since a server may drop an older one unannounced.
    std::chrono::milliseconds fresh_time{1000};
    OutboundConnection::Timeouts timeouts;
  };

  explicit ConnectionPool(Limits limits, QObject* parent = nullptr);

  // A connection for one request; the caller owns it until `Release`.
  // `fresh_only`: a kept one only if it was used shortly before.
  OutboundConnection* Acquire(const std::string& server_id,
                              const directory::Endpoint& endpoint,
                              bool fresh_only);
  // Takes a connection back: kept if it can be used again, else deleted.
  void Release(const std::string& server_id, OutboundConnection* connection);
  // Closes idle connections to a server that ended or left.
  void Drop(const std::string& server_id);
  void CloseOld(BootTime now);

  // The head of an answer of a server, to whatever it was asked.
  std::function<void(const std::string& server_id,
                     const http1::ResponseHead& head)>
      on_answer_head;

 private:
  struct Idle {
    OutboundConnection* connection;
    BootTime since;
  };

  std::chrono::milliseconds IdleTimeOf(
      const OutboundConnection& connection) const;
  void Remove(const std::string& server_id, OutboundConnection* connection);

  Limits limits_;
  // Newest last.
  std::map<std::string, std::vector<Idle>> idle_;
};

}  // namespace balsam::gateway
