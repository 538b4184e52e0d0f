// The settings of an entry.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "libraries/settings/process_settings.h"

namespace balsam::entry {

struct EntrySettings {
  settings::VmIdentity vm;
  settings::Listener callers;
  int threads = 2;
  settings::Listener peers;
  std::string peer_key;
  // Peer addresses of other entries, queried at the start so that an entry can
  // start while the platform is down.
  std::vector<settings::Listener> seeds;
  settings::Listener operators;
  std::string operator_key;
  std::string platform_url;
  std::string placement = "forecast";

  std::int64_t max_body_bytes = 1 << 20;
  double retry_share = 0.1;
  std::int64_t retry_burst = 20;
  std::chrono::milliseconds resume_window{5000};
  std::chrono::milliseconds reader_stall_limit{30000};
  std::chrono::milliseconds stop_deadline{300000};
  std::chrono::milliseconds gossip_interval{1000};
  std::chrono::milliseconds suspicion_lifetime{600000};

  static std::vector<settings::Problem> Load(const std::string& path,
                                             EntrySettings& settings);
  static void Read(settings::ObjectReader& root, EntrySettings& settings);
};

}  // namespace balsam::entry
