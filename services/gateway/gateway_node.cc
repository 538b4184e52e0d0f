// Process-wide logic of the gateway.
#include "services/gateway/gateway_node.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

#include "libraries/base/log_event.h"
#include "libraries/membership/rendezvous.h"

namespace balsam::gateway {
namespace {

using std::chrono::milliseconds;

// Interval of the checks that need no better precision.
constexpr milliseconds kTickInterval{25};
// Interval between passes over the entire directory, which may hold thousands
// of servers: two per urgent report (ReportPoller::Limits).
constexpr milliseconds kDirectoryRefreshInterval{125};
constexpr char kMetricsPath[] = "/metrics";
// A gateway that has waited for a newer configuration for this long takes no
// requests while most others have it.
constexpr milliseconds kMaxConfigurationLag{2000};
// How long a leaving report holds if it is not repeated.
constexpr milliseconds kLeavingReportLifetime{5000};
// How long engines are polled more often after one reported what the store had
// not: a watch can stall without a visible error.
constexpr milliseconds kStoreLagTime{8000};

std::uint64_t RandomNumber() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

}  // namespace

GatewayNode::GatewayNode(GatewaySettings settings, const Dialect& dialect)
    : settings_(std::move(settings)),
      context_(dialect, {},
               {settings_.retry_ratio, settings_.retry_slack,
                settings_.retry_window},
               RandomNumber()),
      report_poller_(context_, {}),
      readiness_server_([this](const http1::RequestHead&, const std::string&) {
        return HttpResponse{IsReady() ? 200 : 503, "text/plain", {}};
      }),
      metrics_server_([this](const http1::RequestHead& head,
                             const std::string&) {
        if (head.target != kMetricsPath) {
          return HttpResponse{404, "text/plain", {}};
        }
        return HttpResponse{200, "text/plain; version=0.0.4", CollectMetrics()};
      }),
      peers_({settings_.ip, settings_.peers, settings_.gossip_port,
              settings_.link_bytes_per_second},
             context_, replica_, RandomNumber()) {
  context_.data_center = settings_.data_center;
  context_.data_centers = settings_.data_centers;
  context_.client_account.SetLimits(
      intake::Limits::ForMachine(settings_.memory_bytes, settings_.sockets));
  context_.response_account.SetLimit(
      intake::ResponseAccount::LimitForMachine(settings_.memory_bytes));
  context_.on_capacity_freed = [this] {
    if (!dispatch_timer_.isActive()) dispatch_timer_.start(0);
  };
  context_.pool.on_response_head = [this](const std::string& server_id,
                                          BootTime connected_at,
                                          const http1::ResponseHead& head) {
    OnResponseHead(server_id, connected_at, head);
  };
  report_poller_.on_leaving = [this](const gossip::LeavingServer& server) {
    OnReportedLeaving(server, false);
  };
  peers_.on_leaving = [this](const gossip::LeavingServer& server) {
    OnReportedLeaving(server, true);
  };
  peers_.on_changes = [this](auto changes, std::uint64_t revision) {
    OnStoreChanges(std::move(changes), revision);
    if (on_peer_changes) on_peer_changes();
  };
  peers_.on_snapshot = [this](auto entries, std::uint64_t revision) {
    OnStoreSnapshot(std::move(entries), revision);
    if (on_peer_changes) on_peer_changes();
  };
  peers_.reaches_store = [this] { return ReachesStore(); };
  peers_.on_evidence = [this](const quarantine::Change& change,
                              const std::string& ip) {
    LogEvent("crash_evidence_from_peer").With("peer", ip);
    OnCrashEvidence(change);
  };
  context_.on_crash_evidence = [this](const quarantine::Change& change) {
    OnCrashEvidence(change);
  };
  context_.rank_among_gateways = [this](const auto& signature) {
    return RankAmongGateways(signature);
  };
  quarantine_timer_.setSingleShot(true);
  connect(&quarantine_timer_, &QTimer::timeout, this,
          &GatewayNode::RejectQuarantined);
  dispatch_timer_.setSingleShot(true);
  connect(&dispatch_timer_, &QTimer::timeout, this,
          &GatewayNode::DispatchWaiting);
  connect(&tick_timer_, &QTimer::timeout, this, &GatewayNode::OnTick);
  connect(&client_server_, &net::Listener::Accepted, this,
          &GatewayNode::OnClient);
}

GatewayNode::~GatewayNode() {
  for (ClientConnection* client : clients_) delete client;
}

Result<void> GatewayNode::Start() {
  client_server_.setListenBacklogSize(512);
  BOOST_LEAF_CHECK(
      client_server_.ListenAt(settings_.clients.ip, settings_.clients.port));
  BOOST_LEAF_CHECK(readiness_server_.Listen(settings_.readiness));
  BOOST_LEAF_CHECK(peers_.Start());
  peers_.SetSeeds(settings_.seed_ips);
  ListenForMetrics();
  tick_timer_.start(kTickInterval);
  LogEvent("started")
      .With("node", settings_.node)
      .With("data_center", settings_.data_center)
      .With("clients", settings_.clients.ToString())
      .With("incarnation", peers_.incarnation());
  return {};
}

void GatewayNode::ListenForMetrics() {
  if (settings_.metrics.port == 0) return;
  // Metrics are optional: requests are served without them.
  TryOr(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(metrics_server_.Listen(settings_.metrics));
        return true;
      },
      [](const Error& error) {
        LogEvent("metrics_unavailable", LogEvent::Level::kWarning)
            .With("reason", error.detail);
        return false;
      });
}

