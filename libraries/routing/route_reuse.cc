// Hashes the texts of routes.
#include "libraries/routing/route_reuse.h"

#include <xxhash.h>

namespace balsam::routing {

TextIdentity IdentityOf(std::string_view text) {
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return {hash.low64, hash.high64};
}

}  // namespace balsam::routing
