// What the gateways tell each other: a digest to some of them several times a
// second, their load as it changes, and the changes of configuration and
// directory to one that lacks them.
#pragma once

#include <QTimer>
#include <QUdpSocket>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/gossip/change_set.h"
#include "libraries/gossip/peer_table.h"
#include "libraries/gossip/send_allowance.h"
#include "libraries/revisions/revisioned_map.h"
#include "services/gateway/gateway_context.h"
#include "services/gateway/load_exchange.h"
#include "services/gateway/plain_server.h"

namespace balsam::gateway {

class PeerExchange : public QObject {
  Q_OBJECT

 public:
  // Who this gateway is to the others.
  struct Identity {
    std::string ip;
    // Where peers fetch changes; the same port on every VM.
    directory::Endpoint changes;
    // Where datagrams arrive; the same on every VM.
    std::uint16_t gossip_port = 0;
  };

  // `context` and `replica` outlive this.
  PeerExchange(Identity identity, GatewayContext& context,
               const revisions::RevisionedMap& replica, std::uint64_t seed);

  // Fails with kInvalidSettings if an address cannot be used.
  Result<void> Start();
  void SetSeeds(const std::vector<std::string>& ips);
  // Tells the others at once, and for a while, that a server said it leaves.
  void TellLeaving(const std::string& server_id);

  // Addresses of the gateways that are heard, without this one's own.
  std::vector<std::string> AlivePeers() const { return peers_.AlivePeers(); }
  // Whether any gateway that is heard reached the store all the while lately:
  // then the store was not away, whatever this gateway's own path to it did.
  bool AnyReachesStore() const { return peers_.AnyReachesStore(); }
  // How many gateways that reach the store rank before this one to watch it.
  std::size_t WatchersBefore() const;
  // How many do, whether they reach it or not.
  std::size_t GatewaysBefore() const;
  // The replica has something new: tells a few gateways, who tell others.
  void TellNews();
  std::uint64_t incarnation() const { return incarnation_; }

  // Another gateway heard that a server leaves.
  std::function<void(const std::string& server_id)> on_leaving;
  // A peer knew changes that the replica lacks.
  std::function<void(const std::vector<revisions::RevisionedEntry>& changes,
                     std::uint64_t revision)>
      on_changes;
  // The same where a peer told all entries that there are.
  std::function<void(const std::vector<revisions::RevisionedEntry>& entries,
                     std::uint64_t revision)>
      on_snapshot;
  // Whether this gateway reached the store all the while lately.
  std::function<bool()> reaches_store;

 private:
  // Sends a digest to peers in their turn, as many as the allowance lets, asks
  // one for its own, and notices those that were lost.
  void OnRound();
  void SendDigest(const std::vector<std::string>& readers,
                  bool reply_requested);
  void Send(const std::string& ip, const std::string& bytes);
  gossip::Digest MakeDigest(std::size_t readers, BootTime now);
  // Counts the gateways that share budgets.
  void CountGateways();
  void OnDatagrams();
  void OnMessage(const gossip::Digest& digest, const std::string& sender);
  template <typename LoadMessage>
  void OnMessage(const LoadMessage& message, const std::string& sender) {
    loads_.OnMessage(message, sender);
  }
  // Asks `ip` for all gateways that it knows of.
  void PullList(const std::string& ip);
  // Asks `ip` for changes that the replica lacks.
  void PullChanges(const std::string& ip);
  // Calls a peer; `on_body` gets the body of a whole answer.
  OutboundConnection* Pull(const std::string& ip, const std::string& target,
                           std::function<void(const std::string& body)> on_body,
                           std::function<void()> on_end);
  // Takes what a peer sent, or logs why it cannot be read.
  template <typename Take>
  static void TakeOrRefuse(const std::string& ip, std::string_view refused,
                           Take&& take);
  void OnChanges(const std::string& ip, const gossip::ChangeSet& set);
  PlainAnswer AnswerPull(const http1::RequestHead& head) const;

  Identity identity_;
  GatewayContext& context_;
  const revisions::RevisionedMap& replica_;
  gossip::PeerTable peers_;
  PlainServer server_;
  QUdpSocket socket_;
  QTimer digest_timer_;
  gossip::SendRateLimiter digest_allowance_;
  LoadExchange loads_;
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  // Servers that said here that they leave, and when they last did. What only a
  // peer heard is not told on, or it would go round for ever.
  std::map<std::string, BootTime> told_leaving_;
  // The pulls that are under way; null if none is.
  OutboundConnection* changes_pull_ = nullptr;
  OutboundConnection* list_pull_ = nullptr;
  // Bytes of the last digest.
  std::size_t digest_bytes_ = 0;
};

}  // namespace balsam::gateway