std::string GatewayNode::CollectMetrics() {
  const BootTime now = BootClock::now();
  const bool configured = context_.routes != nullptr;
  std::size_t queued = 0;
  for (const auto& [name, queue] : context_.wait_queues) queued += queue.size();
  std::map<directory::ServerState, int> servers;
  context_.directory.ForEach(
      [&](const directory::BackendServer&, directory::ServerState state) {
        ++servers[state];
      });
  const std::initializer_list<std::pair<const char*, double>> gauges = {
      {"configuration_version",
       configured ? static_cast<double>(context_.routes->version()) : 0.0},
      {"configuration_age_seconds",
       configured ? telemetry::Seconds(now - configured_at_) : 0.0},
      {"directory_revision", static_cast<double>(replica_.revision())},
      {"store_reached", store_available_ ? 1.0 : 0.0},
      {"servers_ready", servers[directory::ServerState::kReady]},
      {"servers_lapsed", servers[directory::ServerState::kLapsed]},
      {"servers_leaving", servers[directory::ServerState::kLeaving]},
      {"servers_limited_as_cold",
       static_cast<double>(context_.limits.cold_count())},
      {"data_centers_evacuated",
       static_cast<double>(context_.directory.evacuations().size())},
      {"quarantined_signatures",
       static_cast<double>(context_.crash_ledger.quarantined_count())},
      {"server_crashes_found",
       static_cast<double>(context_.crash_detector.crashes_found())},
      {"responses_lost_without_crash",
       static_cast<double>(context_.crash_detector.losses_without_crash())},
      {"peers_alive", static_cast<double>(peers_.AlivePeers().size())},
      {"client_connections", static_cast<double>(clients_.size())},
      {"request_memory_bytes",
       static_cast<double>(context_.client_account.bytes())},
      {"requests_open", static_cast<double>(context_.exchanges.size())},
      {"requests_waiting", static_cast<double>(queued)},
      {"store_calls", static_cast<double>(store_calls ? store_calls() : 0)},
  };
  for (const auto& [name, value] : gauges) {
    context_.metrics.SetGauge(name, value);
  }
  return context_.metrics.Serialize();
}

void GatewayNode::Reload(const GatewaySettings& settings) {
  settings_.seed_ips = settings.seed_ips;
  peers_.SetSeeds(settings_.seed_ips);
  LogEvent("reloaded").With("seeds", settings_.seed_ips.size());
}

bool GatewayNode::IsReady() const {
  return !context_.stop.has_value() && context_.routes != nullptr &&
         context_.configuration_state != ConfigurationState::kOutdated;
}

void GatewayNode::OnClient(int descriptor) {
  auto* client = new ClientConnection(context_, descriptor);
  clients_.insert(client);
  client->on_closed = [this, client] {
    clients_.erase(client);
    client->deleteLater();
  };
  while (ClientConnection* other = context_.client_account.NextToClose()) {
    other->CloseAtOnce();
  }
}

void GatewayNode::OnServerChange(const directory::ServerChange& change) {
  using Kind = directory::ServerChange::Kind;
  LogEvent("server_changed")
      .With("server", change.id)
      .With("change", directory::ServerChange::NameOf(change.kind))
      .With("revision", replica_.revision());
  switch (change.kind) {
    case Kind::kAppeared:
      context_.on_capacity_freed();
      return;
    case Kind::kLapsed:
      return;
    case Kind::kLeaving:
      context_.pool.CloseIdleConnections(change.id);
      for (Exchange* exchange : Exchanges()) {
        exchange->OnServerLeaving(change.id);
      }
      return;
    case Kind::kRestarted:
      OnServerRestarted(*context_.directory.Find(change.id));
      return;
    case Kind::kGone:
      context_.pool.CloseIdleConnections(change.id);
      context_.selector.Forget(change.id);
      context_.limits.Forget(dispatch::ServerKey(change.id));
      return;
  }
}

