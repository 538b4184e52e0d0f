// When an order is sent, and what its answers mean.
#include "libraries/orders/order_book.h"

#include <algorithm>

namespace balsam::orders {

void OrderBook::OnDesired(const Desired& desired, BootTime now) {
  if (desired.revision < desired_.revision) return;
  heard_at_ = now;
  if (desired.revision == desired_.revision) return;
  desired_ = desired;
  superseded_ = desired_.revision < highest_seen_;
  settled_ = false;
  applied_ = false;
  backoff_ = config_.min_backoff;
  due_ = now + desired.load_delay;
  next_read_ = now;
}

bool OrderBook::IsFresh(BootTime now) const {
  return heard_at_.has_value() && now < *heard_at_ + config_.freshness;
}

std::optional<Order> OrderBook::TakeOrder(BootTime now) {
  const bool due = desired_.revision > 0 && !settled_ && !superseded_ &&
                   !under_way_ && now >= due_ && IsFresh(now);
  if (!due) return std::nullopt;
  under_way_ = true;
  return Order{desired_.revision, desired_.state};
}

void OrderBook::OnAnswer(OrderAnswer answer, BootTime now) {
  under_way_ = false;
  next_read_ = now;
  switch (answer) {
    case OrderAnswer::kApplied:
      // Only reading back settles it: an older order may have come between.
      applied_ = true;
      due_ = now + config_.read_interval;
      return;
    case OrderAnswer::kRefusedOldNumber:
      superseded_ = true;
      return;
    case OrderAnswer::kStoreBusy:
    case OrderAnswer::kFailed:
      due_ = now + backoff_;
      backoff_ = std::min(backoff_ * 2, config_.max_backoff);
      return;
  }
}

bool OrderBook::TakeReadBack(BootTime now) {
  if (desired_.revision == 0 || under_way_ || now < next_read_) return false;
  next_read_ = now + config_.read_interval;
  return true;
}

void OrderBook::OnReadBack(const EngineState& state,
                           std::uint64_t fencing_number, BootTime now) {
  highest_seen_ = std::max(highest_seen_, fencing_number);
  if (highest_seen_ > desired_.revision) {
    superseded_ = true;
    return;
  }
  // An engine that keeps numbers must have this one, or an older order could
  // still be taken.
  const bool knows_number =
      fencing_number == 0 || fencing_number == desired_.revision;
  const bool fits = state == desired_.state && knows_number;
  // Somebody changed what was in place: a newer sidecar, or the engine lost it.
  // Only news from after this tell which.
  const bool changed = !fits && (settled_ || applied_);
  if (changed) heard_at_.reset();
  // A repair is not staggered again: one engine alone needs it.
  if (changed) due_ = now;
  settled_ = fits;
}

}  // namespace balsam::orders
