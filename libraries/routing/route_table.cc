// Route lookup by host and longest prefix, and weighted service selection.
#include "libraries/routing/route_table.h"

#include <algorithm>
#include <bit>
#include <numeric>

#include "libraries/membership/rendezvous.h"

namespace balsam::routing {
namespace {

// Weights are scaled to integers for the selection by hash.
constexpr double kWeightScale = 1000.0;

bool IsValidPrefix(std::string_view text) {
  return !text.empty() && text.front() == '/' && text.back() == '/';
}

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

}  // namespace

RouteTable::RouteTable(Configuration configuration)
    : configuration_(std::move(configuration)) {
  IndexRoutes();
  for (const Workspace& workspace : configuration_.workspaces) {
    for (const std::string& key : workspace.keys) {
      workspaces_by_key_.emplace(key, &workspace);
    }
  }
  for (const Service& service : configuration_.services) {
    services_by_name_.emplace(service.name, &service);
  }
}

void RouteTable::IndexRoutes() {
  route_slots_.resize(std::bit_ceil(2 * configuration_.routes.size() + 1));
  for (const auto& [source, route] : configuration_.routes) {
    const Route*& slot = route_slots_[FindSlot(route->host, route->prefix)];
    // Of equal ones the first counts.
    if (slot == nullptr) slot = route.get();
    max_prefix_depth_ = std::max<std::size_t>(
        max_prefix_depth_, std::ranges::count(route->prefix, '/'));
  }
}

std::size_t RouteTable::FindSlot(std::string_view host,
                                 std::string_view prefix) const {
  const std::size_t mask = route_slots_.size() - 1;
  std::size_t slot =
      membership::StableHash(prefix, membership::StableHash(host)) & mask;
  while (route_slots_[slot] != nullptr &&
         (route_slots_[slot]->prefix != prefix ||
          route_slots_[slot]->host != host)) {
    slot = (slot + 1) & mask;
  }
  return slot;
}

Result<std::shared_ptr<const RouteTable>> RouteTable::Build(
    Configuration configuration) {
  std::shared_ptr<const RouteTable> table(
      new RouteTable(std::move(configuration)));
  for (const auto& [source, shared] : table->configuration_.routes) {
    const Route& route = *shared;
    if (!IsValidPrefix(route.prefix)) {
      return Fail(ResultCode::kInvalidSettings,
                  "route \"" + route.name +
                      "\" has a prefix that does not begin and end with \"/\"");
    }
    if (route.services.empty()) {
      return Fail(ResultCode::kInvalidSettings,
                  "route \"" + route.name + "\" names no service");
    }
    const auto unknown = std::ranges::find_if(
        route.services, [&](const WeightedService& weighted) {
          return table->FindService(weighted.service) == nullptr;
        });
    if (unknown != route.services.end()) {
      return Fail(ResultCode::kInvalidSettings,
                  "route \"" + route.name + "\" names the unknown service \"" +
                      unknown->service + "\"");
    }
  }
  return table;
}

const Route* RouteTable::FindRoute(std::string_view host,
                                   std::string_view path) const {
  host = WithoutPort(host);
  // The ends of the possible prefixes, which end with a slash, are those of the
  // first slashes. A path may have any number of them.
  std::size_t end = 0;
  for (std::size_t depth = 0; depth < max_prefix_depth_; ++depth) {
    const std::size_t slash = path.find('/', end);
    if (slash == std::string_view::npos) break;
    end = slash + 1;
  }
  // From the longest to the shortest.
  while (end > 0) {
    const Route* route = route_slots_[FindSlot(host, path.substr(0, end))];
    if (route != nullptr) return route;
    const std::size_t slash =
        end < 2 ? std::string_view::npos : path.rfind('/', end - 2);
    end = slash == std::string_view::npos ? 0 : slash + 1;
  }
  return nullptr;
}

const Workspace* RouteTable::FindWorkspace(std::string_view key) const {
  const auto found = workspaces_by_key_.find(std::string(key));
  return found == workspaces_by_key_.end() ? nullptr : found->second;
}

const Service* RouteTable::FindService(std::string_view name) const {
  const auto found = services_by_name_.find(std::string(name));
  return found == services_by_name_.end() ? nullptr : found->second;
}

const std::string& SelectService(const Route& route,
                                 std::string_view request_id) {
  const auto scaled_weight = [](const WeightedService& weighted) {
    return static_cast<std::uint64_t>(weighted.weight * kWeightScale);
  };
  const std::uint64_t total =
      std::transform_reduce(route.services.begin(), route.services.end(),
                            std::uint64_t{0}, std::plus<>(), scaled_weight);
  if (total == 0) return route.services.front().service;
  std::uint64_t remainder = membership::StableHash(request_id) % total;
  const auto chosen =
      std::ranges::find_if(route.services, [&](const auto& weighted) {
        const std::uint64_t weight = scaled_weight(weighted);
        if (remainder < weight) return true;
        remainder -= weight;
        return false;
      });
  return chosen->service;
}

int PriorityOf(const Route& route, const Workspace* workspace) {
  if (workspace != nullptr && workspace->priority.has_value()) {
    return *workspace->priority;
  }
  return route.priority;
}

}  // namespace balsam::routing
