// What the gateway learns from the platform's store: the configuration, and the
// backend servers that announce themselves there.
#include <algorithm>
#include <utility>

#include "libraries/base/log_event.h"
#include "libraries/revisions/revision.h"
#include "services/gateway/gateway_node.h"

namespace balsam::gateway {
namespace {

using revisions::RevisionedEntry;
using std::chrono::milliseconds;

// Longer ages of servers make no difference, and might overflow.
constexpr std::chrono::hours kMaxAge{24};
// Entries that expired around an outage of the store may be missing for this
// long after its recovery.
constexpr milliseconds kStoreRecoveryTime{3000};
// Changes come in bursts, for example when several engines leave at the same
// time, and each watch response is a billed call. The next watch is therefore
// delayed a little, and then returns all changes since. The delay grows with
// the number of gateways, so that the total number of their calls does not.
// Several gateways watch at different moments and forward what they learn, so
// changes become known much sooner than the delay suggests.
constexpr milliseconds kWatchDelayPerGateway{8};
// Well within the time in which a configuration must take effect (platform: 2 s
// and more), and a small part of an engine's leave notice.
constexpr milliseconds kMaxWatchDelay{200};
// A gateway that has lacked what peers have for this long asks the store
// itself, since they serve it too slowly. Not all gateways do at the same
// moment.
constexpr milliseconds kMaxPeerLag{1000};
constexpr milliseconds kPeerLagPerGateway{10};
// The entry of a server has some hundred bytes. A longer one is not one, and
// peers would be sent it each time that they lack a change.
constexpr std::size_t kMaxServerEntryBytes = 64 << 10;

// Time since the server started, by this VM's clock.
milliseconds AgeOf(const directory::BackendServer& server) {
  if (!server.started_at.has_value()) return milliseconds(0);
  const auto now = std::chrono::floor<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return std::clamp<milliseconds>(now - *server.started_at, milliseconds(0),
                                  kMaxAge);
}

}  // namespace

std::vector<RevisionedEntry> GatewayNode::WithoutUnusableTexts(
    std::vector<RevisionedEntry> entries) const {
  for (RevisionedEntry& entry : entries) {
    if (!entry.value.has_value() ||
        context_.dialect.IsConfigurationKey(entry.key)) {
      continue;
    }
    const bool is_server = context_.dialect.ServerIdOf(entry.key).has_value();
    if (is_server && entry.value->size() <= kMaxServerEntryBytes) continue;
    if (is_server) {
      LogEvent("store_text_dropped", LogEvent::Level::kWarning)
          .With("key", entry.key)
          .With("bytes", entry.value->size());
    }
    // The key stays, so that what it held before is replaced.
    entry.value.emplace();
  }
  return entries;
}

void GatewayNode::OnStoreChanges(std::vector<RevisionedEntry> changes,
                                 std::uint64_t store_revision) {
  const std::uint64_t before = replica_.revision();
  changes = WithoutUnusableTexts(std::move(changes));
  for (RevisionedEntry& entry : changes) {
    const std::string key = entry.key;
    if (replica_.Apply(std::move(entry))) OnEntry(key, false);
  }
  replica_.AdvanceTo(store_revision);
  if (replica_.revision() > before) peers_.AnnounceRevision();
}

void GatewayNode::OnStoreSnapshot(std::vector<RevisionedEntry> entries,
                                  std::uint64_t store_revision) {
  // A snapshot older than the replica has no new information.
  if (store_revision < replica_.revision()) return;
  const std::uint64_t before = replica_.revision();
  const bool is_restored =
      before > 0 && revisions::EraOf(store_revision) > revisions::EraOf(before);
  entries = WithoutUnusableTexts(std::move(entries));
  const auto changes = replica_.ApplySnapshot({}, entries, store_revision);
  if (is_restored) {
    // Servers that are missing from the copy announce themselves again.
    store_recovered_at_ = BootClock::now();
    LogEvent("store_copy_applied", LogEvent::Level::kWarning)
        .With("before", before)
        .With("revision", store_revision)
        .With("changes", changes.size());
  }
  for (const RevisionedEntry& entry : changes) OnEntry(entry.key, is_restored);
  if (store_revision > before) peers_.AnnounceRevision();
}

milliseconds GatewayNode::WatchDelay() const {
  return std::min(kMaxWatchDelay,
                  kWatchDelayPerGateway *
                      static_cast<std::int64_t>(context_.gateway_count - 1));
}

void GatewayNode::OnStoreAvailable(bool available) {
  if (available == store_available_) return;
  store_available_ = available;
  if (available) store_recovered_at_ = BootClock::now();
  LogEvent(available ? "store_regained" : "store_lost",
           available ? LogEvent::Level::kInfo : LogEvent::Level::kWarning)
      .With("revision", replica_.revision());
}

void GatewayNode::OnStoreStandby() {
  store_available_ = false;
  LogEvent("store_left_to_others").With("revision", replica_.revision());
}

bool GatewayNode::ShouldWatchStore() {
  const BootTime now = BootClock::now();
  const auto max_lag =
      kMaxPeerLag + kPeerLagPerGateway * static_cast<std::int64_t>(
                                             peers_.HigherRankedGateways());
  if (peers_.Lag(now) > max_lag) return true;
  return watcher_selection_.ShouldWatch(peers_.HigherRankedWatchers(),
                                        peers_.HigherRankedGateways(), now);
}

bool GatewayNode::ReachesStore() const {
  return store_available_ &&
         BootClock::now() - store_recovered_at_ >= kStoreRecoveryTime;
}

bool GatewayNode::MayHaveLapsed() const {
  return !ReachesStore() && !peers_.AnyReachesStore();
}

void GatewayNode::OnEntry(const std::string& key, bool is_restored) {
  const std::string* text = replica_.Find(key);
  if (text != nullptr && TextExchange::IsLong(*text)) peers_.OnText(key);
  if (context_.dialect.IsConfigurationKey(key)) {
    if (text != nullptr) OnConfiguration(*text);
    return;
  }
  if (const auto data_center = context_.dialect.EvacuatedDataCenterOf(key)) {
    OnEvacuationEntry(*data_center, text != nullptr, is_restored);
    return;
  }
  const auto id = context_.dialect.ServerIdOf(key);
  if (id.has_value()) OnServerEntry(*id, text, is_restored);
}

void GatewayNode::OnEvacuationEntry(const std::string& data_center, bool exists,
                                    bool is_restored) {
  directory::EvacuationList& evacuations = context_.directory.evacuations();
  if (exists) {
    if (evacuations.OnRequested(data_center)) OnEvacuated(data_center);
  } else if (is_restored) {
    evacuations.OnMissingFromCopy(data_center, BootClock::now());
  } else if (evacuations.OnWithdrawn(data_center)) {
    OnReopened(data_center);
  }
}

void GatewayNode::OnEvacuated(const std::string& data_center) {
  std::vector<std::string> servers;
  context_.directory.ForEach(
      [&](const directory::BackendServer& server, directory::ServerState) {
        if (server.data_center == data_center) servers.push_back(server.id);
      });
  for (const std::string& id : servers) {
    context_.pool.CloseIdleConnections(id);
  }
  const auto runs =
      std::ranges::count_if(context_.exchanges, [&](const Exchange* exchange) {
        return exchange->RunsInDataCenter(data_center);
      });
  LogEvent("data_center_evacuated", LogEvent::Level::kWarning)
      .With("data_center", data_center)
      .With("servers", servers.size())
      .With("running", runs)
      .With("revision", replica_.revision());
}

void GatewayNode::OnReopened(const std::string& data_center) {
  LogEvent("data_center_reopened")
      .With("data_center", data_center)
      .With("revision", replica_.revision());
  context_.on_capacity_freed();
}

void GatewayNode::OnConfiguration(const std::string& text) {
  const auto on_error = [](const Error& error) {
    LogEvent("configuration_refused", LogEvent::Level::kError)
        .With("reason", error.detail);
    return std::shared_ptr<const routing::RouteTable>();
  };
  const routing::Configuration none;
  const routing::Configuration& known =
      context_.routes == nullptr ? none : context_.routes->configuration();
  const auto table = TryOr(
      [&]() -> Result<std::shared_ptr<const routing::RouteTable>> {
        BOOST_LEAF_AUTO(configuration,
                        context_.dialect.ParseConfiguration(text, known));
        return routing::RouteTable::Build(std::move(configuration));
      },
      on_error);
  if (table == nullptr) return;
  const std::uint64_t before =
      context_.routes == nullptr ? 0 : context_.routes->version();
  if (table->version() <= before) return;
  context_.routes = table;
  configured_at_ = BootClock::now();
  UpdateColdLimits(configured_at_);
  LogEvent("configuration_in_force")
      .With("version", table->version())
      .With("before", before)
      .With("revision", replica_.revision());
}

void GatewayNode::OnServerEntry(const std::string& id, const std::string* text,
                                bool is_restored) {
  const BootTime now = BootClock::now();
  std::optional<directory::ServerChange> change;
  if (text != nullptr) {
    change = TryOr(
        [&]() -> Result<std::optional<directory::ServerChange>> {
          BOOST_LEAF_AUTO(server, context_.dialect.ParseServer(id, *text));
          server.age = AgeOf(server);
          if (context_.directory.IsFormer(id, server.started_at)) {
            LogEvent("former_incarnation_announced", LogEvent::Level::kWarning)
                .With("server", id)
                .With("age", server.age);
          }
          return is_restored ? context_.directory.OnRestored(server, now)
                             : context_.directory.OnAnnounced(server, now);
        },
        [&](const Error& error) {
          LogEvent("server_entry_refused", LogEvent::Level::kWarning)
              .With("server", id)
              .With("reason", error.detail);
          return context_.directory.OnRemoved(id, false, now);
        });
  } else {
    change =
        context_.directory.OnRemoved(id, is_restored || MayHaveLapsed(), now);
  }
  // Before the change lets requests go to the server.
  UpdateColdLimit(id, now);
  if (change.has_value()) OnServerChange(*change);
}

}  // namespace balsam::gateway
