// What operators configure: routes, services, workspaces and limits. One value
// of it is one accepted version, and never changes.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsam::routing {

enum class RequestKind {
  // May run more than once.
  kIdempotent,
  // May run at most once for each attempt of a client.
  kNonIdempotent,
  // An answer of events; non-idempotent unless the route is resumable.
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

struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  // A request is answered finally no later than this after it came.
  std::chrono::milliseconds timeout{0};
  // An answer that begins within this time is on time.
  std::chrono::milliseconds latency_objective{0};
  // Longest pause between events of a stream that is on time; zero if unset.
  std::chrono::milliseconds pause_objective{0};
  // 0 goes first.
  int priority = 0;
  // Backend servers that one attempt of a client may be sent to.
  int max_attempts = 1;
  // Needs no key.
  bool is_public = false;
  // A stream that may go on as another run, after the last event seen.
  bool resumable = false;
  // Not empty.
  std::vector<WeightedService> services;

  // Whether a request that may have run may be sent again.
  bool MayRepeat() const {
    return kind == RequestKind::kIdempotent ||
           (kind == RequestKind::kStream && resumable);
  }
};

// What all engines of a service share; unset for plain services.
struct EngineTraits {
  int slots = 0;
  // Memory for keys and values, in tokens.
  std::int64_t memory_tokens = 0;
  // Whether a live generation can be copied to another engine.
  bool can_move = false;
  // Whether an engine can send a copy of a generation elsewhere as it grows.
  bool can_back_up = false;
};

struct Service {
  std::string name;
  std::string health_path;
  // Connections that one backend server accepts from all callers together.
  // FIXME: not enforced; the bounds on requests keep far below it so far.
  int max_connections = 0;
  std::optional<EngineTraits> engine;
};

struct Workspace {
  std::string name;
  std::vector<std::string> keys;
  // Goes before the route's, if set.
  std::optional<int> priority;
};

// Bounds on what a client sends and on how long it takes.
struct ClientLimits {
  std::size_t max_head_bytes = 16 << 10;
  std::uint64_t max_body_bytes = 4 << 20;
  std::chrono::milliseconds head_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

struct Configuration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Workspace> workspaces;
  ClientLimits limits;
};

}  // namespace balsam::routing
