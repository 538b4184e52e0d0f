// Versions of the configuration that are read by what changed, against the same
// versions read as a whole.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <boost/algorithm/string/join.hpp>
#include <string>
#include <vector>

#include "libraries/routing/route_table.h"
#include "platform/wire_dialect.h"

namespace balsam::platform {
namespace {

// A route of few possible hosts and prefixes, so that some are equal or
// prefixes of others.
struct RouteChoice {
  int host = 0;
  int depth = 0;
  int timeout_ms = 0;

  std::string Prefix() const {
    std::string prefix = "/";
    for (int i = 0; i < depth; ++i) prefix += "p/";
    return prefix;
  }
  std::string ToJson() const {
    return R"({"name":"r","host":"h)" + std::to_string(host) +
           R"(","prefix":")" + Prefix() +
           R"(","kind":"readonly","service":"s","timeoutMs":)" +
           std::to_string(timeout_ms) + "}";
  }
};

std::string ToText(std::size_t version,
                   const std::vector<RouteChoice>& choices) {
  std::vector<std::string> items;
  std::ranges::transform(choices, std::back_inserter(items),
                         &RouteChoice::ToJson);
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         boost::algorithm::join(items, ",") + R"(],"services":[{"name":"s"}]})";
}

std::shared_ptr<const routing::RouteTable> Read(
    const std::string& text, const routing::Configuration& known) {
  return TryOr(
      [&]() -> Result<std::shared_ptr<const routing::RouteTable>> {
        BOOST_LEAF_AUTO(configuration,
                        WireDialect().ParseConfiguration(text, known));
        return routing::RouteTable::Build(std::move(configuration));
      },
      [](const Error&) {
        return std::shared_ptr<const routing::RouteTable>();
      });
}

RouteChoice AnyRoute() {
  return {*rc::gen::inRange(0, 3), *rc::gen::inRange(0, 4),
          *rc::gen::inRange(1, 4)};
}

// Inserts, removes, replaces or swaps a route.
void ChangeOne(std::vector<RouteChoice>& choices) {
  const auto position = static_cast<std::ptrdiff_t>(
      *rc::gen::inRange<std::size_t>(0, choices.size() + 1));
  const int action = *rc::gen::inRange(0, 4);
  const bool exists = position < std::ssize(choices);
  if (action == 0 || !exists) {
    choices.insert(choices.begin() + position, AnyRoute());
  } else if (action == 1) {
    choices.erase(choices.begin() + position);
  } else if (action == 2) {
    choices[static_cast<std::size_t>(position)] = AnyRoute();
  } else {
    std::swap(choices.front(), choices[static_cast<std::size_t>(position)]);
  }
}

// The first of the routes with the longest prefix.
const RouteChoice* Expected(const std::vector<RouteChoice>& choices, int host,
                            const std::string& path) {
  const RouteChoice* best = nullptr;
  for (const RouteChoice& choice : choices) {
    const bool matches =
        choice.host == host && path.starts_with(choice.Prefix());
    if (matches && (best == nullptr || choice.depth > best->depth)) {
      best = &choice;
    }
  }
  return best;
}

// Guards against a table that has routes of an earlier version, or lacks some
// of its own.
RC_GTEST_PROP(ConfigurationVersionsTest, GiveTheTableOfTheNewest, ()) {
  std::vector<RouteChoice> choices;
  auto table = Read(ToText(1, choices), {});
  RC_ASSERT(table != nullptr);
  const int versions = *rc::gen::inRange(1, 6);
  for (int i = 0; i < versions; ++i) {
    // Versions in between may be lost.
    const int changes = *rc::gen::inRange(0, 6);
    for (int change = 0; change < changes; ++change) ChangeOne(choices);
    const std::string text = ToText(static_cast<std::size_t>(i) + 2, choices);
    table = Read(text, table->configuration());
    RC_ASSERT(table != nullptr);
    const auto& routes = table->configuration().routes;
    RC_ASSERT(routes.size() == choices.size());
    for (std::size_t j = 0; j < choices.size(); ++j) {
      RC_ASSERT(routes[j].route->prefix == choices[j].Prefix());
      RC_ASSERT(routes[j].route->timeout ==
                std::chrono::milliseconds(choices[j].timeout_ms));
    }
    const int host = *rc::gen::inRange(0, 4);
    const auto path = *rc::gen::elementOf(std::vector<std::string>{
        "/", "/p", "/p/", "/p/p/x", "/p/p/p/p/p/", "/x/p/", "//", "x", ""});
    const routing::Route* found =
        table->FindRoute("h" + std::to_string(host), path);
    const RouteChoice* expected = Expected(choices, host, path);
    RC_ASSERT((found == nullptr) == (expected == nullptr));
    if (found != nullptr) {
      RC_ASSERT(found->prefix == expected->Prefix());
      RC_ASSERT(found->timeout ==
                std::chrono::milliseconds(expected->timeout_ms));
    }
  }
}

}  // namespace
}  // namespace balsam::platform
