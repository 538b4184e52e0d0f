// Issues the permits of limited backend servers, one for each request. All
// entries ask the same issuer about a server, so that their requests together
// keep to its limit and may use all of it, whichever entries they arrive at.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

#include "libraries/base/boot_clock.h"

namespace balsam::limits {

class PermitIssuer {
 public:
  struct Limits {
    // How long permits accumulate while none are requested.
    std::chrono::milliseconds burst_time{500};
    // Lower limits are raised to this rate: only a response tells that a limit
    // has ended.
    double min_requests_per_second = 0.5;
    // The longest time after which an entry without a permit asks again.
    std::chrono::milliseconds max_retry_after{2000};
    // Permits of a server that nobody requests are dropped after this time.
    std::chrono::milliseconds idle_time{10000};
  };

  struct Decision {
    bool is_granted = false;
    // If not granted: when to ask again. Entries are given different times, so
    // that hundreds of them do not all ask for one permit.
    std::chrono::milliseconds retry_after{0};
  };

  explicit PermitIssuer(Limits limits) : limits_(limits) {}

  // `requests_per_second`: the rate at which permits are issued, which is the
  // server's limit, or the share of it that this issuer may use.
  Decision Request(std::uint32_t server, double requests_per_second,
                   BootTime now);
  // A request was sent without a permit, because it could not wait for one.
  // Those after it wait longer instead.
  void Charge(std::uint32_t server, double requests_per_second, BootTime now);
  void RemoveIdle(BootTime now);
  std::size_t size() const { return buckets_.size(); }

 private:
  // A new bucket is empty: a former issuer may have used the limit up.
  struct Bucket {
    double permits = 0.0;
    BootTime refilled_at;
    // When the next entry without a permit is to ask again.
    BootTime next_turn;
  };

  Bucket& Refill(std::uint32_t server, double requests_per_second,
                 BootTime now);

  Limits limits_;
  std::map<std::uint32_t, Bucket> buckets_;
};

}  // namespace balsam::limits
