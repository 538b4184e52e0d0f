// How busy a backend server is with the requests of one entry, or of several.
#pragma once

#include <cstdint>
#include <map>
#include <string_view>

namespace balsam::dispatch {

struct Usage {
  std::int64_t requests = 0;
  // That its generations are expected to hold in the end.
  std::int64_t tokens = 0;
  // Prompt tokens of requests that have produced nothing yet: they delay
  // whatever else the engine runs.
  std::int64_t unread_prompt_tokens = 0;
  // What failed at an engine lately, faded. One that breaks off whatever it
  // gets looks idle to everyone who has not tried it.
  std::int64_t failures = 0;

  Usage& operator+=(const Usage& other) {
    requests += other.requests;
    tokens += other.tokens;
    unread_prompt_tokens += other.unread_prompt_tokens;
    failures += other.failures;
    return *this;
  }
  bool operator==(const Usage&) const = default;
};

// Names a server in few bytes where entries tell each other of usage. Two that
// fall together are each taken to be as busy as both.
std::uint32_t ServerKey(std::string_view id);

// Plain requests last some milliseconds, so that each would be two changes that
// are over before they are read. What others are told of them is in steps.
Usage WorthTelling(Usage usage);

// By `ServerKey`.
using UsageByServer = std::map<std::uint32_t, Usage>;

}  // namespace balsam::dispatch
