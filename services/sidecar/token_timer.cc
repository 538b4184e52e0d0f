// Records into the request histograms.
#include "services/sidecar/token_timer.h"

namespace balsam::sidecar {
using telemetry::Seconds;

void TokenTimer::OnDispatched(BootTime now) {
  instruments_->queueing->Observe(Seconds(now - queued_at_));
}

void TokenTimer::OnTokens(std::uint64_t count, BootTime now) {
  instruments_->tokens->Increment(static_cast<double>(count));
  if (!last_token_.has_value()) {
    instruments_->first_token->Observe(Seconds(now - queued_at_));
  } else {
    const auto gap = now - *last_token_;
    instruments_->between_tokens->Observe(Seconds(gap));
    if (gap > telemetry::kStallThreshold) {
      stall_ += gap - telemetry::kStallThreshold;
    }
  }
  last_token_ = now;
}

void TokenTimer::OnEnd() {
  instruments_->stall->Observe(Seconds(stall_));
  instruments_->preemptions->Observe(preemptions_);
}

}  // namespace balsam::sidecar
