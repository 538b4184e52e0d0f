// Issues the permits of limited backend servers, one for each request. All
// entries ask the same issuer about a server, so that their requests together
// keep to its limit and may use all of it, whichever entries they arrive at.
// Entries that wait for a permit get one in the order in which they began to
// wait.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

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
    // An entry that does not ask again this long after it was told to does not
    // wait any more. Covers the interval between two looks at its own queue, a
    // message's way, and the time that a small VM may not run.
    std::chrono::milliseconds return_grace{100};
    // Permits of a server that nobody requests are dropped after this time.
    std::chrono::milliseconds idle_time{10000};
  };

  struct Decision {
    bool is_granted = false;
    // If not granted: when to ask again. Entries are given different times, so
    // that hundreds of them do not all ask for one permit. One that asks again
    // in time keeps its place.
    std::chrono::milliseconds retry_after{0};
  };

  explicit PermitIssuer(Limits limits) : limits_(limits) {}

  // `entry`: the name of the one that asks. `requests_per_second`: the rate at
  // which permits are issued, which is the server's limit, or the share of it
  // that this issuer may use.
  Decision Request(std::uint32_t server, const std::string& entry,
                   double requests_per_second, BootTime now);
  // A request was sent without a permit, because it could not wait for one.
  // Those after it wait longer instead.
  void Charge(std::uint32_t server, double requests_per_second, BootTime now);
  void RemoveIdle(BootTime now);
  std::size_t size() const { return buckets_.size(); }

 private:
  // An entry that waits for a permit.
  struct WaitingEntry {
    std::string name;
    // By when there will be a permit for it and for each entry before it.
    BootTime permit_at;
    // When it is to ask again; it may have no request any more, so that is
    // earlier than `permit_at` for all but the first.
    BootTime returns_at;
  };
  // A new bucket is empty: a former issuer may have used the limit up.
  struct Bucket {
    double permits = 0.0;
    BootTime refilled_at;
    // In the order in which they began to wait; each is there once.
    std::vector<WaitingEntry> waiting;
  };

  Bucket& Refill(std::uint32_t server, double requests_per_second,
                 BootTime now);
  // Whether there is a permit now, besides one in time for each of the first
  // `ahead` waiting entries.
  static bool HasPermit(const Bucket& bucket, std::size_t ahead,
                        double requests_per_second, BootTime now);

  Limits limits_;
  std::map<std::uint32_t, Bucket> buckets_;
};

}  // namespace balsam::limits
