// The rules of delivery, resumption and retry.
#include "libraries/relay/relay.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace balsam::relay {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRetryAfterLoss{1000};

// Refusals that another backend server need not share.
bool MayFitElsewhere(ResultCode code) {
  switch (code) {
    case ResultCode::kDraining:
    case ResultCode::kNoBackendServer:
    case ResultCode::kQueueFull:
    case ResultCode::kBudgetSpent:
    case ResultCode::kStaleVmList:
      return true;
    default:
      return false;
  }
}

}  // namespace

Relay Relay::ForRequest(RelayConfig config) { return Relay(config); }

Relay Relay::ForResume(RelayConfig config, generation::EventId from) {
  Relay relay(config);
  relay.resuming_reader_ = true;
  relay.may_have_run_ = true;
  relay.generation_ = std::move(from.generation);
  relay.delivered_ = from.next;
  return relay;
}

Steps Relay::Start(BootTime now) {
  if (resuming_reader_) return {Resume{*generation_, delivered_, now}};
  return {Place{excluded_, false, suspicion_, {}}};
}

void Relay::OnPlaced(const std::string& vm) {
  vm_ = vm;
  ++attempts_;
}

Steps Relay::OnNoPlace(Outcome outcome, BootTime) {
  if (concluded_) return {};
  return ConcludeWith(std::move(outcome));
}

Steps Relay::OnAccepted(const generation::GenerationId& generation) {
  if (concluded_) return {};
  // Once a token was delivered, or the reader named a generation, no other
  // one may take its place.
  if (delivered_ > 0 || resuming_reader_) return {};
  if (generation_ != generation) held_.clear();
  generation_ = generation;
  return {};
}

Steps Relay::OnTokens(const generation::GenerationId& generation,
                      std::uint64_t first, std::span<const std::string> tokens,
                      BootTime now) {
  if (concluded_) return {};
  if (generation_ != generation) {
    stray_tokens_ += tokens.size();
    return {};
  }
  const std::uint64_t expected = delivered_ + held_.size();
  if (first > expected) {
    Steps steps{DropStream{}};
    std::ranges::move(
        TryResume(Outcome::Ran(ResultCode::kGenerationLost,
                               "tokens are missing from the stream"),
                  now),
        std::back_inserter(steps));
    return steps;
  }
  broken_since_.reset();
  refused_resumes_ = 0;
  const auto known = std::min<std::uint64_t>(expected - first, tokens.size());
  const auto fresh = tokens.subspan(known);
  if (fresh.empty()) return {};
  if (config_.whole) {
    std::ranges::copy(fresh, std::back_inserter(held_));
    return {};
  }
  Deliver deliver{delivered_, {fresh.begin(), fresh.end()}};
  delivered_ += fresh.size();
  return {std::move(deliver)};
}

Steps Relay::OnFinished(
    const std::optional<generation::GenerationId>& generation, Outcome outcome,
    std::int64_t suspicion, BootTime now) {
  if (concluded_) return {};
  if (generation.has_value() && generation_.has_value() &&
      generation != generation_) {
    return {};
  }
  suspicion_ = std::max(suspicion_, suspicion);
  if (outcome.code == ResultCode::kOk) {
    if (outcome.total_tokens > delivered_ + held_.size()) {
      return TryResume(Outcome::Ran(ResultCode::kGenerationLost,
                                    "the end came before all tokens"),
                       now);
    }
    return ConcludeOk(std::move(outcome));
  }
  if (outcome.run_state != RunState::kNotRun) may_have_run_ = true;
  // A holder of keys that passes one on leaves it to the next in rank, which
  // judges for itself whether the key may have run.
  const bool passed_on =
      config_.bound == (outcome.run_state == RunState::kUnknown);
  if (passed_on && MayFitElsewhere(outcome.code) && !resuming_reader_) {
    excluded_.insert(vm_);
    return TryElsewhere(std::move(outcome), now);
  }
  if (outcome.code == ResultCode::kBackendServerLost && MayRerun()) {
    return TryElsewhere(std::move(outcome), now);
  }
  // The holder does not know the generation: it is another incarnation.
  if (outcome.code == ResultCode::kGenerationNotFound && !resuming_reader_) {
    Outcome lost =
        delivered_ > 0
            ? Outcome::Ran(ResultCode::kGenerationLost, outcome.detail)
            : Outcome::Unknown(ResultCode::kSidecarLost, outcome.detail);
    return MayRerun() ? TryElsewhere(std::move(lost), now)
                      : ConcludeWith(std::move(lost));
  }
  return ConcludeWith(std::move(outcome));
}

