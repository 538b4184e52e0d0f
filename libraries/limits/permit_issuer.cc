// A token bucket for each server.
#include "libraries/limits/permit_issuer.h"

#include <algorithm>

namespace balsam::limits {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// Entries without a permit ask again at this many times the rate of permits, so
// that one does for each permit even if some have no request any more.
constexpr double kTurnsPerPermit = 2.0;
// The shortest time until an entry asks again.
constexpr milliseconds kMinRetryAfter{5};
// The most requests without a permit that later ones make up for.
constexpr double kMaxDebt = 10.0;

}  // namespace

PermitIssuer::Bucket& PermitIssuer::Refill(std::uint32_t server,
                                           double requests_per_second,
                                           BootTime now) {
  const auto [found, is_new] = buckets_.try_emplace(server);
  Bucket& bucket = found->second;
  if (!is_new) {
    bucket.permits +=
        requests_per_second * Seconds(now - bucket.refilled_at).count();
  }
  const double capacity =
      1.0 + requests_per_second * Seconds(limits_.burst_time).count();
  bucket.permits = std::min(bucket.permits, capacity);
  bucket.refilled_at = now;
  return bucket;
}

PermitIssuer::Decision PermitIssuer::Request(std::uint32_t server,
                                             double requests_per_second,
                                             BootTime now) {
  const double rate =
      std::max(requests_per_second, limits_.min_requests_per_second);
  Bucket& bucket = Refill(server, rate, now);
  if (bucket.permits >= 1.0) {
    bucket.permits -= 1.0;
    return {true, milliseconds(0)};
  }
  const auto until_permit = std::chrono::ceil<BootClock::duration>(
      Seconds((1.0 - bucket.permits) / rate));
  const auto between_turns = std::chrono::ceil<BootClock::duration>(
      Seconds(1.0 / (rate * kTurnsPerPermit)));
  const BootTime latest = now + limits_.max_retry_after;
  const BootTime turn =
      std::min(std::max(bucket.next_turn, now + until_permit), latest);
  bucket.next_turn = turn + between_turns;
  return {false, std::max(kMinRetryAfter,
                          std::chrono::ceil<milliseconds>(turn - now))};
}

void PermitIssuer::Charge(std::uint32_t server, double requests_per_second,
                          BootTime now) {
  Bucket& bucket = Refill(
      server, std::max(requests_per_second, limits_.min_requests_per_second),
      now);
  bucket.permits = std::max(bucket.permits - 1.0, -kMaxDebt);
}

void PermitIssuer::RemoveIdle(BootTime now) {
  std::erase_if(buckets_, [&](const auto& item) {
    return now - item.second.refilled_at > limits_.idle_time;
  });
}

}  // namespace balsam::limits
