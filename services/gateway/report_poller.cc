// Divides the engines by rendezvous hashing and polls them.
#include "services/gateway/report_poller.h"

#include "libraries/base/log_event.h"
#include "libraries/membership/rendezvous.h"

namespace balsam::gateway {
ReportPoller::ReportPoller(GatewayContext& context, Limits limits,
                           QObject* parent)
    : QObject(parent), context_(context), limits_(limits) {}

void ReportPoller::Poll(const std::string& own_ip,
                        const std::vector<std::string>& gateways, bool urgent,
                        BootTime now) {
  if (context_.routes == nullptr) return;
  const auto interval =
      urgent ? limits_.urgent_interval : limits_.normal_interval;
  const bool reassign = gateways != gateways_;
  gateways_ = gateways;
  std::map<std::string, Engine> engines;
  context_.directory.ForEach([&](const directory::BackendServer& server,
                                 directory::ServerState state) {
    if (state == directory::ServerState::kLeaving &&
        !context_.directory.IsLeavingByReportOnly(server.id)) {
      return;
    }
    if (context_.directory.evacuations().Contains(server.data_center)) return;
    const auto* service = context_.routes->FindService(server.service);
    if (service == nullptr || !service->engine.has_value() ||
        !service->engine->can_migrate) {
      return;
    }
    const auto known = engines_.find(server.id);
    Engine& engine = engines[server.id];
    if (known != engines_.end()) engine = known->second;
    if (known == engines_.end() || reassign) {
      engine.is_assigned =
          membership::RendezvousFirst(server.id, gateways_) == own_ip;
    }
    if (!engine.is_assigned || now - engine.last_polled < interval ||
        context_.selector.IsBackingOff(server.id, now)) {
      return;
    }
    engine.last_polled = now;
    PollServer(server, urgent ? service->health_path : std::string());
  });
  engines_ = std::move(engines);
}

void ReportPoller::PollServer(const directory::BackendServer& server,
                              const std::string& health_path) {
  const bool is_health = !health_path.empty();
  OutboundConnection* connection = context_.pool.Acquire(
      server.id, server.endpoint, ConnectionPool::Use::kPoll);
  const BackendCall call = is_health
                               ? context_.dialect.MakeHealthCall(health_path)
                               : context_.dialect.MakeReportCall();
  connection->Call(call.ToBytes(), limits_.response_timeout,
                   [this, connection, is_health, id = server.id](
                       const OutboundConnection::Response& response) {
                     context_.pool.Release(id, connection);
                     OnResponse(id, response, is_health);
                   });
}

void ReportPoller::OnResponse(const std::string& server_id,
                              const OutboundConnection::Response& response,
                              bool is_health) {
  using EndReason = OutboundConnection::EndReason;
  if (response.end != EndReason::kComplete) {
    LogEvent("report_failed", LogEvent::Level::kWarning)
        .With("server", server_id)
        .With("end", OutboundConnection::NameOf(response.end));
    context_.selector.OnResult(server_id,
                               response.end == EndReason::kNotConnected
                                   ? dispatch::AttemptResult::kUnreachable
                                   : dispatch::AttemptResult::kFailed,
                               BootClock::now());
    // The engine reported before that it is leaving, so it is gone now.
    // Otherwise it would be considered ready again if the store is unavailable
    // and does not remove it.
    if (context_.directory.IsLeavingByReportOnly(server_id) && on_leaving) {
      on_leaving(context_.LeavingNow(server_id));
    }
    return;
  }
  if (is_health) {
    if (!context_.dialect.IsUnhealthy(response.head)) return;
    LogEvent("health_unwell").With("server", server_id);
    if (on_leaving) on_leaving(context_.LeavingNow(server_id));
    return;
  }
  const EngineReport report = TryOr(
      [&]() -> Result<EngineReport> {
        return context_.dialect.ParseReport(response.head.status,
                                            response.body);
      },
      [&](const Error& error) {
        LogEvent("report_refused", LogEvent::Level::kWarning)
            .With("server", server_id)
            .With("reason", error.detail);
        return EngineReport{};
      });
  if (!report.leaving) return;
  LogEvent("report_leaving")
      .With("server", server_id)
      .With("leaves_in",
            report.leaves_in.value_or(std::chrono::milliseconds(0)));
  gossip::LeavingServer server = context_.LeavingNow(server_id);
  if (report.started_at.has_value()) server.started_at = report.started_at;
  if (on_leaving) on_leaving(server);
}

}  // namespace balsam::gateway
