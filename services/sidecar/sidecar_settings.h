// The settings of a sidecar.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "libraries/execution/executor.h"
#include "libraries/settings/process_settings.h"

namespace balsam::sidecar {

enum class BackendKind { kEngine, kPlain };

struct SidecarSettings {
  settings::VmIdentity vm;
  std::string service;
  settings::Listener peers;
  std::string peer_key;
  settings::Listener operators;
  std::string operator_key;
  std::string platform_url;

  std::string backend_url;
  BackendKind backend_kind = BackendKind::kEngine;
  std::int64_t capacity_tokens = 0;
  std::int64_t reserve_tokens = 0;
  std::int64_t max_running = 0;
  execution::AdmissionPolicy admission = execution::AdmissionPolicy::kForecast;
  std::chrono::milliseconds backend_silence_limit{15000};
  // How long an engine may take to execute an order.
  std::chrono::milliseconds order_answer_limit{300000};

  std::chrono::milliseconds reader_grace{30000};
  std::chrono::milliseconds stop_deadline{300000};
  std::chrono::milliseconds key_lifetime{600000};
  std::chrono::milliseconds clock_error{1000};
  std::chrono::milliseconds removed_vm_grace{10000};
  std::chrono::milliseconds suspicion_lifetime{600000};
  std::chrono::milliseconds pause_limit{500};

  // Fills `settings` from the file; returns the problems found in it.
  static std::vector<settings::Problem> Load(const std::string& path,
                                             SidecarSettings& settings);
  static void Read(settings::ObjectReader& root, SidecarSettings& settings);
};

}  // namespace balsam::sidecar