void GatewayNode::OnServerRestarted(const directory::BackendServer& server) {
  const BootTime now = BootClock::now();
  // The new incarnation may have been in use since then.
  const BootTime began = now - server.age;
  context_.pool.CloseIdleConnections(server.id);
  for (Exchange* exchange : Exchanges()) exchange->OnServerRestarted(server);
  context_.crash_detector.OnServerRestarted(server.id, began);
  context_.selector.OnRestarted(server.id, began);
  context_.limits.OnRestarted(dispatch::ServerKey(server.id), began);
  if (context_.directory.StateOf(server.id) ==
      directory::ServerState::kLeaving) {
    for (Exchange* exchange : Exchanges()) {
      exchange->OnServerLeaving(server.id);
    }
  }
  // What remains of a notice expires unless it is repeated.
  if (context_.directory.IsLeavingByReportOnly(server.id)) {
    reported_leaving_.insert_or_assign(server.id, now);
  } else {
    reported_leaving_.erase(server.id);
  }
  if (context_.on_capacity_freed) context_.on_capacity_freed();
}

std::vector<Exchange*> GatewayNode::Exchanges() const {
  return {context_.exchanges.begin(), context_.exchanges.end()};
}

void GatewayNode::OnResponseHead(const std::string& server_id,
                                 BootTime connected_at,
                                 const http1::ResponseHead& head) {
  const ServerNotice notice = context_.dialect.ParseNotice(head);
  if (notice.leaving || notice.is_other_server) {
    OnSaidLeaving(server_id, connected_at, notice);
  }
  if (notice.cold_left.has_value()) {
    OnSaidCold(server_id, connected_at, *notice.cold_left);
  }
  OnLimitStated(server_id, notice.requests_per_second, head);
  if (!notice.retry_after.has_value()) return;
  LogEvent("server_rests")
      .With("server", server_id)
      .With("status", head.status)
      .With("rest", *notice.retry_after);
  const BootTime now = BootClock::now();
  context_.selector.OnBackoffRequested(server_id, now + *notice.retry_after,
                                       now);
}

void GatewayNode::OnSaidLeaving(const std::string& server_id,
                                BootTime connected_at,
                                const ServerNotice& notice) {
  const BootTime now = BootClock::now();
  // A connection from before a restart was known may be to either incarnation.
  const bool may_be_former =
      connected_at < context_.directory.KnownSince(server_id);
  if (may_be_former) reported_leaving_.insert_or_assign(server_id, now);
  const auto change = context_.directory.OnReportedLeaving(
      server_id,
      may_be_former ? directory::LeavingNotice::kReported
                    : directory::LeavingNotice::kFinal,
      now);
  // Every response repeats it, and only the first is an event. If the store or
  // a report said so before, it only becomes final and is not logged again.
  if (!change.has_value()) return;
  LogEvent(notice.is_other_server ? "address_taken" : "answer_said_leaving")
      .With("server", server_id);
  OnServerChange(*change);
  peers_.AnnounceLeaving(context_.LeavingNow(server_id));
}

void GatewayNode::OnReportedLeaving(const gossip::LeavingServer& server,
                                    bool by_peer) {
  if (context_.directory.IsFormer(server.id, server.started_at)) {
    LogEvent("former_incarnation_leaving").With("server", server.id);
    return;
  }
  const BootTime now = BootClock::now();
  reported_leaving_.insert_or_assign(server.id, now);
  const auto change = context_.directory.OnReportedLeaving(
      server.id, directory::LeavingNotice::kReported, now);
  if (change.has_value()) {
    store_lagging_until_ = now + kStoreLagTime;
    OnServerChange(*change);
  }
  if (!by_peer) peers_.AnnounceLeaving(server);
}

void GatewayNode::OnCrashEvidence(const quarantine::Change& change) {
  LogQuarantineChanges(change);
  if (change.is_news) peers_.AnnounceEvidence();
  // The request that caused the change is still being handled.
  if (!change.quarantined.empty()) quarantine_timer_.start(0);
}

std::size_t GatewayNode::RankAmongGateways(
    const quarantine::Signature& signature) const {
  std::vector<std::string> gateways = peers_.AlivePeers();
  gateways.push_back(settings_.ip);
  const std::vector<std::string> order = membership::RendezvousOrder(
      quarantine::ToText(signature), std::move(gateways));
  const auto own = std::ranges::find(order, settings_.ip);
  return static_cast<std::size_t>(std::distance(order.begin(), own));
}

