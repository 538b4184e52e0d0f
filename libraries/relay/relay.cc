// Rules for delivery, resumption and retries.
#include "libraries/relay/relay.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace balsam::relay {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRetryAfterConnectionLoss{1000};

// Refusals after which another backend server may accept the request.
bool MayBeAcceptedElsewhere(ResultCode code) {
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
  relay.is_resumed_ = true;
  relay.may_have_run_ = true;
  relay.generation_ = std::move(from.generation);
  relay.delivered_ = from.next;
  return relay;
}

Steps Relay::Start(BootTime now) {
  if (is_resumed_) return {Resume{*generation_, delivered_, now}};
  return {StartAttempt{excluded_, false, crash_count_, {}}};
}

void Relay::OnAttemptStarted(const std::string& vm) {
  vm_ = vm;
  ++attempts_;
}

Steps Relay::OnNoServerAvailable(Outcome outcome, BootTime) {
  if (concluded_) return {};
  return ConcludeWith(std::move(outcome));
}

Steps Relay::OnAccepted(const generation::GenerationId& generation) {
  if (concluded_) return {};
  // Once a token was delivered, or the reader asked to resume a generation, no
  // other generation may replace it.
  if (delivered_ > 0 || is_resumed_) return {};
  if (generation_ != generation) buffered_tokens_.clear();
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
  const std::uint64_t expected = delivered_ + buffered_tokens_.size();
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
  const auto known_count =
      std::min<std::uint64_t>(expected - first, tokens.size());
  const auto new_tokens = tokens.subspan(known_count);
  if (new_tokens.empty()) return {};
  if (config_.whole) {
    std::ranges::copy(new_tokens, std::back_inserter(buffered_tokens_));
    return {};
  }
  Deliver deliver{delivered_, {new_tokens.begin(), new_tokens.end()}};
  delivered_ += new_tokens.size();
  return {std::move(deliver)};
}

Steps Relay::OnFinished(
    const std::optional<generation::GenerationId>& generation, Outcome outcome,
    std::int64_t crash_count, BootTime now) {
  if (concluded_) return {};
  if (generation.has_value() && generation_.has_value() &&
      generation != generation_) {
    return {};
  }
  crash_count_ = std::max(crash_count_, crash_count);
  if (outcome.code == ResultCode::kOk) {
    const std::uint64_t received = delivered_ + buffered_tokens_.size();
    if (outcome.total_tokens < received) {
      return ConcludeWith(Outcome::Ran(
          is_resumed_ ? ResultCode::kInvalidEventId
                      : ResultCode::kGenerationLost,
          "the generation has " + std::to_string(outcome.total_tokens) +
              " tokens, not " + std::to_string(received)));
    }
    if (outcome.total_tokens > received) {
      return TryResume(Outcome::Ran(ResultCode::kGenerationLost,
                                    "the generation ended before all its "
                                    "tokens were received"),
                       now);
    }
    return ConcludeSuccessfully(std::move(outcome));
  }
  if (outcome.run_state != RunState::kNotRun) may_have_run_ = true;
  if (delivered_ > 0 && MayBeAcceptedElsewhere(outcome.code) && !is_resumed_) {
    return ConcludeWith(
        Outcome::Ran(ResultCode::kGenerationLost, outcome.detail));
  }
  // A refused request may go to another sidecar. The refusal of a key reports
  // the run state as unknown; the next sidecar in rank decides for itself
  // whether the key may have run.
  const bool may_try_another =
      config_.is_keyed == (outcome.run_state == RunState::kUnknown);
  if (may_try_another && MayBeAcceptedElsewhere(outcome.code) && !is_resumed_) {
    excluded_.insert(vm_);
    return StartRetry(std::move(outcome), now);
  }
  if (outcome.code == ResultCode::kBackendServerLost && MayRerun()) {
    return StartRetry(std::move(outcome), now);
  }
  // The sidecar was restarted and does not know the generation, or its VM is no
  // longer listed.
  if (outcome.code == ResultCode::kGenerationNotFound && !is_resumed_) {
    Outcome lost =
        delivered_ > 0
            ? Outcome::Ran(ResultCode::kGenerationLost, outcome.detail)
            : Outcome::Unknown(ResultCode::kSidecarLost, outcome.detail);
    return MayRerun() ? StartRetry(std::move(lost), now)
                      : ConcludeWith(std::move(lost));
  }
  return ConcludeWith(std::move(outcome));
}

