// One request as an entry sends it to a sidecar: what to run, for which
// workspace, and under which limits. The entry has resolved the limits from the
// template.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "libraries/base/boot_clock.h"
#include "libraries/execution/idempotency_key.h"

namespace balsam::execution {

enum class WorkKind { kGeneration, kCall };

struct WorkItem {
  std::string request_id;
  std::string workspace;
  std::string template_name;
  std::string service_class;
  std::string model;
  WorkKind kind = WorkKind::kGeneration;
  // Tokens are released to readers only once the generation is complete.
  bool whole = false;
  bool idempotent = true;
  std::optional<IdempotencyKey> key;
  // The ticket that binds the call to one incarnation; empty without one.
  std::string ticket;
  // Equal for equal requests, regardless of the sender.
  std::uint64_t fingerprint = 0;
  // Backend server crashes counted for this request by the sender.
  std::int64_t crash_count = 0;
  std::uint64_t list_revision = 0;

  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  int priority = 0;
  double weight = 1.0;
  double overflow_risk = 0.01;
  std::int64_t queue_limit = 64;
  std::chrono::milliseconds queue_deadline{5000};
  std::chrono::milliseconds run_deadline{120000};
  // How long the workspace stays over its budget; zero while it is within.
  std::chrono::milliseconds over_budget{0};
  // When the entry received the request, by the entry's wall clock.
  WallTime received;

  // The HTTP request for the backend server.
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
};

}  // namespace balsam::execution
