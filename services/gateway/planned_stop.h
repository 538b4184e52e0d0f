// What a gateway that was asked to stop still accepts. The load balancer takes
// a while to notice the stop, and what runs at the end of the grace period is
// cut.
#pragma once

#include <chrono>

#include "libraries/base/boot_clock.h"

namespace balsam::gateway {

class PlannedStop {
 public:
  // When a request will have its complete response.
  struct ExpectedEnd {
    // Most likely.
    BootTime likely;
    // The request's deadline. Nothing else bounds how long a server that works
    // properly takes.
    BootTime latest;
  };

  // The stop begins at `start`; the process is terminated after `grace`.
  PlannedStop(BootTime start, std::chrono::milliseconds grace);

  // Whether a request that arrives now may be accepted. While new clients still
  // arrive, those whose requests will likely end in time are better served here
  // than refused; later, a request may only be accepted if it is sure to end.
  bool Accepts(const ExpectedEnd& end, BootTime now) const;
  // By then the load balancer has noticed the stop.
  bool IsKnownToBalancer(BootTime now) const;
  // When a client whose request was not accepted should try again.
  // `reaches_another`: its next connection most likely reaches another gateway
  // even if the load balancer has not noticed the stop. `longest`: a client
  // would not wait longer. `jitter`: a number from 0 to 1 that spreads the
  // clients that wait until stopped gateways have restarted.
  std::chrono::milliseconds RetryAfter(bool reaches_another,
                                       std::chrono::milliseconds longest,
                                       double jitter, BootTime now) const;

  BootTime start() const { return start_; }
  // Shortly before the process is terminated: what has no response then is
  // answered by the gateway.
  BootTime deadline() const { return deadline_; }

 private:
  BootTime start_;
  BootTime deadline_;
};

}  // namespace balsam::gateway
