// The entry's state machine for one request, without I/O or clocks. It decides
// when to start, resume or retry an attempt, which tokens to deliver, and with
// which outcome the request ends.
//
// The reader receives tokens of a single generation. Until the first token is
// delivered, an idempotent request may be retried as another generation;
// afterwards its generation can only be resumed.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "libraries/base/boot_clock.h"
#include "libraries/base/outcome.h"
#include "libraries/generation/generation_id.h"

namespace balsam::relay {

struct RelayConfig {
  bool idempotent = true;
  // Tokens are buffered and delivered once the generation is complete.
  bool whole = false;
  // The request has a key or a ticket. The sidecar that owns the key or issued
  // the ticket recognises repeats, so the request can be sent to it again.
  bool is_keyed = false;
  BootTime deadline;
  int max_attempts = 4;
  // How long to try to resume a generation after the connection to its sidecar
  // broke.
  std::chrono::milliseconds resume_window{5000};
  std::chrono::milliseconds resume_interval{100};
  // Consecutive refused connections after which the sidecar is considered dead.
  // A sidecar that is only unreachable refuses no connections and gets the
  // whole resume window.
  int max_refused_resumes = 8;
};

// Select a backend server and send the request to it.
struct StartAttempt {
  // VMs that refused the request or failed in an earlier attempt.
  std::set<std::string> excluded;
  bool is_retry = false;
  // Backend server crashes counted for the request.
  std::int64_t crash_count = 0;
  // The outcome of the request if the retry budget allows no retry.
  Outcome fallback_outcome;
};
// At `when`, ask the sidecar that holds the generation for its tokens from
// `next` on.
struct Resume {
  generation::GenerationId generation;
  std::uint64_t next = 0;
  BootTime when;
};
// Write tokens to the reader; `first` is the sequence number of the first.
struct Deliver {
  std::uint64_t first = 0;
  std::vector<std::string> tokens;
};
// Cancel the current stream. The sidecar cancels the generation unless a reader
// attaches soon.
struct DropStream {};
// Send the final outcome to the reader; always the last step.
struct Conclude {
  Outcome outcome;
};

using Step = std::variant<StartAttempt, Resume, Deliver, DropStream, Conclude>;
using Steps = std::vector<Step>;

// How the stream of an attempt ended without a final reply.
enum class AttemptEnd {
  // The sidecar is known not to have processed the request.
  kNotProcessed,
  // The stream broke or was closed.
  kBroken,
};

class Relay {
 public:
  static Relay ForRequest(RelayConfig config);
  // Continues a generation for a reader that has received the tokens before
  // `from.next`.
  static Relay ForResume(RelayConfig config, generation::EventId from);

  Steps Start(BootTime now);
  // The attempt was sent to `vm`.
  void OnAttemptStarted(const std::string& vm);
  // No backend server can accept the request, for the reason in `outcome`.
  Steps OnNoServerAvailable(Outcome outcome, BootTime now);
  Steps OnAccepted(const generation::GenerationId& generation);
  Steps OnTokens(const generation::GenerationId& generation,
                 std::uint64_t first, std::span<const std::string> tokens,
                 BootTime now);
  // `generation` is unset if the sidecar did not accept the request.
  Steps OnFinished(const std::optional<generation::GenerationId>& generation,
                   Outcome outcome, std::int64_t crash_count, BootTime now);
  Steps OnAttemptEnd(AttemptEnd end, BootTime now);
  Steps OnReaderDisconnected();
  Steps OnTick(BootTime now);

  bool concluded() const { return concluded_; }
  const std::optional<generation::GenerationId>& generation() const {
    return generation_;
  }
  // The sequence number of the next token to deliver.
  std::uint64_t next() const { return delivered_; }
  int attempts() const { return attempts_; }
  // Tokens that belonged to another generation and were dropped.
  std::uint64_t stray_tokens() const { return stray_tokens_; }

 private:
  explicit Relay(RelayConfig config) : config_(config) {}

  bool MayRerun() const;
  Steps StartRetry(Outcome fallback_outcome, BootTime now);
  Steps TryResume(Outcome fallback_outcome, BootTime now);
  Steps ConcludeWith(Outcome outcome);
  Steps ConcludeSuccessfully(Outcome outcome);

  RelayConfig config_;
  bool concluded_ = false;
  bool is_resumed_ = false;
  // The generation of the current attempt; fixed once a token was delivered.
  std::optional<generation::GenerationId> generation_;
  std::string vm_;
  std::set<std::string> excluded_;
  int attempts_ = 0;
  std::int64_t crash_count_ = 0;
  // An attempt may have reached a backend server.
  bool may_have_run_ = false;
  // Number of tokens delivered to the reader; never decreases.
  std::uint64_t delivered_ = 0;
  // Undelivered tokens of a generation that is delivered whole, from sequence
  // number `delivered_` on.
  std::vector<std::string> buffered_tokens_;
  std::optional<BootTime> broken_since_;
  int refused_resumes_ = 0;
  std::uint64_t stray_tokens_ = 0;
};

}  // namespace balsam::relay
