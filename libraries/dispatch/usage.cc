// Server keys and rounding of reported usage.
#include "libraries/dispatch/usage.h"

#include "libraries/membership/rendezvous.h"

namespace balsam::dispatch {

namespace {

// Reported numbers of plain requests are multiples of this.
constexpr std::int64_t kPlainRequestStep = 2;

}  // namespace

Usage RoundForReport(Usage usage) {
  if (usage.tokens == 0) usage.requests -= usage.requests % kPlainRequestStep;
  return usage;
}

std::uint32_t ServerKey(std::string_view id) {
  return static_cast<std::uint32_t>(membership::StableHash(id));
}

}  // namespace balsam::dispatch
