// Asks engines for their reports, or for their health while the store is away,
// so that one that leaves is noticed also then. The gateways that are alive
// share the engines out among them and tell each other what they hear.
#pragma once

#include <QObject>
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "libraries/base/boot_clock.h"
#include "services/gateway/gateway_context.h"

namespace balsam::gateway {

class ReportPoller : public QObject {
  Q_OBJECT

 public:
  struct Limits {
    // Between two reports of one engine, over all gateways. Reports are priced,
    // so they are rare while the store tells of changes by itself.
    std::chrono::milliseconds calm_interval{600};
    // The same while the store does not answer; an engine may be gone 1.5 s
    // after it knows (platform, reclaims).
    std::chrono::milliseconds urgent_interval{250};
    std::chrono::milliseconds answer_time{400};
  };

  ReportPoller(GatewayContext& context, Limits limits,
               QObject* parent = nullptr);

  // Asks the engines that are due. `gateways`: the addresses of all
  // that are alive, this one's own included.
  void Poll(const std::string& own_ip, const std::vector<std::string>& gateways,
            bool urgent, BootTime now);

  // The engine said that it leaves, or said so before and does not answer now.
  std::function<void(const std::string& server_id)> on_leaving;

 private:
  struct Engine {
    // This gateway is the one that asks it.
    bool is_own = false;
    // Zero if it was not asked yet.
    BootTime asked;
  };

  // `health_path`: empty to ask for a report.
  void Ask(const directory::BackendServer& server,
           const std::string& health_path);
  void OnAnswer(const std::string& server_id,
                const OutboundConnection::Answer& answer, bool is_health);

  GatewayContext& context_;
  Limits limits_;
  // The gateways among which the engines are shared out, and how. Hashing all
  // pairs anew each time would cost a large fleet most of its processor time.
  std::vector<std::string> gateways_;
  std::map<std::string, Engine> engines_;
};

}  // namespace balsam::gateway
