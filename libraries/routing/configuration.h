// The configuration that operators publish: routes, services, workspaces and
// limits. Each object is one accepted version and is immutable.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace balsam::routing {

enum class RequestKind {
  // May run more than once.
  kIdempotent,
  // May run at most once for each request that a client sends.
  kNonIdempotent,
  // Answered by an event stream; non-idempotent unless the route is resumable.
  kStream,
};

constexpr std::string_view NameOf(RequestKind kind) {
  switch (kind) {
    case RequestKind::kIdempotent:
      return "idempotent";
    case RequestKind::kNonIdempotent:
      return "non_idempotent";
    case RequestKind::kStream:
      return "stream";
  }
  return "";
}

struct WeightedService {
  std::string service;
  // Relative to the other services of the route; not negative.
  double weight = 1.0;
};

// Identifies the text that a route was read from: its hash of 128 bits.
struct TextIdentity {
  std::uint64_t low = 0;
  std::uint64_t high = 0;

  bool operator==(const TextIdentity&) const = default;
};

struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  // The final response is due within this time of the request's arrival.
  std::chrono::milliseconds timeout{0};
  // A response that starts within this time is on time.
  std::chrono::milliseconds latency_objective{0};
  // Longest gap between the events of a stream that is on time; zero if unset.
  std::chrono::milliseconds event_gap_objective{0};
  // 0 is the highest.
  int priority = 0;
  // Maximum number of backend servers to which one request of a client is sent.
  int max_attempts = 1;
  // Requires no API key.
  bool is_public = false;
  // A stream may be resumed by another run after the last event received.
  bool resumable = false;
  // Must not be empty.
  std::vector<WeightedService> services;

  // Whether a request that may have run may be sent again.
  bool MayRepeat() const {
    return kind == RequestKind::kIdempotent ||
           (kind == RequestKind::kStream && resumable);
  }
};

// Properties common to all engines of a service.
struct EngineTraits {
  int slots = 0;
  // Size of the KV cache in tokens.
  std::int64_t memory_tokens = 0;
  // Whether a running generation can be copied to another engine.
  bool can_migrate = false;
  // Whether an engine can continuously back up a generation elsewhere as it
  // grows.
  bool can_back_up = false;
};

struct Service {
  std::string name;
  std::string health_path;
  // Connections that one backend server accepts from all callers together.
  // FIXME: not enforced; so far the limits on requests keep the number far
  // below it.
  int max_connections = 0;
  // Unset for plain services.
  std::optional<EngineTraits> engine;
  // Requests a second that one backend server bears from all entries together
  // while it is cold; unset if a cold one bears any number.
  std::optional<double> cold_requests_per_second = std::nullopt;
};

struct Workspace {
  std::string name;
  std::vector<std::string> keys;
  // Overrides the priority of the route if set.
  std::optional<int> priority;
};

// Limits on the size and duration of what a client sends.
struct ClientLimits {
  std::size_t max_header_bytes = 16 << 10;
  std::uint64_t max_body_bytes = 4 << 20;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

// Successive versions share the routes that did not change.
struct SharedRoute {
  // What it was read from; zero if that is not known.
  TextIdentity source;
  // Never null.
  std::shared_ptr<const Route> route;
};

inline SharedRoute Share(Route route) {
  return {{}, std::make_shared<const Route>(std::move(route))};
}

struct Configuration {
  std::uint64_t version = 0;
  std::vector<SharedRoute> routes;
  std::vector<Service> services;
  std::vector<Workspace> workspaces;
  ClientLimits limits;
};

}  // namespace balsam::routing
