// The permits of all limited servers as one entry issues them: of the limits
// that servers name, and of the rates that cold servers bear.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "libraries/base/boot_clock.h"
#include "libraries/limits/limit_table.h"
#include "libraries/limits/permit_issuer.h"

namespace balsam::limits {

// What an entry is to those that ask it for the permits of a server.
enum class IssuerRole {
  kPrimary,
  // Serves the entries that the primary does not answer.
  kBackup,
};

class ServerPermits {
 public:
  // The share of a named limit that the backup issues. Both together stay
  // within the excess that the platform allows (half of the limit).
  static constexpr double kBackupShare = 0.25;

  // The rate of a cold server binds in each second, not on average, and also
  // while two entries both consider themselves the primary, each of them with a
  // backup. In one second they issue at most
  //   2 x (1 + kColdPrimaryShare x rate x (1 s + kColdBurstTime)) +
  //   2 x (1 + kColdBackupShare x rate x (1 s + kColdBurstTime)),
  // which is 4 + 1.32 x rate. The platform allows 5 + 1.5 x rate; the rest is
  // left to requests that are sent without a permit.
  static constexpr double kColdPrimaryShare = 0.5;
  static constexpr double kColdBackupShare = 0.1;
  // Short, since what accumulated adds to the second in which it is used.
  static constexpr std::chrono::milliseconds kColdBurstTime{100};
  // Lower rates are raised to this one, at which four issuers exceed one
  // request each by less than half a request.
  static constexpr double kMinColdRequestsPerSecond = 0.1;

  // Decides about a request of the entry of this name. A server that `limits`
  // does not limit needs no permit, so it is granted.
  PermitIssuer::Decision Request(const LimitTable& limits, std::uint32_t server,
                                 const std::string& entry, IssuerRole role,
                                 BootTime now);
  // A request was sent without a permit, because it could not wait for one.
  void Charge(const LimitTable& limits, std::uint32_t server, IssuerRole role,
              BootTime now);
  // Must be called now and then.
  void RemoveIdle(BootTime now);

 private:
  // The rate at which permits are issued and the buckets that they come from.
  struct Source {
    PermitIssuer* issuer = nullptr;
    double requests_per_second = 0.0;
  };

  // Returns nothing if the server is not limited.
  std::optional<Source> SourceOf(const LimitTable& limits, std::uint32_t server,
                                 IssuerRole role);

  PermitIssuer warm_{{}};
  // A server that turns cold begins with an empty bucket.
  PermitIssuer cold_{{.burst_time = kColdBurstTime,
                      .min_requests_per_second = kMinColdRequestsPerSecond}};
};

}  // namespace balsam::limits
