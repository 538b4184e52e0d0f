// A gateway's context with engines whose books others keep, and a test that
// answers for the keepers.
#pragma once

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "platform/wire_dialect.h"
#include "services/gateway/gateway_context.h"

namespace balsam::gateway {

class EngineBooksFixture : public testing::Test {
 protected:
  static constexpr int kEngines = 12;

  EngineBooksFixture()
      : context_(dialect_, {}, {0.2, 50.0, std::chrono::milliseconds(10000)},
                 1) {
    engine_.slots = 8;
    engine_.memory_tokens = 10000;
    demand_.service = "s";
    demand_.prompt_tokens = 1000;
    demand_.output_tokens = 100;
    for (int i = 0; i < kEngines; ++i) {
      directory::BackendServer server;
      server.id = "i-" + std::to_string(i);
      server.service = "s";
      server.endpoint = {"10.0.0.1", 80};
      server.slots = 8;
      context_.directory.OnAnnounced(server, BootClock::now());
    }
    context_.ask_loads = [this](const std::vector<std::string>& ids,
                                OnLoadsKnown on_known) {
      asked_.push_back(ids);
      on_known_ = std::move(on_known);
      return must_ask_;
    };
  }

  // A keeper tells that others fill the engine.
  void TellFull(const std::string& id) {
    context_.selector.reports().SetTotal(dispatch::ServerKey(id), {8, 9000, 0},
                                         BootClock::now());
  }
  void TellIdle(const std::string& id) {
    context_.selector.reports().SetTotal(dispatch::ServerKey(id), {},
                                         BootClock::now());
  }
  // The last question is over, and nobody told of these.
  void EndQuestion(const std::vector<std::string>& untold = {}) {
    std::set<std::uint32_t> keys;
    for (const std::string& id : untold) keys.insert(dispatch::ServerKey(id));
    // It may ask again.
    const OnLoadsKnown on_known = std::exchange(on_known_, nullptr);
    on_known(keys);
  }

  platform::WireDialect dialect_;
  GatewayContext context_;
  routing::EngineTraits engine_;
  dispatch::Demand demand_;
  bool must_ask_ = true;
  std::vector<std::vector<std::string>> asked_;
  OnLoadsKnown on_known_;
};

}  // namespace balsam::gateway
