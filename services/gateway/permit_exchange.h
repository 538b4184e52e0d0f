// Permits for the requests to servers that name a limit, and to cold servers
// that bear only so many requests a second. One gateway, an aggregator of the
// server's load, issues those of all gateways; the others ask it for each
// request. So the limit binds their sum.
#pragma once

#include <QObject>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "libraries/gossip/digest.h"
#include "libraries/limits/server_permits.h"
#include "services/gateway/gateway_context.h"
#include "services/gateway/load_exchange.h"

namespace balsam::gateway {

class PermitExchange : public QObject {
  Q_OBJECT

 public:
  // Sends a datagram to the gateway at `ip`.
  using Send =
      std::function<void(const std::string& ip, const std::string& bytes)>;

  // `context` and `loads` must outlive this. Installs the permit function of
  // `context`.
  PermitExchange(std::string own_ip, GatewayContext& context,
                 LoadExchange& loads, Send send);

  // Must be called in each gossip round.
  void OnGossipRound();
  // Applies what a peer knows of a server's limit.
  void OnStatement(const limits::Statement& statement,
                   const std::string& sender);
  void OnMessage(const gossip::PermitRequest& request,
                 const std::string& sender);
  void OnMessage(const gossip::PermitReply& reply, const std::string& sender);

 private:
  struct PendingRequest {
    std::string server_id;
    std::string issuer;
    PermitCallback on_result;
  };

  PermitResult RequestPermit(const std::string& server_id,
                             PermitCallback on_result);
  // Decides as the issuer about a request of `entry`, by the limit that is
  // known here.
  limits::PermitIssuer::Decision Decide(std::uint32_t server,
                                        const std::string& entry);
  void Charge(std::uint32_t server);
  // What this gateway is to those that ask it for permits of the server.
  limits::IssuerRole RoleFor(std::uint32_t server);
  std::ptrdiff_t PendingRequests(const std::string& server_id) const;
  bool IsIssuer(const std::string& issuer) const;
  void Deny(const std::string& server_id,
            std::chrono::milliseconds retry_after);
  void OnTimeout(std::uint64_t request_id);

  std::string own_ip_;
  GatewayContext& context_;
  LoadExchange& loads_;
  Send send_;
  limits::ServerPermits permits_;
  // By id.
  std::map<std::uint64_t, PendingRequest> pending_;
  std::uint64_t last_id_ = 0;
};

}  // namespace balsam::gateway
