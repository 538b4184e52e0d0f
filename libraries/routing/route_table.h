// Looks up the route and the workspace of a request in one configuration. It is
// immutable, so a request keeps the version with which it was admitted.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/routing/configuration.h"

namespace balsam::routing {

class RouteTable {
 public:
  // Fails with kInvalidSettings if a route names no service or an unknown one,
  // or if its prefix does not begin and end with a slash.
  static Result<std::shared_ptr<const RouteTable>> Build(
      Configuration configuration);

  // Returns the route of `host` with the longest prefix of `path`; null if
  // there is none. A port in `host` is ignored.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // Returns the workspace that has `key`; null for an unknown key.
  const Workspace* FindWorkspace(std::string_view key) const;
  // Returns null for an unknown name.
  const Service* FindService(std::string_view name) const;

  const Configuration& configuration() const { return configuration_; }
  std::uint64_t version() const { return configuration_.version; }
  const ClientLimits& limits() const { return configuration_.limits; }
  const std::vector<Service>& services() const {
    return configuration_.services;
  }
  bool has_workspaces() const { return !configuration_.workspaces.empty(); }

 private:
  explicit RouteTable(Configuration configuration);

  void IndexRoutes();
  // Returns the slot of the route with exactly this prefix, or the empty one
  // where it would be.
  std::size_t FindSlot(std::string_view host, std::string_view prefix) const;

  Configuration configuration_;
  // The index and the maps point into `configuration_`. The index is a hash
  // table with linear probing, as it is built anew for each version: a power of
  // two of slots, at most half of them used.
  std::vector<const Route*> route_slots_;
  // The most slashes of any prefix.
  std::size_t max_prefix_depth_ = 0;
  std::unordered_map<std::string, const Workspace*> workspaces_by_key_;
  std::unordered_map<std::string, const Service*> services_by_name_;
};

// Selects a service by the route's weights and a hash of `request_id`, so that
// every entry selects the same one for the same request.
const std::string& SelectService(const Route& route,
                                 std::string_view request_id);

// The priority of a request; 0 is the highest.
int PriorityOf(const Route& route, const Workspace* workspace);

}  // namespace balsam::routing
