// Assembles a gateway: listeners, the replica of configuration and directory,
// gossip with the other gateways, and the requests that wait.
#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/membership/watch_duty.h"
#include "libraries/revisions/revisioned_map.h"
#include "services/gateway/client_connection.h"
#include "services/gateway/gateway_context.h"
#include "services/gateway/gateway_settings.h"
#include "services/gateway/peer_exchange.h"
#include "services/gateway/plain_server.h"
#include "services/gateway/report_poller.h"

namespace balsam::gateway {

class GatewayNode : public QObject {
  Q_OBJECT

 public:
  GatewayNode(GatewaySettings settings, const Dialect& dialect);
  ~GatewayNode() override;

  // Fails if an address cannot be listened on.
  Result<void> Start();
  // Takes what a reload may change: seeds and limits.
  void Reload(const GatewaySettings& settings);
  // Finishes what runs, then calls `on_stopped`.
  void BeginStop();

  // Changes that the store's client read, newest revision last.
  void OnStoreChanges(const std::vector<revisions::RevisionedEntry>& changes,
                      std::uint64_t store_revision);
  // A complete read of all keys.
  void OnStoreSnapshot(const std::vector<revisions::RevisionedEntry>& entries,
                       std::uint64_t store_revision);
  void OnStoreAvailable(bool available);
  // The store's client stands by, since enough other gateways watch.
  void OnStoreLeftToOthers();
  // Whether the store's client is to watch.
  bool IsOnWatchDuty();
  // All changes up to this revision are known.
  std::uint64_t known_revision() const { return replica_.revision(); }

  // How long the store's client rests after each answer of a watch.
  std::chrono::milliseconds WatchPause() const;

  std::function<void()> on_stopped;
  // Calls made to the store so far, for the metrics; may be unset.
  std::function<std::uint64_t()> store_calls;

 private:
  bool IsReady() const;
  void OnClient(int descriptor);
  void OnEntry(const revisions::RevisionedEntry& entry);
  void OnConfiguration(const std::string& text);
  void OnServerEntry(const std::string& id,
                     const std::optional<std::string>& text);
  void OnServerChange(const directory::ServerChange& change);
  // A copy, since the set changes while its members act.
  std::vector<Exchange*> Exchanges() const;
  // Reached the store all the while lately.
  bool ReachesStore() const;
  // An entry that is missing now may have expired in an outage of the store:
  // no gateway reached it all the while.
  bool MayHaveLapsed() const;

  // What any answer of a server says of the server itself.
  void OnAnswerHead(const std::string& server_id,
                    const http1::ResponseHead& head);
  // An engine said in an answer that it leaves.
  void OnSaidLeaving(const std::string& server_id);
  // An engine's report or health says that it leaves, here or (`by_peer`) to
  // another gateway.
  void OnReportedLeaving(const std::string& server_id, bool by_peer);
  void PollReports();

  // The text of all metrics; sets those that are read and not counted first.
  std::string CollectMetrics();
  void ListenForMetrics();

  void OnTick();
  // What concerns every server and needs no short interval.
  void WalkDirectory(BootTime now);
  void OfferRoom();
  void CheckStopped();

  GatewaySettings settings_;
  GatewayContext context_;
  revisions::RevisionedMap replica_;
  net::Listener client_server_;
  ReportPoller report_poller_;
  // Servers that said that they leave, here or to a peer, and when this was
  // last heard.
  std::map<std::string, BootTime> reported_leaving_;
  PlainServer readiness_server_;
  PlainServer metrics_server_;
  PeerExchange peers_;
  std::set<ClientConnection*> clients_;
  QTimer tick_timer_;
  QTimer room_timer_;
  // When the configuration in force was taken.
  BootTime configured_;
  // The store answered the last call.
  bool store_available_ = false;
  membership::WatcherSelection watch_duty_{{}};
  // When it was last seen to come back.
  BootTime store_returned_;
  // Until when it counts as behind: an engine told what it had not.
  BootTime store_behind_until_;
  BootTime stop_began_;
  BootTime directory_walked_;
};

}  // namespace balsam::gateway
