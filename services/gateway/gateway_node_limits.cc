// How many requests a second backend servers take: what they name in responses,
// and what they bear while they are cold.
#include <string>

#include "libraries/base/log_event.h"
#include "libraries/dispatch/usage.h"
#include "services/gateway/gateway_node.h"

namespace balsam::gateway {

using std::chrono::milliseconds;

void GatewayNode::OnLimitStated(const std::string& server_id,
                                std::optional<double> requests_per_second,
                                const http1::ResponseHead& head) {
  // A response to a poll may not name a limit that still holds.
  if (!requests_per_second.has_value() &&
      context_.dialect.ParseResponse(head).request_id.empty()) {
    return;
  }
  if (!context_.limits.OnResponse(dispatch::ServerKey(server_id),
                                  requests_per_second, BootClock::now())) {
    return;
  }
  LogEvent("server_limit")
      .With("server", server_id)
      .With("limited", requests_per_second.has_value() ? 1 : 0)
      .With("per_second", std::to_string(requests_per_second.value_or(0.0)));
}

void GatewayNode::OnSaidCold(const std::string& server_id,
                             BootTime connected_at, milliseconds left) {
  // A connection from before a restart was known may be to either incarnation.
  if (connected_at < context_.directory.KnownSince(server_id)) return;
  const BootTime now = BootClock::now();
  context_.directory.OnReportedCold(server_id, left, now);
  UpdateColdLimit(server_id, now);
}

void GatewayNode::UpdateColdLimit(const std::string& server_id, BootTime now) {
  const std::uint32_t key = dispatch::ServerKey(server_id);
  const directory::BackendServer* server = context_.directory.Find(server_id);
  const routing::Service* service =
      server == nullptr || context_.routes == nullptr
          ? nullptr
          : context_.routes->FindService(server->service);
  if (service == nullptr || !service->cold_requests_per_second.has_value() ||
      server->cold_until <= now) {
    context_.limits.EndCold(key);
    return;
  }
  const double rate = *service->cold_requests_per_second;
  if (!context_.limits.SetCold(key, rate, server->cold_until)) return;
  LogEvent("server_limited_as_cold")
      .With("server", server_id)
      .With("per_second", std::to_string(rate))
      .With("left", std::chrono::ceil<milliseconds>(server->cold_until - now));
}

void GatewayNode::UpdateColdLimits(BootTime now) {
  context_.directory.ForEach(
      [&](const directory::BackendServer& server, directory::ServerState) {
        // The limits of servers that are not cold any more end by time.
        if (server.cold_until > now) UpdateColdLimit(server.id, now);
      });
}

}  // namespace balsam::gateway