void GatewayNode::LogQuarantineChanges(const quarantine::Change& change) {
  for (const quarantine::Signature& signature : change.quarantined) {
    LogEvent("quarantine_started", LogEvent::Level::kWarning)
        .With("traits", quarantine::ToText(signature))
        .With("crashes", context_.crash_ledger.CrashesOf(signature.front()));
  }
  for (const quarantine::Signature& signature : change.released) {
    LogEvent("quarantine_ended").With("traits", quarantine::ToText(signature));
  }
}

void GatewayNode::RejectQuarantined() {
  for (Exchange* exchange : Exchanges()) exchange->OnQuarantine();
}

void GatewayNode::PollReports() {
  const BootTime now = BootClock::now();
  std::vector<std::string> gateways = peers_.AlivePeers();
  gateways.push_back(settings_.ip);
  const bool urgent = (!store_available_ && !peers_.AnyReachesStore()) ||
                      now < store_lagging_until_;
  report_poller_.Poll(settings_.ip, gateways, urgent, now);
  std::erase_if(reported_leaving_, [&](const auto& item) {
    if (now - item.second <= kLeavingReportLifetime) return false;
    const auto change =
        context_.directory.OnLeavingReportExpired(item.first, now);
    if (change.has_value()) OnServerChange(*change);
    return true;
  });
}

void GatewayNode::UpdateConfigurationState(BootTime now) {
  const auto& texts = peers_.newer_texts();
  const auto newer = std::ranges::find_if(texts, [this](const auto& item) {
    return context_.dialect.IsConfigurationKey(item.first);
  });
  ConfigurationState state = ConfigurationState::kNewest;
  if (newer != texts.end()) {
    const bool is_outdated = now - newer->second > kMaxConfigurationLag &&
                             peers_.MostPeersAreAhead();
    state = is_outdated ? ConfigurationState::kOutdated
                        : ConfigurationState::kNewerExists;
  }
  const ConfigurationState before =
      std::exchange(context_.configuration_state, state);
  if ((state == ConfigurationState::kOutdated) ==
      (before == ConfigurationState::kOutdated)) {
    return;
  }
  LogEvent("configuration_outdated", LogEvent::Level::kWarning)
      .With("outdated", state == ConfigurationState::kOutdated ? 1 : 0)
      .With("lag", peers_.Lag(now));
}

void GatewayNode::OnTick() {
  const BootTime now = BootClock::now();
  UpdateConfigurationState(now);
  if (now - refreshed_at_ >= kDirectoryRefreshInterval) RefreshDirectory(now);
  DispatchWaiting();
  context_.pool.CloseExpired(now);
  if (context_.stop.has_value()) CheckStopped();
}

void GatewayNode::RefreshDirectory(BootTime now) {
  refreshed_at_ = now;
  for (const auto& change : context_.directory.ProcessTimeouts(now)) {
    OnServerChange(change);
  }
  for (const std::string& data_center :
       context_.directory.evacuations().TakeLapsed(now)) {
    OnReopened(data_center);
  }
  PollReports();
  context_.selector.RemoveIdleServers(now);
  context_.limits.RemoveExpired(now);
  UpdateColdLimits(now);
  context_.crash_detector.DropExpired(now);
  LogQuarantineChanges(context_.crash_ledger.DropExpired(now));
}

void GatewayNode::DispatchWaiting() {
  for (auto& [service, queue] : context_.wait_queues) {
    const BootTime now = BootClock::now();
    queue.OfferCapacity(
        now, [](Exchange* exchange) { return exchange->TryDispatch(); });
    for (Exchange* exchange : queue.TakeExpired(now)) {
      exchange->OnWaitExpired();
    }
  }
}

void GatewayNode::BeginStop() {
  if (context_.stop.has_value()) return;
  context_.stop.emplace(BootClock::now(), settings_.stop_grace);
  LogEvent("stopping")
      .With("clients", clients_.size())
      .With("requests", context_.exchanges.size());
}

void GatewayNode::CheckStopped() {
  const BootTime now = BootClock::now();
  if (now >= context_.stop->deadline()) {
    for (Exchange* exchange : Exchanges()) exchange->OnStopDeadline();
  }
  if (!context_.stop->IsKnownToBalancer(now)) return;
  const std::vector<ClientConnection*> clients(clients_.begin(),
                                               clients_.end());
  for (ClientConnection* client : clients) client->CloseIfIdle();
  if (!clients_.empty() || !on_stopped) return;
  tick_timer_.stop();
  LogEvent("stopped").With("after", now - context_.stop->start());
  on_stopped();
}

}  // namespace balsam::gateway
