// Searches for a server with capacity for one request. With many gateways
// dispatching at once, the locally known loads are outdated. The search
// therefore first queries the aggregators of a few candidate engines and takes
// the best one that has capacity. A server that names a limit is taken only
// with a permit.
#pragma once

#include <QObject>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <vector>

#include "services/gateway/gateway_context.h"

namespace balsam::gateway {

class ServerSearch : public QObject {
 public:
  using Choice = dispatch::ServerSelector::Choice;
  enum class Mode {
    // By the known loads.
    kKnownLoads,
    // The loads of engines are queried first.
    kQueriedLoads,
  };

  // `context` must outlive the search.
  explicit ServerSearch(GatewayContext& context) : context_(context) {}

  // Returns the server if one is found without asking another gateway.
  // Otherwise the search continues while `is_querying` is true; if it is false,
  // no server has capacity. `engine` is null for plain services; it and
  // `demand` must outlive the search.
  std::optional<Choice> Start(const routing::EngineTraits* engine,
                              const dispatch::Demand& demand, Mode mode);
  bool is_querying() const { return querying_; }
  // Query rounds of the current or the last search.
  int rounds() const { return rounds_; }

  // Called when a search that asked other gateways ends; without a choice if no
  // server has capacity.
  std::function<void(const std::optional<Choice>& choice)> on_ended;

 private:
  // Asks for a permit for `choice`, or for the next ones if it is denied or
  // unset. Returns the first with a permit.
  std::optional<Choice> FindPermitted(std::optional<Choice> choice);
  std::optional<Choice> FindNext();
  std::optional<Choice> QueryNextRound();
  void OnLoadQueryDone(const std::vector<Choice>& candidates,
                       const std::set<std::uint32_t>& unresolved);
  PermitResult RequestPermit(const Choice& choice);
  // Ends the search, or continues it without `choice`.
  void Continue(std::optional<Choice> choice);
  std::optional<Choice> SelectBest(const std::vector<Choice>& candidates);

  GatewayContext& context_;
  Mode mode_ = Mode::kKnownLoads;
  // Null for plain services, and until the first search.
  const routing::EngineTraits* engine_ = nullptr;
  const dispatch::Demand* demand_ = nullptr;
  // Another gateway is being asked, for loads or for a permit.
  bool querying_ = false;
  int rounds_ = 0;
  // Engines whose load no aggregator reported in any round; used only as a last
  // resort.
  std::vector<Choice> unresolved_;
  // The next search that queries loads may not start before this time.
  BootTime next_search_time_;
};

}  // namespace balsam::gateway
