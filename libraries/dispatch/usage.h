// The load that the requests of one or more entries place on a backend server.
#pragma once

#include <cstdint>
#include <map>
#include <string_view>

namespace balsam::dispatch {

struct Usage {
  std::int64_t requests = 0;
  // Sum of the expected final sizes of its generations, in tokens.
  std::int64_t tokens = 0;
  // Prompt tokens of requests that have produced no output yet. Their prefill
  // delays everything else that the engine runs.
  std::int64_t pending_prefill_tokens = 0;
  // Recent failures at an engine, with decay. Without them, an engine that
  // fails every request would look idle to entries that have not tried it.
  std::int64_t failures = 0;

  Usage& operator+=(const Usage& other) {
    requests += other.requests;
    tokens += other.tokens;
    pending_prefill_tokens += other.pending_prefill_tokens;
    failures += other.failures;
    return *this;
  }
  bool operator==(const Usage&) const = default;
};

// A short hash that identifies a server in load reports. If the hashes of two
// servers collide, each is taken to have the load of both.
std::uint32_t ServerKey(std::string_view id);

// Rounds the number of plain requests down to a step. A plain request lasts a
// few milliseconds; reporting each one would cause two changes that are
// outdated before other entries read them.
Usage RoundForReport(Usage usage);

// Keyed by `ServerKey`.
using UsageByServer = std::map<std::uint32_t, Usage>;

}  // namespace balsam::dispatch
