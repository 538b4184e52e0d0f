// A token bucket for each server, and those that wait for its permits.
#include "libraries/limits/permit_issuer.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace balsam::limits {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// Waiting entries ask again at this many times the rate of permits, so that one
// does for each permit even if some have no request any more.
constexpr double kReturnsPerPermit = 2.0;
// The shortest time until an entry asks again.
constexpr milliseconds kMinRetryAfter{5};
// The most requests without a permit that later ones make up for.
constexpr double kMaxDebt = 10.0;
// Of sums of permits.
constexpr double kRoundingError = 1e-6;

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

bool PermitIssuer::HasPermit(const Bucket& bucket, std::size_t ahead,
                             double requests_per_second, BootTime now) {
  double left = bucket.permits - 1.0;
  if (left < 0.0) return false;
  return std::ranges::all_of(
      bucket.waiting | std::views::take(ahead), [&](const WaitingEntry& entry) {
        left -= 1.0;
        const Seconds time = std::max(entry.permit_at, now) - now;
        return left + requests_per_second * time.count() >= -kRoundingError;
      });
}

PermitIssuer::Decision PermitIssuer::Request(std::uint32_t server,
                                             const std::string& entry,
                                             double requests_per_second,
                                             BootTime now) {
  const double rate =
      std::max(requests_per_second, limits_.min_requests_per_second);
  Bucket& bucket = Refill(server, rate, now);
  std::erase_if(bucket.waiting, [&](const WaitingEntry& other) {
    return other.returns_at + limits_.return_grace < now;
  });
  auto own = std::ranges::find(bucket.waiting, entry, &WaitingEntry::name);
  const auto ahead =
      static_cast<std::size_t>(std::distance(bucket.waiting.begin(), own));
  if (HasPermit(bucket, ahead, rate, now)) {
    bucket.permits -= 1.0;
    if (own != bucket.waiting.end()) bucket.waiting.erase(own);
    return {true, milliseconds(0)};
  }
  const auto time_of = [&](double permits) {
    return std::chrono::ceil<BootClock::duration>(Seconds(permits / rate));
  };
  const auto position = static_cast<double>(ahead);
  const auto until_first = time_of(std::max(0.0, 1.0 - bucket.permits));
  if (own == bucket.waiting.end()) {
    own = bucket.waiting.insert(own, WaitingEntry{entry, {}, {}});
  }
  own->permit_at = now + until_first + time_of(position);
  own->returns_at =
      std::min(now + until_first + time_of(position / kReturnsPerPermit),
               now + limits_.max_retry_after);
  return {false, std::max(kMinRetryAfter, std::chrono::ceil<milliseconds>(
                                              own->returns_at - now))};
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
