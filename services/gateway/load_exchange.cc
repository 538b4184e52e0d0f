// Load updates, queries and totals, sent as datagrams.
#include "services/gateway/load_exchange.h"

#include <algorithm>
#include <utility>

#include "libraries/base/log_event.h"

namespace balsam::gateway {
namespace {

using std::chrono::milliseconds;

// Interval of the check for changes of the local load. Changes within it share
// a message, and the aggregators have it before the next request arrives.
constexpr milliseconds kChangeCheckInterval{20};
// Interval of the check for load that has to be refreshed, and for changed
// totals of the servers aggregated here. A gateway queries the load before it
// chooses an engine; the totals only decide which engines it queries.
constexpr milliseconds kRefreshCheckInterval{100};
// Aggregators reply within a few milliseconds. Without a reply a server is
// judged by the load that is known.
constexpr milliseconds kQueryTimeout{30};
// A gateway has the complete load of the servers that it aggregates once it has
// been alive for this long: by then the others know of it and have sent it
// everything (gossip::AggregatorLoadTracker::kRefreshInterval).
constexpr milliseconds kSyncTime{2000};
// An aggregator that did not reply is not queried again for this long, which is
// enough to detect whether it is alive.
constexpr milliseconds kUnresponsiveAggregatorPeriod{1500};
// A choice is made once this many loads are known, since the remaining replies
// may take long.
constexpr std::size_t kSufficientLoads = 2;
// Limit for load totals that are sent without a query. Load updates, queries
// and their replies count towards it, but are always sent.
constexpr double kBytesPerSecond = 5000.0;

}  // namespace

LoadExchange::LoadExchange(std::string own_ip, GatewayContext& context,
                           gossip::PeerTable& peers, Send send)
    : own_ip_(std::move(own_ip)),
      context_(context),
      peers_(peers),
      send_(std::move(send)),
      rate_limiter_(kBytesPerSecond),
      started_(BootClock::now()) {
  connect(&timer_, &QTimer::timeout, this, &LoadExchange::OnTimer);
  context_.query_loads = [this](const std::vector<std::string>& server_ids,
                                LoadQueryCallback on_done) {
    return QueryLoads(server_ids, std::move(on_done));
  };
  context_.send_load = [this] { SendLoadUpdates(); };
}

void LoadExchange::Start() { timer_.start(kChangeCheckInterval); }

void LoadExchange::OnGossipRound() {
  const BootTime now = BootClock::now();
  for (const std::string& ip : peers_.AlivePeers()) {
    context_.selector.reports().RenewReport(ip, now);
  }
  UpdateAggregators(now);
}

void LoadExchange::ForgetPeer(const std::string& ip) {
  total_tracker_.Forget(ip);
  update_tracker_.Forget(ip);
  context_.selector.reports().ReplaceReport(ip, {}, BootClock::now());
}

const dispatch::UsageByServer& LoadExchange::LocalLoad(BootTime now) {
  const std::uint64_t changes = context_.selector.usage_version();
  if (std::exchange(local_load_version_, changes) != changes) {
    local_load_ = context_.selector.LocalUsage(now);
  }
  return local_load_;
}

void LoadExchange::OnTimer() {
  const BootTime now = BootClock::now();
  const bool is_refresh = now - last_refresh_ >= kRefreshCheckInterval;
  if (context_.selector.usage_version() != sent_load_version_ || is_refresh) {
    SendLoadUpdates();
  }
  if (!is_refresh) return;
  last_refresh_ = now;
  SendLoadTotals();
}

void LoadExchange::SendLoadUpdates() {
  const BootTime now = BootClock::now();
  sent_load_version_ = context_.selector.usage_version();
  const auto recipients_of = [this](std::uint32_t server) {
    return UpdateRecipients(server);
  };
  for (auto& [aggregator, load] :
       update_tracker_.TakeUpdates(LocalLoad(now), recipients_of, now)) {
    if (aggregator == own_ip_) continue;
    const std::string bytes =
        gossip::Encode(gossip::LoadUpdate{++sequence_, std::move(load)});
    rate_limiter_.Consume(bytes.size(), now);
    send_(aggregator, bytes);
  }
}

dispatch::UsageByServer LoadExchange::AggregatedLoad(BootTime now) {
  dispatch::UsageByServer load = context_.selector.reports().ReportedUsage(now);
  for (const auto& [server, usage] : LocalLoad(now)) load[server] += usage;
  std::erase_if(load, [this](const auto& item) {
    return synced_aggregators_.AggregatorsOf(item.first)[0] != own_ip_;
  });
  return load;
}

dispatch::UsageByServer LoadExchange::TotalsFor(
    const std::string& recipient, const std::vector<std::uint32_t>& servers,
    BootTime now) {
  const dispatch::UsageByServer& own = LocalLoad(now);
  dispatch::UsageByServer totals;
  for (const std::uint32_t server : servers) {
    dispatch::Usage& total = totals[server];
    total =
        context_.selector.reports().ReportedUsageExcept(server, recipient, now);
    const auto found = own.find(server);
    if (found != own.end()) total += found->second;
  }
  return totals;
}

void LoadExchange::SendLoadTotals() {
  const BootTime now = BootClock::now();
  const dispatch::UsageByServer load = AggregatedLoad(now);
  for (const auto& [server, usage] :
       context_.selector.reports().ReportedUsage(now)) {
    // This gateway does not aggregate the server any more; its present
    // aggregators get the reports.
    if (!std::ranges::binary_search(UpdateRecipients(server), own_ip_)) {
      context_.selector.reports().RemoveServer(server);
    }
  }
  total_tracker_.Update(load);
  for (const std::string& ip : peers_.AlivePeersAfter(last_recipient_)) {
    if (!total_tracker_.HasDeltaFor(ip, now)) continue;
    std::vector<std::uint32_t> servers;
    for (const auto& [server, usage] : total_tracker_.DeltaFor(ip, now).load) {
      servers.push_back(server);
    }
    if (!servers.empty()) {
      const std::string bytes =
          gossip::Encode(gossip::LoadTotals{0, TotalsFor(ip, servers, now)});
      if (!rate_limiter_.TryConsume(bytes.size(), now)) return;
      send_(ip, bytes);
    }
    total_tracker_.OnSent(ip, now);
    last_recipient_ = ip;
  }
}

bool LoadExchange::QueryLoads(const std::vector<std::string>& server_ids,
                              LoadQueryCallback on_done) {
  const BootTime now = BootClock::now();
  std::map<std::string, std::vector<std::uint32_t>> by_aggregator;
  PendingQuery query;
  for (const std::string& id : server_ids) {
    const std::uint32_t server = dispatch::ServerKey(id);
    // Totals that were broadcast are not sufficient: all gateways received them
    // at the same moment and would make the same choice.
    if (IsAggregatorOf(server)) {
      ++query.resolved_servers;
      continue;
    }
    const std::string& aggregator = AggregatorToQuery(server);
    by_aggregator[aggregator].push_back(server);
    query.unanswered.emplace(server, aggregator);
  }
  if (by_aggregator.empty()) return false;
  const std::uint64_t query_id = ++last_query_id_;
  query.on_done = std::move(on_done);
  pending_queries_.emplace(query_id, std::move(query));
  for (auto& [aggregator, servers] : by_aggregator) {
    const std::string bytes =
        gossip::Encode(gossip::LoadQuery{query_id, std::move(servers)});
    rate_limiter_.Consume(bytes.size(), now);
    send_(aggregator, bytes);
  }
  QTimer::singleShot(kQueryTimeout, Qt::PreciseTimer, this,
                     [this, query_id] { FinishQuery(query_id); });
  return true;
}

void LoadExchange::FinishQuery(std::uint64_t query_id) {
  auto query = pending_queries_.extract(query_id);
  if (query.empty()) return;
  const BootTime now = BootClock::now();
  std::set<std::string> unresponsive;
  for (const auto& [server, aggregator] : query.mapped().unanswered) {
    context_.selector.reports().OnAggregatorUnresponsive(server, now);
    unresponsive.insert(aggregator);
  }
  for (const std::string& aggregator : unresponsive) {
    OnAggregatorUnresponsive(aggregator);
    LogEvent("load_unanswered", LogEvent::Level::kWarning)
        .With("keeper", aggregator)
        .With("servers", query.mapped().unanswered.size());
  }
  RunCallback(query.mapped());
}

void LoadExchange::RunCallback(PendingQuery& query) {
  std::set<std::uint32_t> unresolved;
  for (const auto& [server, aggregator] : query.unanswered) {
    unresolved.insert(server);
  }
  // The callback may start another query.
  const LoadQueryCallback on_done = std::exchange(query.on_done, nullptr);
  if (on_done) on_done(unresolved);
}

void LoadExchange::UpdateAggregators(BootTime now) {
  std::erase_if(unresponsive_aggregators_, [now](const auto& item) {
    return now - item.second > kUnresponsiveAggregatorPeriod;
  });
  std::vector<std::string> all = peers_.AlivePeers();
  all.push_back(own_ip_);
  std::vector<std::string> synced = peers_.PeersAliveFor(kSyncTime, now);
  is_synced_ = now - started_ >= kSyncTime;
  if (is_synced_) synced.push_back(own_ip_);
  // If most gateways have just started, none has more complete data than the
  // others.
  if (synced.size() * 2 <= all.size()) {
    synced = all;
    is_synced_ = true;
  }
  const bool changed = all_aggregators_.SetMembers(std::move(all));
  if (!synced_aggregators_.SetMembers(std::move(synced)) && !changed) return;
  context_.selector.reports().RemoveTotals(
      [this](std::uint32_t server) { return IsAggregatorOf(server); });
}

std::vector<std::string> LoadExchange::UpdateRecipients(std::uint32_t server) {
  std::set<std::string> recipients;
  for (membership::AggregatorAssignment* aggregators :
       {&all_aggregators_, &synced_aggregators_}) {
    const membership::AggregatorAssignment::AggregatorPair& pair =
        aggregators->AggregatorsOf(server);
    recipients.insert(pair.begin(), pair.end());
  }
  recipients.erase(std::string());
  return {recipients.begin(), recipients.end()};
}

bool LoadExchange::IsAggregatorOf(std::uint32_t server) {
  return synced_aggregators_.IsAggregator(own_ip_, server);
}

void LoadExchange::OnAggregatorUnresponsive(const std::string& aggregator) {
  const BootTime now = BootClock::now();
  unresponsive_aggregators_.insert_or_assign(aggregator, now);
  peers_.AddProbe(aggregator, now);
}

const std::string& LoadExchange::PrimaryAggregatorOf(std::uint32_t server) {
  return synced_aggregators_.AggregatorsOf(server)[0];
}

const std::string& LoadExchange::AggregatorToQuery(std::uint32_t server) {
  const membership::AggregatorAssignment::AggregatorPair& aggregators =
      synced_aggregators_.AggregatorsOf(server);
  const bool has_other = !aggregators[1].empty();
  return has_other && unresponsive_aggregators_.contains(aggregators[0])
             ? aggregators[1]
             : aggregators[0];
}

void LoadExchange::OnMessage(const gossip::LoadUpdate& update,
                             const std::string& sender) {
  const BootTime now = BootClock::now();
  if (!peers_.OnLoadUpdate(sender, update.sequence, now)) return;
  dispatch::LoadReports& reports = context_.selector.reports();
  reports.UpdateReport(sender, update.load, now);
  // The sender considers this gateway an aggregator of these servers, even if
  // this gateway has not learned that yet. Its reports replace the totals
  // received from the former aggregators.
  reports.RemoveTotals(
      [&](std::uint32_t server) { return update.load.contains(server); });
}

void LoadExchange::OnMessage(const gossip::LoadTotals& totals,
                             const std::string& sender) {
  const BootTime now = BootClock::now();
  const auto query = pending_queries_.find(totals.query_id);
  for (const auto& [server, usage] : totals.load) {
    if (IsAggregatorOf(server)) continue;
    context_.selector.reports().SetTotal(server, usage, now);
    if (query != pending_queries_.end()) {
      query->second.unanswered.erase(server);
    }
  }
  if (query == pending_queries_.end()) return;
  query->second.resolved_servers += totals.load.size();
  // An aggregator whose data is still incomplete replies without totals, so a
  // reply counts even if servers remain unanswered.
  const bool is_complete = std::ranges::none_of(
      query->second.unanswered,
      [&](const auto& item) { return item.second != sender; });
  if (is_complete) {
    FinishQuery(totals.query_id);
  } else if (query->second.resolved_servers >= kSufficientLoads) {
    RunCallback(query->second);
  }
}

void LoadExchange::OnMessage(const gossip::LoadQuery& query,
                             const std::string& sender) {
  const BootTime now = BootClock::now();
  dispatch::UsageByServer totals;
  if (is_synced_) totals = TotalsFor(sender, query.servers, now);
  const std::string bytes =
      gossip::Encode(gossip::LoadTotals{query.query_id, std::move(totals)});
  rate_limiter_.Consume(bytes.size(), now);
  send_(sender, bytes);
}

}  // namespace balsam::gateway
