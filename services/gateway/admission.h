// Admission of a client's request: everything that determines its handling is
// looked up once, in the configuration current at that moment.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "services/gateway/gateway_context.h"

namespace balsam::gateway {

// A request that the configuration allows.
struct AdmittedRequest {
  // Keeps the configuration alive that all pointers below point into. Never
  // null.
  std::shared_ptr<const routing::RouteTable> routes;
  const routing::Route* route = nullptr;
  // Null if the route needs no key and none was sent.
  const routing::Workspace* workspace = nullptr;
  const routing::Service* service = nullptr;
  // 0 is the most urgent.
  int priority = 0;
  // The latest time for the final response.
  BootTime deadline;
  dispatch::Demand demand;
  // What it may have in common with other requests that crash servers: the
  // shared parts of its prompt, if it has one, and last the request itself,
  // which is equal for the same target, caller and body.
  std::vector<quarantine::Trait> traits;
  // It is quarantined, and runs to find out if it is harmless.
  bool is_trial = false;

  // Null for plain services, which do not run on an engine.
  const routing::EngineTraits* engine() const {
    return service->engine.has_value() ? &*service->engine : nullptr;
  }
  dispatch::WorkKind work_kind() const {
    return engine() == nullptr ? dispatch::WorkKind::kPlain
                               : dispatch::WorkKind::kGeneration;
  }
  // Amount of work before the first byte of the response: prompt tokens to
  // process, or one request.
  std::int64_t work() const {
    return std::max<std::int64_t>(1, demand.prompt_tokens);
  }
};

// The response to a request with a quarantined trait. It is not retried by the
// client as one that was refused for lack of capacity would be.
inline constexpr int kQuarantinedStatus = 502;
inline constexpr std::string_view kQuarantined = "quarantined";

// Why the gateway rejects a request immediately.
struct Rejection {
  int status = 0;
  // A fixed word for the log and the response body.
  std::string_view reason;
  std::optional<std::chrono::milliseconds> retry_after;
};

// Logs which traits of the request are quarantined.
void LogQuarantined(const RequestMetadata& metadata,
                    std::span<const quarantine::Trait> traits,
                    const quarantine::Signature& signature);

std::variant<AdmittedRequest, Rejection> Admit(GatewayContext& context,
                                               const RequestMetadata& metadata,
                                               const http1::RequestHead& head,
                                               std::string_view body,
                                               BootTime received);

}  // namespace balsam::gateway
