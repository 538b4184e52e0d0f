// Finds the routes of one version of the configuration that the next version
// has unchanged, so that they are neither parsed nor built again.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string_view>

#include "libraries/routing/configuration.h"

namespace balsam::routing {

// Returns the identity of the text that a route is read from.
TextIdentity IdentityOf(std::string_view text);

class RouteReuse {
 public:
  // `known` must outlive this.
  explicit RouteReuse(const Configuration& known) : routes_(known.routes) {}

  // Returns the known route that was read from the same text; null if there is
  // none near the one that was returned last. Routes mostly keep their order.
  std::shared_ptr<const Route> Find(const TextIdentity& source) {
    // Removed routes are skipped. Added ones are looked for in vain, so that
    // not all known routes can be searched.
    constexpr std::size_t kSearched = 64;
    const std::size_t end = std::min(next_ + kSearched, routes_.size());
    for (std::size_t i = next_; i < end; ++i) {
      if (routes_[i].source != source) continue;
      next_ = i + 1;
      return routes_[i].route;
    }
    return nullptr;
  }

 private:
  const std::vector<SharedRoute>& routes_;
  // After the route that was returned last.
  std::size_t next_ = 0;
};

}  // namespace balsam::routing
