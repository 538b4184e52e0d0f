// Chooses the rate and the bucket of each server's permits.
#include "libraries/limits/server_permits.h"

#include <algorithm>

namespace balsam::limits {

std::optional<ServerPermits::Source> ServerPermits::SourceOf(
    const LimitTable& limits, std::uint32_t server, IssuerRole role) {
  const bool is_primary = role == IssuerRole::kPrimary;
  auto limit = limits.StatedLimitOf(server);
  if (limit.has_value() && !is_primary) *limit *= kBackupShare;
  const auto cold_rate = limits.ColdRateOf(server);
  if (cold_rate.has_value()) {
    const double rate =
        *cold_rate * (is_primary ? kColdPrimaryShare : kColdBackupShare);
    return Source{&cold_, std::min(rate, limit.value_or(rate))};
  }
  if (!limit.has_value()) return std::nullopt;
  return Source{&warm_, *limit};
}

PermitIssuer::Decision ServerPermits::Request(const LimitTable& limits,
                                              std::uint32_t server,
                                              const std::string& entry,
                                              IssuerRole role, BootTime now) {
  const auto source = SourceOf(limits, server, role);
  if (!source.has_value()) return {true, std::chrono::milliseconds(0)};
  return source->issuer->Request(server, entry, source->requests_per_second,
                                 now);
}

void ServerPermits::Charge(const LimitTable& limits, std::uint32_t server,
                           IssuerRole role, BootTime now) {
  const auto source = SourceOf(limits, server, role);
  if (!source.has_value()) return;
  source->issuer->Charge(server, source->requests_per_second, now);
}

void ServerPermits::RemoveIdle(BootTime now) {
  warm_.RemoveIdle(now);
  cold_.RemoveIdle(now);
}

}  // namespace balsam::limits
