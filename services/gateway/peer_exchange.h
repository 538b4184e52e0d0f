// Communication between gateways: digests sent to some peers several times a
// second, load updates as load changes, and changes of the configuration and
// the directory sent to a peer that lacks them. Long texts are fetched by
// themselves (TextExchange), and changes that need one wait for it.
#pragma once

#include <QTimer>
#include <QUdpSocket>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/gossip/change_set.h"
#include "libraries/gossip/peer_table.h"
#include "libraries/gossip/send_rate_limiter.h"
#include "libraries/revisions/revisioned_map.h"
#include "services/gateway/gateway_context.h"
#include "services/gateway/load_exchange.h"
#include "services/gateway/permit_exchange.h"
#include "services/gateway/simple_http_server.h"
#include "services/gateway/text_exchange.h"

namespace balsam::gateway {

class PeerExchange : public QObject {
  Q_OBJECT

 public:
  // How this gateway is reached by the others.
  struct Identity {
    std::string ip;
    // Where peers fetch changes; the port is the same on every VM.
    directory::Endpoint changes;
    // Where datagrams arrive; the same port on every VM.
    std::uint16_t gossip_port = 0;
    // What the link carries, in bytes a second.
    double link_bytes_per_second = 125e6;
  };

  // `context` and `replica` must outlive this.
  PeerExchange(Identity identity, GatewayContext& context,
               const revisions::RevisionedMap& replica, std::uint64_t seed);

  // Fails with kInvalidSettings if an address cannot be used.
  Result<void> Start();
  void SetSeeds(const std::vector<std::string>& ips);
  // Announces to the other gateways, immediately and for a while after, that a
  // server said that it is leaving.
  void AnnounceLeaving(const gossip::LeavingServer& server);

  // Addresses of the gateways that are alive, without this one.
  std::vector<std::string> AlivePeers() const { return peers_.AlivePeers(); }
  // Whether any gateway that is alive has had uninterrupted access to the store
  // recently. If so, the store was not down, even if this gateway could not
  // reach it.
  bool AnyReachesStore() const { return peers_.AnyReachesStore(); }
  // Number of gateways that reach the store and rank before this one for
  // watching it.
  std::size_t HigherRankedWatchers() const;
  // Number of gateways that rank before this one, whether they reach the store
  // or not.
  std::size_t HigherRankedGateways() const;
  // The replica has a new revision: announces it to a few gateways, which
  // announce it to others.
  void AnnounceRevision();
  // The replica has a new text of `key`.
  void OnText(const std::string& key);
  // How long peers have had changes that this gateway lacks; zero if it has all
  // that it has heard of.
  std::chrono::milliseconds Lag(BootTime now) const;
  // The keys of which newer texts than the replica's are known to exist, and
  // since when, or since the last one arrived.
  const std::map<std::string, BootTime>& newer_texts() const {
    return newer_texts_;
  }
  // Whether at least half of the gateways that are alive, this one included,
  // have every change that it lacks.
  bool MostPeersAreAhead() const;
  // `GatewayContext::crash_ledger` has news: sends them to a few gateways,
  // which send them to others.
  void AnnounceEvidence();
  std::uint64_t incarnation() const { return incarnation_; }

  // Another gateway learned that a server is leaving.
  std::function<void(const gossip::LeavingServer& server)> on_leaving;
  // A peer sent crash evidence that was not known.
  std::function<void(const quarantine::Change& change, const std::string& ip)>
      on_evidence;
  // A peer sent changes that the replica lacks.
  std::function<void(std::vector<revisions::RevisionedEntry> changes,
                     std::uint64_t revision)>
      on_changes;
  // A peer sent a snapshot of all entries instead.
  std::function<void(std::vector<revisions::RevisionedEntry> entries,
                     std::uint64_t revision)>
      on_snapshot;
  // Whether this gateway has had uninterrupted access to the store recently.
  std::function<bool()> reaches_store;

