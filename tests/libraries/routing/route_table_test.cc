// Route lookup, weighted service selection and rejected configurations.
#include "libraries/routing/route_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <map>

namespace balsam::routing {
namespace {

Route MakeRoute(const std::string& host, const std::string& prefix,
                const std::string& service) {
  Route route;
  route.name = host + prefix;
  route.host = host;
  route.prefix = prefix;
  route.services = {{service, 1.0}};
  return route;
}

Configuration MakeConfiguration(std::vector<Route> routes) {
  Configuration configuration;
  configuration.version = 3;
  std::ranges::transform(routes, std::back_inserter(configuration.routes),
                         Share);
  configuration.services = {{"a", "", 1, {}}, {"b", "", 1, {}}};
  configuration.workspaces = {{"w1", {"k1", "k2"}, 0}, {"w2", {"k3"}, {}}};
  return configuration;
}

std::shared_ptr<const RouteTable> Build(Configuration configuration) {
  return TryOr(
      [&] { return RouteTable::Build(std::move(configuration)); },
      [](const Error&) { return std::shared_ptr<const RouteTable>(); });
}

TEST(RouteTableTest, TheLongestPrefixWins) {
  const auto table = Build(MakeConfiguration(
      {MakeRoute("h", "/", "a"), MakeRoute("h", "/x/", "a"),
       MakeRoute("h", "/x/y/", "b"), MakeRoute("h", "/z/", "a"),
       MakeRoute("other", "/x/y/z/", "a")}));
  ASSERT_NE(table, nullptr);
  const std::map<std::string, std::string> expected = {
      {"/", "/"},       {"/x", "/"},         {"/x/", "/x/"},
      {"/x/yy", "/x/"}, {"/x/y/1", "/x/y/"}, {"/x/y/z/1", "/x/y/"},
      {"/zz", "/"},     {"/z/~", "/z/"}};
  for (const auto& [path, prefix] : expected) {
    const Route* route = table->FindRoute("h:8080", path);
    ASSERT_NE(route, nullptr) << path;
    EXPECT_EQ(route->prefix, prefix) << path;
  }
  EXPECT_EQ(table->FindRoute("other", "/x/"), nullptr);
  EXPECT_EQ(table->FindRoute("none", "/"), nullptr);
}

TEST(RouteTableTest, FindsWorkspacesByKey) {
  const auto table = Build(MakeConfiguration({MakeRoute("h", "/", "a")}));
  EXPECT_EQ(table->FindWorkspace("k2")->name, "w1");
  EXPECT_EQ(table->FindWorkspace("k3")->name, "w2");
  EXPECT_EQ(table->FindWorkspace("k4"), nullptr);
}

TEST(RouteTableTest, RejectsInvalidRoutes) {
  EXPECT_EQ(Build(MakeConfiguration({MakeRoute("h", "/x", "a")})), nullptr);
  EXPECT_EQ(Build(MakeConfiguration({MakeRoute("h", "/x/", "c")})), nullptr);
  Route empty = MakeRoute("h", "/x/", "a");
  empty.services.clear();
  EXPECT_EQ(Build(MakeConfiguration({empty})), nullptr);
}

TEST(SelectServiceTest, SplitsByWeightAndIsStableForARequest) {
  Route route = MakeRoute("h", "/", "a");
  route.services = {{"a", 90.0}, {"b", 10.0}};
  int on_b = 0;
  constexpr int kRequests = 10000;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = std::to_string(i);
    EXPECT_EQ(SelectService(route, id), SelectService(route, id));
    if (SelectService(route, id) == "b") ++on_b;
  }
  EXPECT_GT(on_b, kRequests * 8 / 100);
  EXPECT_LT(on_b, kRequests * 12 / 100);
}

TEST(SelectServiceTest, ServiceWithZeroWeightGetsNoRequests) {
  Route route = MakeRoute("h", "/", "a");
  route.services = {{"a", 0.0}, {"b", 1.0}};
  for (int i = 0; i < 1000; ++i) {
    EXPECT_EQ(SelectService(route, std::to_string(i)), "b");
  }
}

TEST(PriorityOfTest, WorkspaceOverridesTheRoute) {
  Route route = MakeRoute("h", "/", "a");
  route.priority = 4;
  Workspace workspace{"w", {}, 1};
  EXPECT_EQ(PriorityOf(route, &workspace), 1);
  workspace.priority.reset();
  EXPECT_EQ(PriorityOf(route, &workspace), 4);
  EXPECT_EQ(PriorityOf(route, nullptr), 4);
}

}  // namespace
}  // namespace balsam::routing
