// Exchange of load information between gateways. Two gateways, a primary and a
// backup, aggregate the load of each backend server: every gateway reports to
// them what it runs there, and a gateway that is about to choose an engine
// queries them. Load totals are also broadcast to all gateways as far as the
// rate limit allows, for choices made without a query.
#pragma once

#include <QObject>
#include <QTimer>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libraries/gossip/aggregator_load_tracker.h"
#include "libraries/gossip/digest.h"
#include "libraries/gossip/load_delta_tracker.h"
#include "libraries/gossip/peer_table.h"
#include "libraries/gossip/send_rate_limiter.h"
#include "libraries/membership/aggregator_assignment.h"
#include "services/gateway/gateway_context.h"

namespace balsam::gateway {

class LoadExchange : public QObject {
  Q_OBJECT

 public:
  // Sends a datagram to the gateway at `ip`.
  using Send =
      std::function<void(const std::string& ip, const std::string& bytes)>;

  // `context` and `peers` must outlive this. Installs the load functions of
  // `context`.
  LoadExchange(std::string own_ip, GatewayContext& context,
               gossip::PeerTable& peers, Send send);

  void Start();
  // Must be called in each gossip round, once it is known which peers are
  // alive.
  void OnGossipRound();
  // A gateway was lost or has restarted: what it ran is not known to run any
  // more, and it has lost what it was sent.
  void ForgetPeer(const std::string& ip);

  // The gateway to ask about a server, and the one that is asked unless it does
  // not respond. Empty if there is none.
  const std::string& AggregatorToQuery(std::uint32_t server);
  const std::string& PrimaryAggregatorOf(std::uint32_t server);
  // An aggregator did not reply: the other one of its servers is asked for a
  // while.
  void OnAggregatorUnresponsive(const std::string& aggregator);

  void OnMessage(const gossip::LoadUpdate& update, const std::string& sender);
  void OnMessage(const gossip::LoadTotals& totals, const std::string& sender);
  void OnMessage(const gossip::LoadQuery& query, const std::string& sender);

 private:
  // A query to aggregators that not all of them have answered yet.
  struct PendingQuery {
    // Servers without a reply, with the aggregator that was queried.
    std::map<std::uint32_t, std::string> unanswered;
    // Servers whose load is known.
    std::size_t resolved_servers = 0;
    // Null after it has been called.
    LoadQueryCallback on_done;
  };

  void OnTimer();
  // Sends changes of this gateway's load to the aggregators of the servers
  // concerned.
  void SendLoadUpdates();
  // Sends peers the changes of the totals of which this gateway is the primary
  // aggregator, as far as the rate limit allows. Peers that were left out come
  // first next time.
  void SendLoadTotals();
  // The load of all gateways at the servers of which this gateway is the
  // primary aggregator.
  dispatch::UsageByServer AggregatedLoad(BootTime now);
  // The load of all gateways at the given servers, without the recipient's own.
  dispatch::UsageByServer TotalsFor(const std::string& recipient,
                                    const std::vector<std::uint32_t>& servers,
                                    BootTime now);
  const dispatch::UsageByServer& LocalLoad(BootTime now);
  // See `GatewayContext::query_loads`.
  bool QueryLoads(const std::vector<std::string>& server_ids,
                  LoadQueryCallback on_done);
  void FinishQuery(std::uint64_t query_id);
  static void RunCallback(PendingQuery& query);
  void UpdateAggregators(BootTime now);
  // The gateways to which the load at a server is reported.
  std::vector<std::string> UpdateRecipients(std::uint32_t server);
  // Whether this gateway knows the complete load at a server from reports.
  bool IsAggregatorOf(std::uint32_t server);

  std::string own_ip_;
  GatewayContext& context_;
  gossip::PeerTable& peers_;
  Send send_;
  QTimer timer_;
  gossip::SendRateLimiter rate_limiter_;
  // The aggregators of each server, by `dispatch::ServerKey`: chosen among all
  // gateways that are alive, and among those that have been alive long enough
  // to have received all reports. Load is reported to both, and the latter are
  // queried.
  membership::AggregatorAssignment all_aggregators_;
  membership::AggregatorAssignment synced_aggregators_;
  // Whether this gateway has itself been alive that long, or most gateways have
  // just started and none has more complete data.
  bool is_synced_ = false;
  BootTime started_;
  // Aggregators that did not reply, and when. The other aggregator of their
  // servers is queried for a while.
  std::map<std::string, BootTime> unresponsive_aggregators_;
  gossip::AggregatorLoadTracker update_tracker_;
  // What peers were sent of the totals aggregated here.
  gossip::LoadDeltaTracker total_tracker_;
  // This gateway's load, as of the selector's version `local_load_version_`.
  dispatch::UsageByServer local_load_;
  std::uint64_t local_load_version_ = 0;
  // That version when the aggregators were last sent updates.
  std::uint64_t sent_load_version_ = 0;
  BootTime last_refresh_;
  std::map<std::uint64_t, PendingQuery> pending_queries_;
  std::uint64_t last_query_id_ = 0;
  // The last peer that was sent totals.
  std::string last_recipient_;
  std::uint64_t sequence_ = 0;
};

}  // namespace balsam::gateway