Steps Relay::OnAttemptEnd(AttemptEnd end, BootTime now) {
  if (concluded_) return {};
  Outcome lost = delivered_ > 0
                     ? Outcome::Ran(ResultCode::kGenerationLost,
                                    "the generation's holder is gone")
                     : Outcome::Unknown(ResultCode::kSidecarLost,
                                        "the connection to the sidecar broke");
  lost.retry_after = kRetryAfterLoss;
  if (generation_.has_value()) {
    const bool refused = end == AttemptEnd::kNotProcessed;
    refused_resumes_ = refused ? refused_resumes_ + 1 : 0;
    return TryResume(std::move(lost), now);
  }
  if (end == AttemptEnd::kBroken) {
    may_have_run_ = true;
    if (MayRerun() || config_.bound) return TryElsewhere(std::move(lost), now);
    return ConcludeWith(std::move(lost));
  }
  Outcome unplaced =
      Outcome::NotRun(ResultCode::kNoBackendServer,
                      "no sidecar took the request", kRetryAfterLoss);
  // An earlier request with the same key may have run.
  if (config_.bound) unplaced.run_state = RunState::kUnknown;
  return TryElsewhere(std::move(unplaced), now);
}

Steps Relay::OnReaderGone() {
  if (concluded_) return {};
  concluded_ = true;
  return {DropStream{}};
}

Steps Relay::OnTick(BootTime now) {
  if (concluded_ || now < config_.deadline) return {};
  Steps steps{DropStream{}};
  const bool sent = attempts_ > 0 || resuming_reader_;
  const std::string detail = "the request's deadline passed";
  Outcome outcome =
      sent ? Outcome::Unknown(ResultCode::kDeadlineWhileRunning, detail)
           : Outcome::NotRun(ResultCode::kDeadlineInQueue, detail,
                             kRetryAfterLoss);
  std::ranges::move(ConcludeWith(std::move(outcome)),
                    std::back_inserter(steps));
  return steps;
}

bool Relay::MayRerun() const {
  return config_.idempotent && delivered_ == 0 && !resuming_reader_;
}

Steps Relay::TryElsewhere(Outcome otherwise, BootTime now) {
  if (attempts_ >= config_.max_attempts || now >= config_.deadline) {
    return ConcludeWith(std::move(otherwise));
  }
  // The holder of a key or a ticket is asked again; anyone else is passed by.
  if (!config_.bound) excluded_.insert(vm_);
  generation_.reset();
  held_.clear();
  broken_since_.reset();
  refused_resumes_ = 0;
  return {Place{excluded_, true, suspicion_, std::move(otherwise)}};
}

Steps Relay::TryResume(Outcome otherwise, BootTime now) {
  if (!broken_since_.has_value()) broken_since_ = now;
  const bool seeks = now < *broken_since_ + config_.resume_window &&
                     refused_resumes_ < config_.max_refused_resumes;
  if (seeks) {
    const bool first = now == *broken_since_;
    return {Resume{*generation_, delivered_ + held_.size(),
                   first ? now : now + config_.resume_interval}};
  }
  may_have_run_ = true;
  if (MayRerun()) return TryElsewhere(std::move(otherwise), now);
  return ConcludeWith(std::move(otherwise));
}

Steps Relay::ConcludeWith(Outcome outcome) {
  concluded_ = true;
  // "Not run" holds for the whole request only if no attempt may have run. The
  // holder of a key or a ticket speaks for all attempts.
  if (delivered_ > 0) {
    outcome.run_state = RunState::kRan;
  } else if (may_have_run_ && !config_.bound &&
             outcome.run_state == RunState::kNotRun) {
    outcome.run_state = RunState::kUnknown;
  }
  return {Conclude{std::move(outcome)}};
}

Steps Relay::ConcludeOk(Outcome outcome) {
  concluded_ = true;
  Steps steps;
  if (!held_.empty()) {
    steps.emplace_back(Deliver{delivered_, std::move(held_)});
    delivered_ = outcome.total_tokens;
    held_.clear();
  }
  steps.emplace_back(Conclude{std::move(outcome)});
  return steps;
}

}  // namespace balsam::relay
