// Short names of servers.
#include "libraries/dispatch/usage.h"

#include "libraries/membership/rendezvous.h"

namespace balsam::dispatch {

namespace {

// Plain requests in one step.
constexpr std::int64_t kPlainStep = 2;

}  // namespace

Usage WorthTelling(Usage usage) {
  if (usage.tokens == 0) usage.requests -= usage.requests % kPlainStep;
  return usage;
}

std::uint32_t ServerKey(std::string_view id) {
  return static_cast<std::uint32_t>(membership::StableHash(id));
}

}  // namespace balsam::dispatch
