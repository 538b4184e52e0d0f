// What all requests of a gateway share. Lives on its one event loop; a request
// keeps the route table that admitted it.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "libraries/directory/backend_directory.h"
#include "libraries/dispatch/server_selector.h"
#include "libraries/dispatch/waiting_line.h"
#include "libraries/dispatch/work_forecast.h"
#include "libraries/execution/suspicion_table.h"
#include "libraries/migration/copy_queue.h"
#include "libraries/retry/shared_retry_budget.h"
#include "libraries/routing/route_table.h"
#include "libraries/telemetry/request_metrics.h"
#include "services/gateway/connection_pool.h"
#include "services/gateway/dialect.h"

namespace balsam::gateway {

class Exchange;
class GenerationMove;

// A request that crashed servers is refused for this long after the last time.
inline constexpr std::chrono::milliseconds kSuspicionLifetime{30000};
// Fingerprints told to other gateways.
inline constexpr std::size_t kMaxOwnCrashes = 16;
// Label sets of the metrics, each about 3 KB of the process's memory.
inline constexpr std::size_t kMaxMetricLabels = 200;

// Gets the servers, by `dispatch::ServerKey`, whose loads are not known.
using OnLoadsKnown = std::function<void(const std::set<std::uint32_t>& untold)>;

struct GatewayContext {
  GatewayContext(const Dialect& dialect, ConnectionPool::Limits pool_limits,
                 retry::SharedRetryBudget::Limits retry_limits,
                 std::uint64_t seed)
      : dialect(dialect),
        directory({}),
        selector({}, seed),
        pool(pool_limits),
        retry_limits(retry_limits),
        random(static_cast<std::minstd_rand::result_type>(seed)) {}

  retry::SharedRetryBudget& RetryBudgetOf(const std::string& service) {
    auto [found, added] = retry_budgets.try_emplace(service, retry_limits);
    if (added) found->second.SetEntryCount(gateways);
    return found->second;
  }

  // The defaults until a configuration is known.
  routing::ClientLimits ClientLimits() const {
    return routes == nullptr ? routing::ClientLimits{} : routes->limits();
  }

  const Dialect& dialect;
  telemetry::RequestMetrics metrics{"gateway", kMaxMetricLabels};
  // Null until a configuration is known.
  std::shared_ptr<const routing::RouteTable> routes;
  directory::BackendDirectory directory;
  dispatch::ServerSelector selector;
  ConnectionPool pool;
  // Both by service.
  std::map<std::string, dispatch::WaitQueue<Exchange*>> waiting;
  std::map<std::string, dispatch::WaitEstimator> forecasts;
  // By engine that leaves.
  std::map<std::string, migration::CopyQueue<GenerationMove>> copy_queues;
  // Requests that are under way.
  std::set<Exchange*> exchanges;
  retry::SharedRetryBudget::Limits retry_limits;
  std::map<std::string, retry::SharedRetryBudget> retry_budgets;
  // Requests, by fingerprint, at which servers crashed, here or at peers.
  execution::SuspicionTable suspicions{kSuspicionLifetime};
  // Those seen here, newest last; bounded by `kMaxOwnCrashes`.
  std::deque<std::uint64_t> own_crashes;
  // Gateways that share budgets, this one included.
  std::size_t gateways = 1;
  std::string data_center;
  std::minstd_rand random;
  bool stopping = false;
  // Set while stopping: from the first time on a request is taken only if its
  // time is over by the second, when the process is ended.
  BootTime takes_all_until;
  BootTime ends_at;
  // Asks the keepers of these servers' books how busy they are; `on_known` is
  // called when enough have answered, or all have had their time. False if
  // nobody has to be asked, and nothing is called. Unset: nobody is asked.
  std::function<bool(const std::vector<std::string>& server_ids,
                     OnLoadsKnown on_known)>
      ask_loads;
  // This gateway's load at an engine changed: its keeper is told at once.
  std::function<void()> tell_load;
  // Room may have come free: lets waiting requests try.
  std::function<void()> on_room;
};

}  // namespace balsam::gateway
