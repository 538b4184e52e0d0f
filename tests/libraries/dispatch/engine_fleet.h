// A service with identical engines for load tests in virtual time.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/boot_clock.h"
#include "libraries/directory/backend_directory.h"
#include "libraries/dispatch/server_selector.h"
#include "libraries/routing/configuration.h"

namespace balsam::dispatch {

class EngineFleet {
 public:
  // Creates engines "i-0", "i-1" and so on.
  EngineFleet(std::size_t engines, BootTime now) {
    traits_.slots = 24;
    traits_.memory_tokens = 21853;
    for (std::size_t i = 0; i < engines; ++i) {
      directory::BackendServer engine;
      engine.id = "i-" + std::to_string(i);
      engine.service = "llm";
      engine.endpoint = {"10.0.0.1", 80};
      engine.slots = traits_.slots;
      engines_.push_back(engine);
      Announce(i, false, now);
    }
  }

  void Announce(std::size_t engine, bool leaving, BootTime now) {
    engines_.at(engine).leaving = leaving;
    directory_.OnAnnounced(engines_.at(engine), now);
  }

  static Demand Generation(std::int64_t prompt, std::int64_t output) {
    Demand demand;
    demand.service = "llm";
    demand.prompt_tokens = prompt;
    demand.output_tokens = output;
    return demand;
  }

  std::optional<ServerSelector::Choice> Select(ServerSelector& selector,
                                               const Demand& demand,
                                               BootTime now) const {
    return selector.Select(directory_, &traits_, demand, now);
  }

  std::vector<ServerSelector::Choice> Candidates(ServerSelector& selector,
                                                 const Demand& demand,
                                                 std::size_t max_count,
                                                 BootTime now) const {
    return selector.Candidates(directory_, &traits_, demand, max_count, now);
  }
  std::optional<ServerSelector::Choice> SelectAmong(
      ServerSelector& selector,
      const std::vector<ServerSelector::Choice>& candidates,
      const Demand& demand, BootTime now) const {
    return selector.SelectAmong(candidates, directory_, &traits_, demand, now);
  }

  const std::string& id(std::size_t engine) const {
    return engines_.at(engine).id;
  }
  std::size_t size() const { return engines_.size(); }
  const routing::EngineTraits& traits() const { return traits_; }

 private:
  routing::EngineTraits traits_;
  std::vector<directory::BackendServer> engines_;
  directory::BackendDirectory directory_{{}};
};

}  // namespace balsam::dispatch
