// Assembles a gateway from its listeners, the replica of the configuration and
// the directory, the communication with other gateways, and the queued
// requests.
#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/membership/watcher_selection.h"
#include "libraries/revisions/revisioned_map.h"
#include "services/gateway/client_connection.h"
#include "services/gateway/gateway_context.h"
#include "services/gateway/gateway_settings.h"
#include "services/gateway/peer_exchange.h"
#include "services/gateway/report_poller.h"
#include "services/gateway/simple_http_server.h"

namespace balsam::gateway {

class GatewayNode : public QObject {
  Q_OBJECT

 public:
  GatewayNode(GatewaySettings settings, const Dialect& dialect);
  ~GatewayNode() override;

  // Fails if an address cannot be listened on.
  Result<void> Start();
  // Applies the settings that may change on a reload: seeds and limits.
  void Reload(const GatewaySettings& settings);
  // Finishes the running requests, then calls `on_stopped`.
  void BeginStop();

  // Applies changes read from the store; the newest revision is last.
  void OnStoreChanges(std::vector<revisions::RevisionedEntry> changes,
                      std::uint64_t store_revision);
  // Applies a complete read of all keys. One of a later era than what is known
  // (`revisions::EraOf`) is a copy that lacks what was written lately.
  void OnStoreSnapshot(std::vector<revisions::RevisionedEntry> entries,
                       std::uint64_t store_revision);
  void OnStoreAvailable(bool available);
  // The store client is on standby, because enough other gateways watch the
  // store.
  void OnStoreStandby();
  // Whether the store client should watch the store.
  bool ShouldWatchStore();
  // All changes up to this revision are known.
  std::uint64_t known_revision() const { return replica_.revision(); }

  // Delay before the store client watches again after a response.
  std::chrono::milliseconds WatchDelay() const;

  std::function<void()> on_stopped;
  // Changes that peers provided were applied; may be unset.
  std::function<void()> on_peer_changes;
  // Number of calls made to the store, for the metrics; may be unset.
  std::function<std::uint64_t()> store_calls;

 private:
  bool IsReady() const;
  void OnClient(int descriptor);
  // The replica has a new state of `key`. `is_restored`: the entry is part of
  // an older copy from which the store was restored.
  void OnEntry(const std::string& key, bool is_restored);
  void OnConfiguration(const std::string& text);
  // `text` is null if the entry was removed.
  void OnServerEntry(const std::string& id, const std::string* text,
                     bool is_restored);
  // `exists`: operators evacuate the data centre; otherwise they have withdrawn
  // that.
  void OnEvacuationEntry(const std::string& data_center, bool exists,
                         bool is_restored);
  void OnEvacuated(const std::string& data_center);
  // New requests may be sent to the servers of the data centre again.
  void OnReopened(const std::string& data_center);
  void OnServerChange(const directory::ServerChange& change);
  // Drops what is known of a server's former incarnation. `server` is the new
  // one, which may have been in use for a while under the same id.
  void OnServerRestarted(const directory::BackendServer& server);
  // Returns a copy, since the set changes while its members are called.
  std::vector<Exchange*> Exchanges() const;
  // Returns the entries, with an empty text where it is of no use here: of
  // keys that nothing here reads, and of servers' entries that are far too
  // long. Replicas and peers need not keep and pass on what others store.
  std::vector<revisions::RevisionedEntry> WithoutUnusableTexts(
      std::vector<revisions::RevisionedEntry> entries) const;
  // Whether this gateway has had uninterrupted access to the store for
  // `kStoreRecoveryTime`, so that no entry is missing because of an outage.
  bool ReachesStore() const;
  // Whether a missing entry may have expired in an outage of the store, because
  // no gateway had uninterrupted access to it.
  bool MayHaveLapsed() const;

  // Handles what any response of a server says about the server itself.
  void OnResponseHead(const std::string& server_id, BootTime connected_at,
                      const http1::ResponseHead& head);
  // A response names a limit or none.
  void OnLimitStated(const std::string& server_id,
                     std::optional<double> requests_per_second,
                     const http1::ResponseHead& head);
  // A response says how much longer the server is cold. `connected_at`: when
  // its connection was requested.
  void OnSaidCold(const std::string& server_id, BootTime connected_at,
                  std::chrono::milliseconds left);
  // Limits the server if it is cold and its service says how much a cold one
  // bears, and ends that otherwise. Must be called when either has changed.
  void UpdateColdLimit(const std::string& server_id, BootTime now);
  void UpdateColdLimits(BootTime now);
  // A response says that the server is leaving, or that it is gone and another
  // one has its address. `connected_at`: when its connection was requested.
  void OnSaidLeaving(const std::string& server_id, BootTime connected_at,
                     const ServerNotice& notice);
  // An engine's report or health response says that it is leaving. With
  // `by_peer`, another gateway received it.
  void OnReportedLeaving(const gossip::LeavingServer& server, bool by_peer);
  void PollReports();

  // Evidence of crashes that was not known before, seen here or by a peer.
  void OnCrashEvidence(const quarantine::Change& change);
  void LogQuarantineChanges(const quarantine::Change& change);
  // See GatewayContext::rank_among_gateways.
  std::size_t RankAmongGateways(const quarantine::Signature& signature) const;
  // Rejects requests that were admitted before something was quarantined.
  void RejectQuarantined();

  // Updates all gauges and returns the metrics as text.
  std::string CollectMetrics();
  void ListenForMetrics();

  // Whether peers have a newer configuration, and for how long.
  void UpdateConfigurationState(BootTime now);
  void OnTick();
  // Periodic work on every server that does not need a short interval.
  void RefreshDirectory(BootTime now);
  void DispatchWaiting();
  void CheckStopped();

  GatewaySettings settings_;
  GatewayContext context_;
  revisions::RevisionedMap replica_;
  net::Listener client_server_;
  ReportPoller report_poller_;
  // Servers that were reported to be leaving, here or by a peer, and when this
  // was last reported.
  std::map<std::string, BootTime> reported_leaving_;
  SimpleHttpServer readiness_server_;
  SimpleHttpServer metrics_server_;
  PeerExchange peers_;
  std::set<ClientConnection*> clients_;
  QTimer tick_timer_;
  QTimer dispatch_timer_;
  QTimer quarantine_timer_;
  // When the current configuration was applied.
  BootTime configured_at_;
  // The last call to the store succeeded.
  bool store_available_ = false;
  membership::WatcherSelection watcher_selection_{{}};
  // When the store last became available again.
  BootTime store_recovered_at_;
  // Until this time the store is considered to lag behind, because an engine
  // reported that it is leaving before the store did.
  BootTime store_lagging_until_;
  BootTime refreshed_at_;
};

}  // namespace balsam::gateway
