// The gateway's process-wide work.
#include "services/gateway/gateway_node.h"

#include <algorithm>
#include <random>
#include <utility>

#include "libraries/base/log_event.h"

namespace balsam::gateway {
namespace {

using revisions::RevisionedEntry;
using std::chrono::milliseconds;

// Between two looks at timers that need no more precision.
constexpr milliseconds kTickInterval{25};
// Between two walks over the whole directory, which may be thousands of
// servers: two for each urgent report (ReportPoller::Limits).
constexpr milliseconds kDirectoryInterval{125};
// After a stop began, new connections may still come until the balancer has
// missed readiness twice, asking once a second.
constexpr milliseconds kBalancerDelay{2600};
// Entries that expired around an outage of the store may be missing for this
// long after its return.
constexpr milliseconds kReturnTime{3000};
constexpr char kMetricsPath[] = "/metrics";
// For how long a word of leaving holds where it is not heard again.
constexpr milliseconds kLeavingMemory{5000};
// For how long engines are asked more often after one told what the store had
// not: a watch can stay silent without a fault that shows.
constexpr milliseconds kStoreBehindTime{8000};

// Changes come in bursts, as when several engines leave at once, and each
// answer of a watch is a priced call: after one, the next is put off a little
// and then brings all that came since. The time grows with the number of
// gateways, so that their calls together do not; as several watch, each at
// another moment, and tell the others, news is known much sooner.
constexpr milliseconds kWatchPausePerGateway{8};
// Far within the time in which a configuration has to be in force (platform:
// 2 s and more), and a small part of an engine's notice.
constexpr milliseconds kLongestWatchPause{200};

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
        return PlainAnswer{IsReady() ? 200 : 503, "text/plain", {}};
      }),
      metrics_server_([this](const http1::RequestHead& head,
                             const std::string&) {
        if (head.target != kMetricsPath) {
          return PlainAnswer{404, "text/plain", {}};
        }
        return PlainAnswer{200, "text/plain; version=0.0.4", CollectMetrics()};
      }),
      peers_({settings_.ip, settings_.peers, settings_.gossip_port}, context_,
             replica_, RandomNumber()) {
  context_.data_center = settings_.data_center;
  context_.on_room = [this] {
    if (!room_timer_.isActive()) room_timer_.start(0);
  };
  context_.pool.on_answer_head = [this](const std::string& server_id,
                                        const http1::ResponseHead& head) {
    OnAnswerHead(server_id, head);
  };
  report_poller_.on_leaving = [this](const std::string& server_id) {
    OnReportedLeaving(server_id, false);
  };
  peers_.on_leaving = [this](const std::string& server_id) {
    OnReportedLeaving(server_id, true);
  };
  peers_.on_changes = [this](const auto& changes, std::uint64_t revision) {
    OnStoreChanges(changes, revision);
  };
  peers_.on_snapshot = [this](const auto& entries, std::uint64_t revision) {
    OnStoreSnapshot(entries, revision);
  };
  peers_.reaches_store = [this] { return ReachesStore(); };
  room_timer_.setSingleShot(true);
  connect(&room_timer_, &QTimer::timeout, this, &GatewayNode::OfferRoom);
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
  // Requests are served without metrics, too.
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
  std::size_t waiting = 0;
  for (const auto& [service, line] : context_.waiting) waiting += line.size();
  std::map<directory::ServerState, int> servers;
  context_.directory.ForEach(
      [&](const directory::BackendServer&, directory::ServerState life) {
        ++servers[life];
      });
  const std::initializer_list<std::pair<const char*, double>> gauges = {
      {"configuration_version",
       configured ? static_cast<double>(context_.routes->version()) : 0.0},
      {"configuration_age_seconds",
       configured ? telemetry::Seconds(now - configured_) : 0.0},
      {"directory_revision", static_cast<double>(replica_.revision())},
      {"store_reached", store_available_ ? 1.0 : 0.0},
      {"servers_ready", servers[directory::ServerState::kReady]},
      {"servers_lapsed", servers[directory::ServerState::kLapsed]},
      {"servers_leaving", servers[directory::ServerState::kLeaving]},
      {"peers_alive", static_cast<double>(peers_.AlivePeers().size())},
      {"client_connections", static_cast<double>(clients_.size())},
      {"requests_open", static_cast<double>(context_.exchanges.size())},
      {"requests_waiting", static_cast<double>(waiting)},
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
  return !context_.stopping && context_.routes != nullptr;
}

void GatewayNode::OnClient(int descriptor) {
  auto* client = new ClientConnection(context_, descriptor);
  clients_.insert(client);
  client->on_closed = [this, client] {
    clients_.erase(client);
    client->deleteLater();
  };
}

void GatewayNode::OnStoreChanges(const std::vector<RevisionedEntry>& changes,
                                 std::uint64_t store_revision) {
  const std::uint64_t before = replica_.revision();
  for (const RevisionedEntry& entry : changes) {
    if (replica_.Apply(entry)) OnEntry(entry);
  }
  replica_.AdvanceTo(store_revision);
  if (replica_.revision() > before) peers_.TellNews();
}

void GatewayNode::OnStoreSnapshot(const std::vector<RevisionedEntry>& entries,
                                  std::uint64_t store_revision) {
  // One that is older than what is known tells nothing.
  if (store_revision < replica_.revision()) return;
  const std::uint64_t before = replica_.revision();
  const auto changes = replica_.ApplySnapshot({}, entries, store_revision);
  for (const RevisionedEntry& entry : changes) OnEntry(entry);
  if (store_revision > before) peers_.TellNews();
}

milliseconds GatewayNode::WatchPause() const {
  return std::min(
      kLongestWatchPause,
      kWatchPausePerGateway * static_cast<std::int64_t>(context_.gateways - 1));
}

void GatewayNode::OnStoreAvailable(bool available) {
  if (available == store_available_) return;
  store_available_ = available;
  if (available) store_returned_ = BootClock::now();
  LogEvent(available ? "store_regained" : "store_lost",
           available ? LogEvent::Level::kInfo : LogEvent::Level::kWarning)
      .With("revision", replica_.revision());
}

void GatewayNode::OnStoreLeftToOthers() {
  store_available_ = false;
  LogEvent("store_left_to_others").With("revision", replica_.revision());
}

bool GatewayNode::IsOnWatchDuty() {
  return watch_duty_.ShouldWatch(peers_.WatchersBefore(),
                                 peers_.GatewaysBefore(), BootClock::now());
}

bool GatewayNode::ReachesStore() const {
  return store_available_ && BootClock::now() - store_returned_ >= kReturnTime;
}

bool GatewayNode::MayHaveLapsed() const {
  return !ReachesStore() && !peers_.AnyReachesStore();
}

void GatewayNode::OnEntry(const RevisionedEntry& entry) {
  if (context_.dialect.IsConfigurationKey(entry.key)) {
    if (entry.value.has_value()) OnConfiguration(*entry.value);
    return;
  }
  const auto id = context_.dialect.ServerIdOf(entry.key);
  if (id.has_value()) OnServerEntry(*id, entry.value);
}

void GatewayNode::OnConfiguration(const std::string& text) {
  const auto keep = [](const Error& error) {
    LogEvent("configuration_refused", LogEvent::Level::kError)
        .With("reason", error.detail);
    return std::shared_ptr<const routing::RouteTable>();
  };
  const auto table = TryOr(
      [&]() -> Result<std::shared_ptr<const routing::RouteTable>> {
        BOOST_LEAF_AUTO(configuration,
                        context_.dialect.ReadConfiguration(text));
        return routing::RouteTable::Build(std::move(configuration));
      },
      keep);
  if (table == nullptr) return;
  const std::uint64_t before =
      context_.routes == nullptr ? 0 : context_.routes->version();
  if (table->version() <= before) return;
  context_.routes = table;
  configured_ = BootClock::now();
  LogEvent("configuration_in_force")
      .With("version", table->version())
      .With("before", before)
      .With("revision", replica_.revision());
}

void GatewayNode::OnServerEntry(const std::string& id,
                                const std::optional<std::string>& text) {
  const BootTime now = BootClock::now();
  std::optional<directory::ServerChange> change;
  if (text.has_value()) {
    change = TryOr(
        [&]() -> Result<std::optional<directory::ServerChange>> {
          BOOST_LEAF_AUTO(server, context_.dialect.ReadServer(id, *text));
          return context_.directory.OnAnnounced(server, now);
        },
        [&](const Error& error) {
          LogEvent("server_entry_refused", LogEvent::Level::kWarning)
              .With("server", id)
              .With("reason", error.detail);
          return context_.directory.OnRemoved(id, false, now);
        });
  } else {
    change = context_.directory.OnRemoved(id, MayHaveLapsed(), now);
  }
  if (change.has_value()) OnServerChange(*change);
}

void GatewayNode::OnServerChange(const directory::ServerChange& change) {
  using Kind = directory::ServerChange::Kind;
  LogEvent("server_changed")
      .With("server", change.id)
      .With("change", directory::ServerChange::NameOf(change.kind))
      .With("revision", replica_.revision());
  switch (change.kind) {
    case Kind::kAppeared:
      context_.on_room();
      return;
    case Kind::kLapsed:
      return;
    case Kind::kLeaving:
      context_.pool.Drop(change.id);
      for (Exchange* exchange : Exchanges()) {
        exchange->OnServerLeaving(change.id);
      }
      return;
    case Kind::kRestarted:
      context_.pool.Drop(change.id);
      for (Exchange* exchange : Exchanges()) {
        exchange->OnServerRestarted(change.id);
      }
      context_.selector.Forget(change.id);
      return;
    case Kind::kGone:
      context_.pool.Drop(change.id);
      context_.selector.Forget(change.id);
      return;
  }
}

std::vector<Exchange*> GatewayNode::Exchanges() const {
  return {context_.exchanges.begin(), context_.exchanges.end()};
}

void GatewayNode::OnAnswerHead(const std::string& server_id,
                               const http1::ResponseHead& head) {
  const ServerNotice notice = context_.dialect.ReadNotice(head);
  if (notice.leaving) OnSaidLeaving(server_id);
  if (!notice.rest.has_value()) return;
  LogEvent("server_rests")
      .With("server", server_id)
      .With("status", head.status)
      .With("rest", *notice.rest);
  context_.selector.OnBackoffRequested(server_id,
                                       BootClock::now() + *notice.rest);
}

void GatewayNode::OnSaidLeaving(const std::string& server_id) {
  const auto change = context_.directory.OnReportedLeaving(
      server_id, directory::LeavingNotice::kFinal, BootClock::now());
  // Each answer says it again; the first is news, and what the store or a
  // report told before is made final without a line.
  if (!change.has_value()) return;
  LogEvent("answer_said_leaving").With("server", server_id);
  OnServerChange(*change);
  peers_.TellLeaving(server_id);
}

void GatewayNode::OnReportedLeaving(const std::string& server_id,
                                    bool by_peer) {
  const BootTime now = BootClock::now();
  reported_leaving_.insert_or_assign(server_id, now);
  const auto change = context_.directory.OnReportedLeaving(
      server_id, directory::LeavingNotice::kReported, now);
  if (change.has_value()) {
    store_behind_until_ = now + kStoreBehindTime;
    OnServerChange(*change);
  }
  if (!by_peer) peers_.TellLeaving(server_id);
}

void GatewayNode::PollReports() {
  const BootTime now = BootClock::now();
  std::vector<std::string> gateways = peers_.AlivePeers();
  gateways.push_back(settings_.ip);
  const bool urgent = (!store_available_ && !peers_.AnyReachesStore()) ||
                      now < store_behind_until_;
  report_poller_.Poll(settings_.ip, gateways, urgent, now);
  std::erase_if(reported_leaving_, [&](const auto& item) {
    if (now - item.second <= kLeavingMemory) return false;
    const auto change =
        context_.directory.OnLeavingReportExpired(item.first, now);
    if (change.has_value()) OnServerChange(*change);
    return true;
  });
}

void GatewayNode::OnTick() {
  const BootTime now = BootClock::now();
  if (now - directory_walked_ >= kDirectoryInterval) WalkDirectory(now);
  context_.suspicions.DropExpired(now);
  OfferRoom();
  context_.pool.CloseOld(now);
  if (context_.stopping) CheckStopped();
}

void GatewayNode::WalkDirectory(BootTime now) {
  directory_walked_ = now;
  for (const auto& change : context_.directory.ProcessTimeouts(now)) {
    OnServerChange(change);
  }
  PollReports();
  context_.selector.RemoveIdleServers(now);
}

void GatewayNode::OfferRoom() {
  for (auto& [service, line] : context_.waiting) {
    const BootTime now = BootClock::now();
    line.OfferCapacity(
        now, [](Exchange* exchange) { return exchange->TryDispatch(); });
    for (Exchange* exchange : line.TakeExpired(now)) {
      exchange->OnWaitExpired();
    }
  }
}

void GatewayNode::BeginStop() {
  if (std::exchange(context_.stopping, true)) return;
  stop_began_ = BootClock::now();
  context_.takes_all_until = stop_began_ + kBalancerDelay;
  context_.ends_at = stop_began_ + settings_.stop_grace;
  LogEvent("stopping")
      .With("clients", clients_.size())
      .With("requests", context_.exchanges.size());
}

void GatewayNode::CheckStopped() {
  const auto since = BootClock::now() - stop_began_;
  if (since < kBalancerDelay) return;
  const std::vector<ClientConnection*> clients(clients_.begin(),
                                               clients_.end());
  for (ClientConnection* client : clients) client->CloseIfIdle();
  if (!clients_.empty() || !on_stopped) return;
  tick_timer_.stop();
  LogEvent("stopped").With("after", since);
  on_stopped();
}

}  // namespace balsam::gateway
