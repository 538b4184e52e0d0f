// The search for an engine that has room for one generation. What is known of
// engines is old where many gateways choose, so the keepers of a few engines'
// books are asked first, and the best of those that have room is taken.
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

  // `context` outlives this.
  explicit EngineSearch(GatewayContext& context) : context_(context) {}

  // The engine, if it is found without asking. Else it is being looked for
  // while `asking` holds, and there is no room if it does not. `engine` and
  // `demand` outlive the search.
  std::optional<Choice> Begin(const routing::EngineTraits& engine,
                              const dispatch::Demand& demand);
  bool asking() const { return asking_; }
  // Rounds of questions of this search, or of the last one.
  int rounds() const { return rounds_; }

  // A search that asked has ended; nothing if no engine has room.
  std::function<void(const std::optional<Choice>& choice)> on_ended;

 private:
  std::optional<Choice> Ask();
  void OnLoadsKnown(const std::vector<Choice>& candidates,
                    const std::set<std::uint32_t>& untold);
  std::optional<Choice> Best(const std::vector<Choice>& candidates);

  GatewayContext& context_;
  // Null until the first search.
  const routing::EngineTraits* engine_ = nullptr;
  const dispatch::Demand* demand_ = nullptr;
  bool asking_ = false;
  int rounds_ = 0;
  // Engines that nobody told of in any round: better than none.
  std::vector<Choice> untold_;
  // No search begins before.
  BootTime begins_again_;
};

}  // namespace balsam::gateway
