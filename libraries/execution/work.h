// One request as a sidecar takes it on: what to run, for whom, and under which
// limits. The entry resolved the limits from the template that admitted it.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "libraries/base/boot_clock.h"
#include "libraries/execution/idempotency_key.h"

namespace balsam::execution {

enum class WorkKind { kGeneration, kCall };

struct Work {
  std::string request_id;
  std::string workspace;
  std::string template_name;
  std::string service_class;
  std::string model;
  WorkKind kind = WorkKind::kGeneration;
  // Tokens are released only once the generation is complete.
  bool whole = false;
  bool idempotent = true;
  std::optional<IdempotencyKey> key;
  // The ticket that binds the call to one incarnation; empty without one.
  std::string ticket;
  // Equal for equal requests, whoever sends them.
  std::uint64_t fingerprint = 0;
  // Crashes in which this request took part, as far as the sender knows.
  std::int64_t suspicion = 0;
  std::uint64_t list_revision = 0;

  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  int priority = 0;
  double weight = 1.0;
  double overflow_risk = 0.01;
  std::int64_t queue_limit = 64;
  std::chrono::milliseconds queue_deadline{5000};
  std::chrono::milliseconds run_deadline{120000};
  // How long its workspace stays over its budget; zero while it is within.
  std::chrono::milliseconds over_budget{0};
  // When the entry received the request, by its wall clock.
  WallTime received;

  // What goes to the backend server.
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
};

}  // namespace balsam::execution
