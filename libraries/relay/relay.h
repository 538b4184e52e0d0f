// The entry's decisions for one request, without I/O or clocks: where it is
// tried, what its reader receives, when it is resumed, retried or concluded.
//
// The reader receives tokens of one generation only. Before the first token is
// delivered, an idempotent request may be tried again as another generation;
// after it, that generation can only be resumed.
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
  // Tokens are delivered only once the generation is complete.
  bool whole = false;
  // The request has a key or a ticket, so its holder answers repeats.
  bool bound = false;
  BootTime deadline;
  int max_attempts = 4;
  // How long the holder of a generation is sought after its connection broke.
  std::chrono::milliseconds resume_window{5000};
  std::chrono::milliseconds resume_interval{100};
  // Refused connections in a row after which the holder is taken for dead. A
  // peer that is cut off does not refuse, so it keeps the whole window.
  int max_refused_resumes = 8;
};

// Find a backend server and send the request there.
struct Place {
  // VMs that an earlier attempt found unable.
  std::set<std::string> excluded;
  bool is_retry = false;
  // Crashes in which the request took part.
  std::int64_t suspicion = 0;
  // The answer if a retry may not be made.
  Outcome otherwise;
};
// Ask the holder for the generation's tokens from `next` on, at `when`.
struct Resume {
  generation::GenerationId generation;
  std::uint64_t next = 0;
  BootTime when;
};
// Hand tokens to the reader; `first` is the sequence number of the first.
struct Deliver {
  std::uint64_t first = 0;
  std::vector<std::string> tokens;
};
// Give up the present stream; the holder cancels the generation unless a
// reader comes back soon.
struct DropStream {};
// Give the reader its final answer; always the last step.
struct Conclude {
  Outcome outcome;
};

using Step = std::variant<Place, Resume, Deliver, DropStream, Conclude>;
using Steps = std::vector<Step>;

// How the stream that carried an attempt ended.
enum class AttemptEnd {
  // Proved not to have been processed.
  kNotProcessed,
  // Broke off, or ended without a final answer.
  kBroken,
};

class Relay {
 public:
  static Relay ForRequest(RelayConfig config);
  // Continues a generation for a reader that has seen the tokens before
  // `from.next`.
  static Relay ForResume(RelayConfig config, generation::EventId from);

  Steps Start(BootTime now);
  // The attempt was sent to `vm`.
  void OnPlaced(const std::string& vm);
  // No backend server can take the request; `outcome` says why.
  Steps OnNoPlace(Outcome outcome, BootTime now);
  Steps OnAccepted(const generation::GenerationId& generation);
  Steps OnTokens(const generation::GenerationId& generation,
                 std::uint64_t first, std::span<const std::string> tokens,
                 BootTime now);
  // `generation` is absent if the sidecar took nothing on.
  Steps OnFinished(const std::optional<generation::GenerationId>& generation,
                   Outcome outcome, std::int64_t suspicion, BootTime now);
  Steps OnAttemptEnd(AttemptEnd end, BootTime now);
  Steps OnReaderGone();
  Steps OnTick(BootTime now);

  bool concluded() const { return concluded_; }
  const std::optional<generation::GenerationId>& generation() const {
    return generation_;
  }
  // The sequence number of the next token that the reader lacks.
  std::uint64_t next() const { return delivered_; }
  int attempts() const { return attempts_; }
  // Tokens that belonged to another generation and were dropped.
  std::uint64_t stray_tokens() const { return stray_tokens_; }

 private:
  explicit Relay(RelayConfig config) : config_(config) {}

  bool MayRerun() const;
  Steps TryElsewhere(Outcome otherwise, BootTime now);
  Steps TryResume(Outcome otherwise, BootTime now);
  Steps ConcludeWith(Outcome outcome);
  Steps ConcludeOk(Outcome outcome);

  RelayConfig config_;
  bool concluded_ = false;
  bool resuming_reader_ = false;
  // The generation of the present attempt; fixed once a token was delivered.
  std::optional<generation::GenerationId> generation_;
  std::string vm_;
  std::set<std::string> excluded_;
  int attempts_ = 0;
  std::int64_t suspicion_ = 0;
  // An attempt may have reached a backend server.
  bool may_have_run_ = false;
  // Tokens handed to the reader; never decreases.
  std::uint64_t delivered_ = 0;
  // Tokens of a generation that is delivered whole, from `delivered_` on.
  std::vector<std::string> held_;
  std::optional<BootTime> broken_since_;
  int refused_resumes_ = 0;
  std::uint64_t stray_tokens_ = 0;
};

}  // namespace balsam::relay
