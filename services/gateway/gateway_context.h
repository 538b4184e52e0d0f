// State shared by all requests of a gateway. It belongs to the gateway's only
// event loop. A request keeps the route table with which it was admitted.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "libraries/directory/backend_directory.h"
#include "libraries/dispatch/demand_mix.h"
#include "libraries/dispatch/server_selector.h"
#include "libraries/dispatch/wait_estimator.h"
#include "libraries/dispatch/wait_queue.h"
#include "libraries/gossip/digest.h"
#include "libraries/intake/client_account.h"
#include "libraries/intake/response_account.h"
#include "libraries/limits/limit_table.h"
#include "libraries/migration/copy_queue.h"
#include "libraries/quarantine/crash_ledger.h"
#include "libraries/retry/shared_retry_budget.h"
#include "libraries/routing/route_table.h"
#include "libraries/telemetry/request_metrics.h"
#include "services/gateway/connection_pool.h"
#include "services/gateway/crash_detector.h"
#include "services/gateway/dialect.h"
#include "services/gateway/planned_stop.h"
#include "services/gateway/run_stopper.h"

namespace balsam::gateway {

class ClientConnection;
class Exchange;
class GenerationMigration;

// Limit for the metrics' label sets, each of which takes about 3 KB of memory.
inline constexpr std::size_t kMaxMetricLabels = 200;

// When a client that was refused for lack of memory may retry: what stalls has
// lost its place by then.
inline constexpr std::chrono::milliseconds kMemoryRetryAfter{1000};

// Receives the servers, by `dispatch::ServerKey`, whose loads remain unknown.
using LoadQueryCallback =
    std::function<void(const std::set<std::uint32_t>& unresolved)>;

enum class PermitResult {
  // The request may be sent now; the server may have no limit.
  kGranted,
  // No request before another permit is issued, as the selector knows.
  kDenied,
  // The issuer was asked; the callback receives whether it was granted.
  kPending,
};

using PermitCallback = std::function<void(bool is_granted)>;

enum class ConfigurationState {
  // No newer one is known to exist.
  kNewest,
  // Peers have a newer one, which is being fetched.
  kNewerExists,
  // The same, and most of them have had it for too long.
  kOutdated,
};

struct GatewayContext {
  GatewayContext(const Dialect& dialect, ConnectionPool::Limits pool_limits,
                 retry::SharedRetryBudget::Limits retry_limits,
                 std::uint64_t seed)
      : dialect(dialect),
        directory({}),
        selector({}, seed),
        pool(pool_limits),
        run_stopper(pool, dialect),
        crash_detector(pool),
        retry_limits(retry_limits),
        random(static_cast<std::minstd_rand::result_type>(seed)) {
    pool.names_request = [&dialect](const http1::ResponseHead& head) {
      return !dialect.ParseResponse(head).request_id.empty();
    };
  }

  retry::SharedRetryBudget& RetryBudgetFor(const std::string& service) {
    auto [found, added] = retry_budgets.try_emplace(service, retry_limits);
    if (added) found->second.SetEntryCount(gateway_count);
    return found->second;
  }

  // `crash_ledger` changed by what was seen here: tells others what is new.
  void ReportEvidence(const quarantine::Change& change) const {
    if (change.is_news && on_crash_evidence) on_crash_evidence(change);
  }

  // The defaults until a configuration is known.
  routing::ClientLimits ClientLimits() const {
    return routes == nullptr ? routing::ClientLimits{} : routes->limits();
  }

  // The server's incarnation as far as it is known, to say that it is leaving.
  gossip::LeavingServer LeavingNow(const std::string& server_id) const {
    const directory::BackendServer* server = directory.Find(server_id);
    return {server_id, server == nullptr ? std::nullopt : server->started_at};
  }

  const Dialect& dialect;
  // Measures how long servers work on requests.
  std::function<BootTime()> now = BootClock::now;
  telemetry::RequestMetrics metrics{"gateway", kMaxMetricLabels};
  // Null until a configuration is known.
  std::shared_ptr<const routing::RouteTable> routes;
  ConfigurationState configuration_state = ConfigurationState::kNewest;
  directory::BackendDirectory directory;
  dispatch::ServerSelector selector;
  // The limits that servers name, as received here or by peers, and the rates
  // of cold ones.
  limits::LimitTable limits;
  ConnectionPool pool;
  RunStopper run_stopper;
  CrashDetector crash_detector;
  // All by service.
  std::map<std::string, dispatch::DemandMix> demand_mixes;
  std::map<std::string, dispatch::WaitQueue<Exchange*>> wait_queues;
  std::map<std::string, dispatch::WaitEstimator> wait_estimators;
  // By leaving engine.
  std::map<std::string, migration::CopyQueue<GenerationMigration>> copy_queues;
  // Requests in progress.
  std::set<Exchange*> exchanges;
  // What client connections hold.
  intake::ClientAccount<ClientConnection> client_account{{}};
  // What responses of servers hold until they can be passed on.
  intake::ResponseAccount response_account{std::size_t{64} << 20};
  retry::SharedRetryBudget::Limits retry_limits;
  std::map<std::string, retry::SharedRetryBudget> retry_budgets;
  // Which requests crash servers, as seen here or by peers.
  quarantine::CrashLedger crash_ledger{{}};
  // Number of gateways that share retry budgets, including this one.
  std::size_t gateway_count = 1;
  std::string data_center;
  std::size_t data_centers = 1;
  std::minstd_rand random;
  // Set once this gateway was asked to stop.
  std::optional<PlannedStop> stop;
  // Queries the aggregators of these servers for their load. `on_done` is
  // called when enough have replied, or when the query times out. Returns false
  // without calling it if no query is needed. If unset, nothing is queried.
  std::function<bool(const std::vector<std::string>& server_ids,
                     LoadQueryCallback on_done)>
      query_loads;
  // Asks for a permit for one request if the server is limited. Without the
  // callback, the request is sent in any case. If unset, limits are not kept.
  std::function<PermitResult(const std::string& server_id,
                             PermitCallback on_result)>
      request_permit;
  // This gateway's load at an engine changed: reports it to the aggregators
  // immediately.
  std::function<void()> send_load;
  // `crash_ledger` changed by what was seen here.
  std::function<void(const quarantine::Change& change)> on_crash_evidence;
  // The place of this gateway among all that are alive, for the trials of a
  // quarantined signature. If unset, it is the first.
  std::function<std::size_t(const quarantine::Signature& signature)>
      rank_among_gateways;
  // Capacity may have been freed: retries the queued requests.
  std::function<void()> on_capacity_freed;
};

}  // namespace balsam::gateway
