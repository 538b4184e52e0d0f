// Sharing out engines by rendezvous hashing, and asking them.
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
      urgent ? limits_.urgent_interval : limits_.calm_interval;
  const bool share_anew = gateways != gateways_;
  gateways_ = gateways;
  std::map<std::string, Engine> engines;
  context_.directory.ForEach(
      [&](const directory::BackendServer& server, directory::ServerState life) {
        if (life == directory::ServerState::kLeaving &&
            !context_.directory.IsLeavingByReportOnly(server.id)) {
          return;
        }
        const auto* service = context_.routes->FindService(server.service);
        if (service == nullptr || !service->engine.has_value() ||
            !service->engine->can_migrate) {
          return;
        }
        const auto known = engines_.find(server.id);
        Engine& engine = engines[server.id];
        if (known != engines_.end()) engine = known->second;
        if (known == engines_.end() || share_anew) {
          engine.is_own =
              membership::RendezvousFirst(server.id, gateways_) == own_ip;
        }
        if (!engine.is_own || now - engine.asked < interval ||
            context_.selector.IsBackingOff(server.id, now)) {
          return;
        }
        engine.asked = now;
        Ask(server, urgent ? service->health_path : std::string());
      });
  engines_ = std::move(engines);
}

void ReportPoller::Ask(const directory::BackendServer& server,
                       const std::string& health_path) {
  const bool is_health = !health_path.empty();
  OutboundConnection* connection =
      context_.pool.Acquire(server.id, server.endpoint, false);
  const BackendCall call = is_health ? context_.dialect.AskHealth(health_path)
                                     : context_.dialect.AskReport();
  connection->Call(call.ToBytes(), limits_.answer_time,
                   [this, connection, is_health,
                    id = server.id](const OutboundConnection::Answer& answer) {
                     context_.pool.Release(id, connection);
                     OnAnswer(id, answer, is_health);
                   });
}

void ReportPoller::OnAnswer(const std::string& server_id,
                            const OutboundConnection::Answer& answer,
                            bool is_health) {
  using End = OutboundConnection::End;
  if (answer.end != End::kComplete) {
    LogEvent("report_failed", LogEvent::Level::kWarning)
        .With("server", server_id)
        .With("end", OutboundConnection::NameOf(answer.end));
    context_.selector.OnResult(server_id,
                               answer.end == End::kNotConnected
                                   ? dispatch::AttemptResult::kUnreachable
                                   : dispatch::AttemptResult::kFailed,
                               BootClock::now());
    // It said before that it leaves, so this is how that ended. Without this it
    // would be taken for ready again, if the store is not there to remove it.
    if (context_.directory.IsLeavingByReportOnly(server_id) && on_leaving) {
      on_leaving(server_id);
    }
    return;
  }
  if (is_health) {
    if (!context_.dialect.IsUnwell(answer.head)) return;
    LogEvent("health_unwell").With("server", server_id);
    if (on_leaving) on_leaving(server_id);
    return;
  }
  const EngineReport report = TryOr(
      [&]() -> Result<EngineReport> {
        return context_.dialect.ReadReport(answer.head.status, answer.body);
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
  if (on_leaving) on_leaving(server_id);
}

}  // namespace balsam::gateway
