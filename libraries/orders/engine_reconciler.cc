// When orders are sent and how their results and state reads are handled.
#include "libraries/orders/engine_reconciler.h"

#include <algorithm>

namespace balsam::orders {

void EngineReconciler::DropConfirmation() {
  confirmed_at_.reset();
  ++challenge_;
}

void EngineReconciler::OnDesiredState(const DesiredState& desired,
                                      std::uint64_t challenge, BootTime now) {
  if (desired.revision < desired_.revision) return;
  if (challenge == challenge_) confirmed_at_ = now;
  if (desired.revision == desired_.revision) return;
  desired_ = desired;
  superseded_ = desired_.revision < highest_fencing_number_;
  settled_ = false;
  applied_ = false;
  backoff_ = config_.min_backoff;
  next_order_at_ = now + desired.load_delay;
  next_read_at_ = now;
}

bool EngineReconciler::IsFresh(BootTime now) const {
  return confirmed_at_.has_value() && now < *confirmed_at_ + config_.freshness;
}

std::optional<Order> EngineReconciler::TakeOrder(BootTime now) {
  const bool is_due = desired_.revision > 0 && !settled_ && !superseded_ &&
                      !in_flight_ && now >= next_order_at_ && IsFresh(now);
  if (!is_due) return std::nullopt;
  in_flight_ = true;
  return Order{desired_.revision, desired_.state};
}

void EngineReconciler::OnOrderResult(OrderResult result, BootTime now) {
  in_flight_ = false;
  next_read_at_ = now;
  switch (result) {
    case OrderResult::kApplied:
      // Only a state read settles it, since an older order may have been
      // applied in between.
      applied_ = true;
      next_order_at_ = now + config_.read_interval;
      return;
    case OrderResult::kStaleFencingNumber:
      superseded_ = true;
      return;
    case OrderResult::kWeightStoreBusy:
    case OrderResult::kFailed:
      next_order_at_ = now + backoff_;
      backoff_ = std::min(backoff_ * 2, config_.max_backoff);
      return;
  }
}

bool EngineReconciler::BeginStateRead(BootTime now) {
  if (desired_.revision == 0 || in_flight_ || now < next_read_at_) return false;
  next_read_at_ = now + config_.read_interval;
  return true;
}

void EngineReconciler::OnStateRead(const EngineState& state,
                                   std::uint64_t fencing_number, BootTime now) {
  highest_fencing_number_ = std::max(highest_fencing_number_, fencing_number);
  if (highest_fencing_number_ > desired_.revision) {
    superseded_ = true;
    return;
  }
  // An engine that stores fencing numbers must have this one; otherwise it
  // could still accept an older order.
  const bool number_matches =
      fencing_number == 0 || fencing_number == desired_.revision;
  const bool matches = state == desired_.state && number_matches;
  // A state that was in place has changed: by another sidecar, newer or older,
  // or because the engine lost it. Only a later confirmation of the desired
  // state shows whether to repair it.
  const bool was_changed = !matches && (settled_ || applied_);
  if (was_changed) DropConfirmation();
  // A repair is not staggered, since only this engine needs it.
  if (was_changed) next_order_at_ = now;
  settled_ = matches;
}

}  // namespace balsam::orders
