// A gateway's context with engines whose load is aggregated elsewhere; the test
// replies for the aggregators.
#pragma once

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "platform/wire_dialect.h"
#include "services/gateway/gateway_context.h"

namespace balsam::gateway {

class EngineLoadFixture : public testing::Test {
 protected:
  static constexpr int kEngines = 12;

  EngineLoadFixture()
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
    context_.query_loads = [this](const std::vector<std::string>& ids,
                                  LoadQueryCallback on_done) {
      queried_.push_back(ids);
      on_done_ = std::move(on_done);
      return must_query_;
    };
  }

  // An aggregator reports that other gateways fill the engine.
  void ReportFull(const std::string& id) {
    context_.selector.reports().SetTotal(dispatch::ServerKey(id), {8, 9000, 0},
                                         BootClock::now());
  }
  void ReportIdle(const std::string& id) {
    context_.selector.reports().SetTotal(dispatch::ServerKey(id), {},
                                         BootClock::now());
  }
  // Finishes the last query; the servers `ids` remain unresolved.
  void FinishQuery(const std::vector<std::string>& ids = {}) {
    std::set<std::uint32_t> keys;
    for (const std::string& id : ids) keys.insert(dispatch::ServerKey(id));
    // The callback may start another query.
    const LoadQueryCallback on_done = std::exchange(on_done_, nullptr);
    on_done(keys);
  }

  platform::WireDialect dialect_;
  GatewayContext context_;
  routing::EngineTraits engine_;
  dispatch::Demand demand_;
  bool must_query_ = true;
  std::vector<std::vector<std::string>> queried_;
  LoadQueryCallback on_done_;
};

}  // namespace balsam::gateway
