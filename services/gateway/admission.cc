// Determines the route, workspace, deadline, demand and fingerprint of a
// request.
#include "services/gateway/admission.h"

#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <cstddef>
#include <iterator>
#include <random>
#include <string>

#include "libraries/base/log_event.h"
#include "libraries/dispatch/retry_after_delay.h"
#include "libraries/membership/rendezvous.h"

namespace balsam::gateway {
namespace {

using std::chrono::milliseconds;

// Output length assumed if the request does not state one.
constexpr std::int64_t kDefaultOutputTokens = 256;
// Retry delay while no configuration is known: reading the store takes some
// milliseconds.
constexpr milliseconds kUnconfiguredRetry{500};
// Retry delay while a newer configuration is on its way from a peer.
constexpr milliseconds kNewerConfigurationRetry{200};
// Gateways to a data centre, on average, from which on a client's retry most
// likely reaches another one, to which the load balancer forwards it.
constexpr std::size_t kGatewaysToReachAnother = 2;
// How long a generation likely takes to its first event, and for each expected
// token (platform: steps of 8 ms and more). Half as much again, as the expected
// length is exceeded as often as not.
constexpr milliseconds kStartTime{1000};
constexpr milliseconds kTokenTime{15};

quarantine::Trait FingerprintOf(std::string_view target, std::string_view key,
                                std::string_view body) {
  std::string text(target);
  text += '\0';
  text += key;
  text += '\0';
  text += body;
  return membership::StableHash(text);
}

std::vector<quarantine::Trait> TraitsOf(const RequestMetadata& metadata,
                                        const http1::RequestHead& head,
                                        std::string_view body) {
  std::vector<quarantine::Trait> traits;
  std::ranges::transform(
      metadata.shared_parts, std::back_inserter(traits),
      [](const std::string& part) { return membership::StableHash(part); });
  traits.push_back(FingerprintOf(head.target, metadata.key, body));
  return traits;
}

dispatch::Demand DemandOf(const AdmittedRequest& request,
                          const RequestMetadata& metadata) {
  dispatch::Demand demand;
  demand.service = request.service->name;
  if (request.engine() == nullptr) return demand;
  demand.prompt_tokens = metadata.prompt_tokens;
  demand.output_tokens =
      std::min(metadata.expected_output_tokens.value_or(kDefaultOutputTokens),
               std::max(metadata.max_output_tokens, std::int64_t{1}));
  return demand;
}

PlannedStop::ExpectedEnd ExpectedEndOf(const AdmittedRequest& request,
                                       BootTime received) {
  if (request.engine() == nullptr) return {request.deadline, request.deadline};
  const BootTime likely =
      received + kStartTime + kTokenTime * request.demand.output_tokens;
  return {std::min(request.deadline, likely), request.deadline};
}

milliseconds StopRetryAfter(GatewayContext& context, BootTime deadline,
                            BootTime now) {
  const bool reaches_another =
      context.gateway_count >= kGatewaysToReachAnother * context.data_centers;
  std::uniform_real_distribution<double> jitter(0.0, 1.0);
  return context.stop->RetryAfter(
      reaches_another,
      dispatch::MaxRetryAfter(
          std::chrono::duration_cast<milliseconds>(deadline - now)),
      jitter(context.random), now);
}

}  // namespace

void LogQuarantined(const RequestMetadata& metadata,
                    std::span<const quarantine::Trait> traits,
                    const quarantine::Signature& signature) {
  const auto is_in_signature = [&](quarantine::Trait trait) {
    return std::ranges::binary_search(signature, trait);
  };
  std::vector<std::string> parts;
  for (std::size_t i = 0; i < metadata.shared_parts.size(); ++i) {
    if (is_in_signature(traits[i])) parts.push_back(metadata.shared_parts[i]);
  }
  LogEvent("request_quarantined")
      .With("id", metadata.id)
      .With("parts", boost::algorithm::join(parts, ","))
      // The last trait is the request itself.
      .With("whole", is_in_signature(traits.back()) ? 1 : 0);
}

std::variant<AdmittedRequest, Rejection> Admit(GatewayContext& context,
                                               const RequestMetadata& metadata,
                                               const http1::RequestHead& head,
                                               std::string_view body,
                                               BootTime received) {
  if (metadata.id.empty()) return Rejection{400, "no_request_id", {}};
  if (context.routes == nullptr) {
    return Rejection{503, "no_configuration", kUnconfiguredRetry};
  }
  if (context.configuration_state == ConfigurationState::kOutdated) {
    return Rejection{503, "outdated_configuration", kNewerConfigurationRetry};
  }
  // What this configuration lacks, the newer one may have.
  const bool newer_exists =
      context.configuration_state == ConfigurationState::kNewerExists;
  const Rejection newer_decides{503, "newer_configuration",
                                kNewerConfigurationRetry};
  AdmittedRequest request;
  request.routes = context.routes;
  request.route = request.routes->FindRoute(metadata.host, head.Path());
  if (request.route == nullptr) {
    return newer_exists ? newer_decides : Rejection{404, "no_route", {}};
  }
  if (request.routes->has_workspaces()) {
    if (!metadata.key.empty()) {
      request.workspace = request.routes->FindWorkspace(metadata.key);
    }
    if (!request.route->is_public && request.workspace == nullptr) {
      return newer_exists ? newer_decides : Rejection{401, "unknown_key", {}};
    }
  }
  request.service = request.routes->FindService(
      routing::SelectService(*request.route, metadata.id));
  request.priority = routing::PriorityOf(*request.route, request.workspace);
  request.deadline =
      received + std::min(request.route->timeout,
                          metadata.time_left.value_or(request.route->timeout));
  request.demand = DemandOf(request, metadata);
  if (context.stop.has_value() &&
      !context.stop->Accepts(ExpectedEndOf(request, received), received)) {
    return Rejection{503, "stopping",
                     StopRetryAfter(context, request.deadline, received)};
  }
  if (request.engine() != nullptr) {
    const dispatch::Urgency urgency{request.priority,
                                    request.route->latency_objective};
    dispatch::DemandMix& mix = context.demand_mixes[request.service->name];
    mix.OnArrival(urgency, received);
    request.demand.memory_left_free = mix.MemoryLeftFree(urgency, received);
    if (request.demand.memory_left_free > 0.0) {
      context.metrics.CountEvent("requests_leaving_room_total");
    }
  }
  request.traits = TraitsOf(metadata, head, body);
  if (const auto signature =
          context.crash_ledger.FindQuarantined(request.traits)) {
    const std::size_t rank = context.rank_among_gateways
                                 ? context.rank_among_gateways(*signature)
                                 : 0;
    request.is_trial =
        context.crash_ledger.TakeTrial(request.traits, rank, received);
    if (!request.is_trial) {
      LogQuarantined(metadata, request.traits, *signature);
      return Rejection{kQuarantinedStatus, kQuarantined, {}};
    }
    LogEvent("quarantine_tried", LogEvent::Level::kWarning)
        .With("id", metadata.id)
        .With("traits", quarantine::ToText(*signature));
  }
  return request;
}

}  // namespace balsam::gateway
