// What a gateway process is told at its start and on a reload. The top-level
// adapter of a deployment fills it from its own settings file.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "libraries/directory/backend_directory.h"

namespace balsam::gateway {

struct GatewaySettings {
  std::string node;
  std::string ip;
  std::string data_center;
  // Where clients connect, and where the balancer asks for readiness.
  directory::Endpoint clients;
  directory::Endpoint readiness;
  // Where metrics are served; port 0: nowhere.
  directory::Endpoint metrics;
  // Where other gateways connect, and where their datagrams arrive.
  directory::Endpoint peers;
  std::uint16_t gossip_port = 0;
  // Entries to find the others through; may be stale.
  std::vector<std::string> seed_ips;
  // The platform's store.
  directory::Endpoint store;
  // From the request to stop until the process is ended.
  std::chrono::milliseconds stop_grace{8000};
  // The budget of further arrivals that all gateways share.
  double retry_ratio = 0.1;
  double retry_slack = 0.0;
  std::chrono::milliseconds retry_window{10000};
};

}  // namespace balsam::gateway
