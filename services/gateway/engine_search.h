// Searches for an engine with capacity for one generation. With many gateways
// dispatching at once, the locally known loads are outdated. The search
// therefore first queries the aggregators of a few candidate engines and takes
// the best one that has capacity.
#pragma once

#include <QObject>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <vector>

#include "services/gateway/gateway_context.h"

namespace balsam::gateway {

class EngineSearch : public QObject {
 public:
  using Choice = dispatch::ServerSelector::Choice;

  // `context` must outlive the search.
  explicit EngineSearch(GatewayContext& context) : context_(context) {}

  // Returns the engine if one is found without a query. Otherwise the search
  // continues while `is_querying` is true; if it is false, no engine has
  // capacity. `engine` and `demand` must outlive the search.
  std::optional<Choice> Start(const routing::EngineTraits& engine,
                              const dispatch::Demand& demand);
  bool is_querying() const { return querying_; }
  // Query rounds of the current or the last search.
  int rounds() const { return rounds_; }

  // Called when a search that sent queries ends; without a choice if no engine
  // has capacity.
  std::function<void(const std::optional<Choice>& choice)> on_ended;

 private:
  std::optional<Choice> QueryNextRound();
  void OnLoadQueryDone(const std::vector<Choice>& candidates,
                       const std::set<std::uint32_t>& unresolved);
  std::optional<Choice> SelectBest(const std::vector<Choice>& candidates);

  GatewayContext& context_;
  // Null until the first search.
  const routing::EngineTraits* engine_ = nullptr;
  const dispatch::Demand* demand_ = nullptr;
  bool querying_ = false;
  int rounds_ = 0;
  // Engines whose load no aggregator reported in any round; used only as a last
  // resort.
  std::vector<Choice> unresolved_;
  // The next search may not start before this time.
  BootTime next_search_time_;
};

}  // namespace balsam::gateway