Steps Relay::OnAttemptEnd(AttemptEnd end, BootTime now) {
  if (concluded_) return {};
  Outcome lost = delivered_ > 0
                     ? Outcome::Ran(ResultCode::kGenerationLost,
                                    "the sidecar that ran the generation is "
                                    "unreachable")
                     : Outcome::Unknown(ResultCode::kSidecarLost,
                                        "the connection to the sidecar broke");
  lost.retry_after = kRetryAfterConnectionLoss;
  if (generation_.has_value()) {
    const bool refused = end == AttemptEnd::kNotProcessed;
    refused_resumes_ = refused ? refused_resumes_ + 1 : 0;
    return TryResume(std::move(lost), now);
  }
  if (end == AttemptEnd::kBroken) {
    may_have_run_ = true;
    if (MayRerun() || config_.is_keyed) return StartRetry(std::move(lost), now);
    return ConcludeWith(std::move(lost));
  }
  Outcome not_sent = Outcome::NotRun(ResultCode::kNoBackendServer,
                                     "no sidecar accepted the request",
                                     kRetryAfterConnectionLoss);
  // An earlier request with the same key may have run.
  if (config_.is_keyed) not_sent.run_state = RunState::kUnknown;
  return StartRetry(std::move(not_sent), now);
}

Steps Relay::OnReaderDisconnected() {
  if (concluded_) return {};
  concluded_ = true;
  return {DropStream{}};
}

Steps Relay::OnTick(BootTime now) {
  if (concluded_ || now < config_.deadline) return {};
  Steps steps{DropStream{}};
  const bool sent = attempts_ > 0 || is_resumed_;
  const std::string detail = "the request's deadline expired";
  Outcome outcome =
      sent ? Outcome::Unknown(ResultCode::kDeadlineWhileRunning, detail)
           : Outcome::NotRun(ResultCode::kDeadlineInQueue, detail,
                             kRetryAfterConnectionLoss);
  std::ranges::move(ConcludeWith(std::move(outcome)),
                    std::back_inserter(steps));
  return steps;
}

bool Relay::MayRerun() const {
  return config_.idempotent && delivered_ == 0 && !is_resumed_;
}

Steps Relay::StartRetry(Outcome fallback_outcome, BootTime now) {
  if (attempts_ >= config_.max_attempts || now >= config_.deadline) {
    return ConcludeWith(std::move(fallback_outcome));
  }
  // A request with a key or a ticket goes to the same sidecar again unless that
  // one refused it; any other request avoids the sidecar that failed.
  if (!config_.is_keyed) excluded_.insert(vm_);
  generation_.reset();
  buffered_tokens_.clear();
  broken_since_.reset();
  refused_resumes_ = 0;
  return {
      StartAttempt{excluded_, true, crash_count_, std::move(fallback_outcome)}};
}

Steps Relay::TryResume(Outcome fallback_outcome, BootTime now) {
  if (!broken_since_.has_value()) broken_since_ = now;
  const bool may_resume = now < *broken_since_ + config_.resume_window &&
                          refused_resumes_ < config_.max_refused_resumes;
  if (may_resume) {
    const bool first = now == *broken_since_;
    return {Resume{*generation_, delivered_ + buffered_tokens_.size(),
                   first ? now : now + config_.resume_interval}};
  }
  may_have_run_ = true;
  if (MayRerun()) return StartRetry(std::move(fallback_outcome), now);
  return ConcludeWith(std::move(fallback_outcome));
}

Steps Relay::ConcludeWith(Outcome outcome) {
  concluded_ = true;
  // "Not run" applies to the whole request only if no attempt may have run.
  // With a key or a ticket, the reply of its sidecar covers all attempts.
  if (delivered_ > 0) {
    outcome.run_state = RunState::kRan;
  } else if (may_have_run_ && !config_.is_keyed &&
             outcome.run_state == RunState::kNotRun) {
    outcome.run_state = RunState::kUnknown;
  }
  return {Conclude{std::move(outcome)}};
}

Steps Relay::ConcludeSuccessfully(Outcome outcome) {
  concluded_ = true;
  Steps steps;
  if (!buffered_tokens_.empty()) {
    steps.emplace_back(Deliver{delivered_, std::move(buffered_tokens_)});
    delivered_ = outcome.total_tokens;
    buffered_tokens_.clear();
  }
  steps.emplace_back(Conclude{std::move(outcome)});
  return steps;
}

}  // namespace balsam::relay
