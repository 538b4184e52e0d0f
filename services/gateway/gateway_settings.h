// Settings of a gateway process, applied at its start and on a reload. The
// deployment's top-level adapter fills them in from its own settings file.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "libraries/directory/backend_directory.h"

namespace balsam::gateway {

struct GatewaySettings {
  std::string node;
  std::string ip;
  std::string data_center;
  // Number of data centres in the deployment.
  std::size_t data_centers = 1;
  // Where clients connect, and where the load balancer checks readiness.
  directory::Endpoint clients;
  directory::Endpoint readiness;
  // Where metrics are served; not at all with port 0.
  directory::Endpoint metrics;
  // Where other gateways connect, and where their datagrams arrive.
  directory::Endpoint peers;
  std::uint16_t gossip_port = 0;
  // Entries through which the others are found; may be outdated.
  std::vector<std::string> seed_ips;
  // The platform's store.
  directory::Endpoint store;
  // Time from the stop request until the process is terminated.
  std::chrono::milliseconds stop_grace{8000};
  // Memory of the process's machine, in bytes.
  std::size_t memory_bytes = std::size_t{512} << 20;
  // What the machine's link carries, in bytes a second.
  double link_bytes_per_second = 125e6;
  // Number of sockets that the process may open.
  std::size_t sockets = 16'000;
  // Retry budget, shared by all gateways.
  double retry_ratio = 0.1;
  double retry_slack = 0.0;
  std::chrono::milliseconds retry_window{10000};
};

}  // namespace balsam::gateway