 private:
  // Sends a digest to as many peers as the rate limit allows, in rotation,
  // requests a digest from the peers being probed, and detects peers that were
  // lost.
  void OnGossipRound();
  // Crash evidence that was learned since `evidence_since` is sent first.
  void SendDigest(const std::vector<std::string>& recipients,
                  bool reply_requested,
                  std::optional<BootTime> evidence_since = {});
  void Send(const std::string& ip, const std::string& bytes);
  gossip::Digest MakeDigest(std::size_t recipients);
  // Updates the number of gateways that share the retry budgets.
  void UpdateGatewayCount();
  void OnDatagrams();
  void OnMessage(const gossip::Digest& digest, const std::string& ip);
  template <typename LoadMessage>
  void OnMessage(const LoadMessage& message, const std::string& ip) {
    loads_.OnMessage(message, ip);
  }
  void OnMessage(const gossip::PermitRequest& request, const std::string& ip) {
    permits_.OnMessage(request, ip);
  }
  void OnMessage(const gossip::PermitReply& reply, const std::string& ip) {
    permits_.OnMessage(reply, ip);
  }
  // Fetches the list of all gateways that `ip` knows of.
  void FetchPeerList(const std::string& ip);
  // Fetches the changes that the replica lacks from `ip`.
  void FetchChanges(const std::string& ip);
  // Records that a peer has changes that the replica lacks.
  void OnNewerRevision(std::uint64_t revision);
  // Sends a request to a peer; `on_body` receives the body of a complete
  // response.
  OutboundConnection* Fetch(
      const std::string& ip, const std::string& target,
      std::function<void(const std::string& body)> on_body,
      std::function<void()> on_end);
  // Runs `handler` on what a peer sent, and logs an error if it cannot be
  // decoded.
  template <typename Handler>
  static void HandleOrLog(const std::string& ip, std::string_view error_event,
                          Handler&& handler);
  void OnChanges(const std::string& ip, gossip::ChangeSet set);
  // Applies a set whose texts the replica has.
  void Apply(gossip::ChangeSet set);
  // Applies `waiting_set_` if the replica has its texts.
  void ApplyWaitingSet();
  bool HasTexts(const gossip::ChangeSet& set) const;
  // Ends the fetches of texts that the replica has.
  void DropKnownTexts();
  HttpResponse ServeFetch(const http1::RequestHead& head);
  HttpResponse ServeChanges(const http1::RequestHead& head);
  // Returns the peers that have announced at least this revision.
  std::vector<std::string> PeersWith(std::uint64_t revision) const;

  struct LeavingAnnouncement {
    gossip::LeavingServer server;
    BootTime said_at;
  };

  Identity identity_;
  GatewayContext& context_;
  const revisions::RevisionedMap& replica_;
  gossip::PeerTable peers_;
  SimpleHttpServer server_;
  QUdpSocket socket_;
  QTimer digest_timer_;
  QTimer evidence_timer_;
  BootTime evidence_announced_at_;
  gossip::SendRateLimiter digest_rate_limiter_;
  LoadExchange loads_;
  PermitExchange permits_;
  TextExchange texts_;
  // The newest changes that wait for texts; their short ones are applied, but
  // the replica's revision is not theirs yet.
  std::optional<gossip::ChangeSet> waiting_set_;
  std::map<std::string, BootTime> newer_texts_;
  // The first revision that the replica lacks, as far as it has been announced,
  // and since when; meaningless while the replica has it.
  std::uint64_t lacking_revision_ = 0;
  BootTime lacking_since_;
  // The newest revision that each peer has announced.
  std::map<std::string, std::uint64_t> peer_revisions_;
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  // Servers that reported to this gateway that they are leaving, and when they
  // last did. Reports received from peers are not passed on, or they would
  // circulate forever.
  std::map<std::string, LeavingAnnouncement> announced_leaving_;
  // The fetches in progress; null if there are none.
  OutboundConnection* changes_fetch_ = nullptr;
  OutboundConnection* peer_list_fetch_ = nullptr;
  // Size of the last digest in bytes.
  std::size_t last_digest_bytes_ = 0;
};

}  // namespace balsam::gateway
