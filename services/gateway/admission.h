// Reads a client's request and looks up all that decides about it, once, in
// the configuration of that moment.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <variant>

#include "services/gateway/gateway_context.h"

namespace balsam::gateway {

// A request that the configuration allows.
struct AdmittedRequest {
  // Pins the configuration that all pointers below point into. Never null.
  std::shared_ptr<const routing::RouteTable> routes;
  const routing::Route* route = nullptr;
  // Null where the route needs no key and none was sent.
  const routing::Workspace* workspace = nullptr;
  const routing::Service* service = nullptr;
  // 0 goes first.
  int priority = 0;
  // When its final answer is due at the latest.
  BootTime deadline;
  dispatch::Demand demand;
  // The same for the same target, caller and body.
  std::uint64_t fingerprint = 0;

  // Null for plain services.
  const routing::EngineTraits* engine() const {
    return service->engine.has_value() ? &*service->engine : nullptr;
  }
  dispatch::WorkKind work_kind() const {
    return engine() == nullptr ? dispatch::WorkKind::kPlain
                               : dispatch::WorkKind::kGeneration;
  }
  // The work before the first byte: prompt tokens to read, or one request.
  std::int64_t work() const {
    return std::max<std::int64_t>(1, demand.prompt_tokens);
  }
};

// Why a request is answered by the gateway itself, at once.
struct Rejection {
  int status = 0;
  // A word for the log and the body.
  std::string_view reason;
  std::optional<std::chrono::milliseconds> retry_after;
};

std::variant<AdmittedRequest, Rejection> Admit(const GatewayContext& context,
                                               const RequestFacts& facts,
                                               const http1::RequestHead& head,
                                               std::string_view body,
                                               BootTime received);

}  // namespace balsam::gateway
