// Route, key, deadline, demand and fingerprint of a request.
#include "services/gateway/admission.h"

#include <algorithm>
#include <string>

#include "libraries/membership/rendezvous.h"

namespace balsam::gateway {
namespace {

using std::chrono::milliseconds;

// Servers that a request may crash before it is refused (platform: three).
constexpr std::int64_t kQuarantineCrashes = 3;
// Output assumed where a request names none.
constexpr std::int64_t kDefaultOutputTokens = 256;
// A client is asked to come back after this time while no configuration is
// known: a read of the store takes some milliseconds.
constexpr milliseconds kUnconfiguredRetry{500};

// A client is asked to come back after this time while the process stops:
// another VM, or this one again, is ready by then.
constexpr milliseconds kStoppingRetry{1000};
// A generation begins within this time and makes each token within the other,
// unless its engine is in trouble (platform: steps of 8 ms, twice that beside
// the prompts of others).
constexpr milliseconds kLongestStart{2000};
constexpr milliseconds kLongestTokenTime{25};

std::uint64_t FingerprintOf(std::string_view target, std::string_view key,
                            std::string_view body) {
  std::string text(target);
  text += '\0';
  text += key;
  text += '\0';
  text += body;
  return membership::StableHash(text);
}

dispatch::Demand DemandOf(const AdmittedRequest& request,
                          const RequestFacts& facts) {
  dispatch::Demand demand;
  demand.service = request.service->name;
  if (request.engine() == nullptr) return demand;
  demand.prompt_tokens = facts.prompt_tokens;
  demand.output_tokens =
      std::min(facts.expected_output_tokens.value_or(kDefaultOutputTokens),
               std::max(facts.max_output_tokens, std::int64_t{1}));
  return demand;
}

// When the request is over, unless a server is in trouble.
BootTime LatestEnd(const AdmittedRequest& request, const RequestFacts& facts,
                   BootTime received) {
  if (request.engine() == nullptr || facts.max_output_tokens <= 0) {
    return request.deadline;
  }
  return std::min(
      request.deadline,
      received + kLongestStart + kLongestTokenTime * facts.max_output_tokens);
}

}  // namespace

std::variant<AdmittedRequest, Rejection> Admit(const GatewayContext& context,
                                               const RequestFacts& facts,
                                               const http1::RequestHead& head,
                                               std::string_view body,
                                               BootTime received) {
  if (facts.id.empty()) return Rejection{400, "no_request_id", {}};
  if (context.routes == nullptr) {
    return Rejection{503, "no_configuration", kUnconfiguredRetry};
  }
  AdmittedRequest request;
  request.routes = context.routes;
  request.route = request.routes->FindRoute(facts.host, head.Path());
  if (request.route == nullptr) return Rejection{404, "no_route", {}};
  if (request.routes->has_workspaces()) {
    if (!facts.key.empty()) {
      request.workspace = request.routes->FindWorkspace(facts.key);
    }
    if (!request.route->is_public && request.workspace == nullptr) {
      return Rejection{401, "unknown_key", {}};
    }
  }
  request.service = request.routes->FindService(
      routing::SelectService(*request.route, facts.id));
  request.priority = routing::PriorityOf(*request.route, request.workspace);
  request.deadline =
      received + std::min(request.route->timeout,
                          facts.time_left.value_or(request.route->timeout));
  if (context.stopping && received > context.takes_all_until &&
      LatestEnd(request, facts, received) > context.ends_at) {
    return Rejection{503, "stopping", kStoppingRetry};
  }
  request.demand = DemandOf(request, facts);
  request.fingerprint = FingerprintOf(head.target, facts.key, body);
  if (context.suspicions.CrashesOf(request.fingerprint, received) >=
      kQuarantineCrashes) {
    return Rejection{502, "quarantined", {}};
  }
  return request;
}

}  // namespace balsam::gateway
