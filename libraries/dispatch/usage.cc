// Short names of servers.
#include "libraries/dispatch/usage.h"

#include "libraries/membership/rendezvous.h"

namespace balsam::dispatch {

std::uint32_t ServerKey(std::string_view id) {
  return static_cast<std::uint32_t>(membership::StableHash(id));
}

}  // namespace balsam::dispatch
