// Route lookup by host and longest prefix, and weighted service selection.
#include "libraries/routing/route_table.h"

#include <algorithm>
#include <numeric>

#include "libraries/membership/rendezvous.h"

namespace balsam::routing {
namespace {

// Weights are scaled to integers for the selection by hash.
constexpr double kWeightScale = 1000.0;

bool IsValidPrefix(std::string_view text) {
  return !text.empty() && text.front() == '/' && text.back() == '/';
}

std::string WithoutPort(std::string_view host) {
  return std::string(host.substr(0, host.find(':')));
}

}  // namespace

RouteTable::RouteTable(Configuration configuration)
    : configuration_(std::move(configuration)) {
  for (const Route& route : configuration_.routes) {
    routes_by_host_[route.host].emplace(route.prefix, &route);
  }
  for (const Workspace& workspace : configuration_.workspaces) {
    for (const std::string& key : workspace.keys) {
      workspaces_by_key_.emplace(key, &workspace);
    }
  }
  for (const Service& service : configuration_.services) {
    services_by_name_.emplace(service.name, &service);
  }
}

Result<std::shared_ptr<const RouteTable>> RouteTable::Build(
    Configuration configuration) {
  std::shared_ptr<const RouteTable> table(
      new RouteTable(std::move(configuration)));
  for (const Route& route : table->configuration_.routes) {
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
  const auto routes = routes_by_host_.find(WithoutPort(host));
  if (routes == routes_by_host_.end()) return nullptr;
  // Prefixes are in descending order, so longer prefixes of `path` come before
  // shorter ones, and none comes before `path` itself.
  const auto& prefixes = routes->second;
  const auto match = std::find_if(
      prefixes.lower_bound(std::string(path)), prefixes.end(),
      [path](const auto& item) { return path.starts_with(item.first); });
  return match == prefixes.end() ? nullptr : match->second;
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
