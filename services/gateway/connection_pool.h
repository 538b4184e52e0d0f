// Pool of idle connections to backend servers. All gateways share a server's
// connection limit, so few idle connections are kept, and none is reused near
// the time at which the server closes it.
//
// A faulty server may write an earlier response once more, where the response
// to a later request is due. Such a response is recognised only if it names its
// request. A connection on which a response named none is therefore used for
// polls only, whose responses concern the server alone and may be outdated.
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
    // Idle connections kept per server.
    std::size_t max_idle = 8;
    // Idle connections are closed after this time, or after half of the time
    // that the server announced if that is less.
    std::chrono::milliseconds max_idle_time{4000};
    // A request that must not run twice only gets a connection that was used
    // within this time, since a server may close an older one at any moment.
    std::chrono::milliseconds recent_use_time{1000};
    OutboundConnection::Timeouts timeouts;
  };

  // What a connection is needed for.
  enum class Use {
    // A request that may run twice, or a call for a run.
    kRequest,
    // A request that must not run twice. A pooled connection must have been
    // used recently.
    kRequestOnce,
    // A call whose response concerns no request.
    kPoll,
    // To find out whether the server accepts connections. No pooled connection
    // is used.
    kNewConnection,
  };

  explicit ConnectionPool(Limits limits, QObject* parent = nullptr);

  // Returns a connection for one request, which the caller owns until
  // `Release`.
  OutboundConnection* Acquire(const std::string& server_id,
                              const directory::Endpoint& endpoint, Use use);
  // Returns a connection to the pool, or deletes it if it cannot be reused.
  void Release(const std::string& server_id, OutboundConnection* connection);
  // Closes the idle connections to a server that is leaving, has restarted or
  // is gone.
  void CloseIdleConnections(const std::string& server_id);
  void CloseExpired(BootTime now);

  // Whether a response names the request that it belongs to. None does if this
  // is unset.
  std::function<bool(const http1::ResponseHead& head)> names_request;
  // Called with the head of any response of a server. `connected_at`: when the
  // connection was created.
  std::function<void(const std::string& server_id, BootTime connected_at,
                     const http1::ResponseHead& head)>
      on_response_head;

 private:
  struct Idle {
    OutboundConnection* connection;
    BootTime since;
  };

  std::chrono::milliseconds IdleTimeOf(
      const OutboundConnection& connection) const;
  bool IsUsable(const Idle& idle, const directory::Endpoint& endpoint,
                BootTime now) const;
  bool Suits(const Idle& idle, Use use, BootTime now) const;
  // Removes the most recently used connection that suits. Returns null if there
  // is none.
  OutboundConnection* TakeIdle(std::vector<Idle>& idle, Use use,
                               BootTime now) const;
  OutboundConnection* Create(const std::string& server_id,
                             const directory::Endpoint& endpoint, BootTime now);
  static void Discard(OutboundConnection* connection);
  void Remove(const std::string& server_id, OutboundConnection* connection);

  Limits limits_;
  // The most recently used connection is last.
  std::map<std::string, std::vector<Idle>> idle_;
};

}  // namespace balsam::gateway
