// Polls engines for their reports, or for their health while the store is
// unavailable, so that a leaving engine is detected even then. The gateways
// that are alive divide the engines among themselves and send each other the
// results.
#pragma once

#include <QObject>
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "libraries/base/boot_clock.h"
#include "libraries/gossip/digest.h"
#include "services/gateway/gateway_context.h"

namespace balsam::gateway {

class ReportPoller : public QObject {
  Q_OBJECT

 public:
  struct Limits {
    // Interval between two reports of one engine, over all gateways. Reports
    // are billed, so they are infrequent while the store delivers changes by
    // itself.
    std::chrono::milliseconds normal_interval{600};
    // The same while the store is unavailable or lags behind. An engine may be
    // gone 1.5 s after it learns that it is reclaimed (platform, reclaims).
    std::chrono::milliseconds urgent_interval{250};
    std::chrono::milliseconds response_timeout{400};
  };

  ReportPoller(GatewayContext& context, Limits limits,
               QObject* parent = nullptr);

  // Polls the engines that are due. `gateways` are the addresses of all
  // gateways that are alive, including this one.
  void Poll(const std::string& own_ip, const std::vector<std::string>& gateways,
            bool urgent, BootTime now);

  // Called if an engine's report says that it is leaving, if its health
  // response says that it is leaving or failing, or if a poll fails after it
  // was reported to be leaving.
  std::function<void(const gossip::LeavingServer& server)> on_leaving;

 private:
  struct Engine {
    // This gateway is the one that polls the engine.
    bool is_assigned = false;
    // Zero if it has not been polled yet.
    BootTime last_polled;
  };

  // An empty `health_path` requests a report.
  void PollServer(const directory::BackendServer& server,
                  const std::string& health_path);
  void OnResponse(const std::string& server_id,
                  const OutboundConnection::Response& response, bool is_health);

  GatewayContext& context_;
  Limits limits_;
  // The gateways among which the engines are divided, and the assignment.
  // Computing the hash of every engine and gateway in each poll would take most
  // of the processor time of a large fleet.
  std::vector<std::string> gateways_;
  std::map<std::string, Engine> engines_;
};

}  // namespace balsam::gateway
