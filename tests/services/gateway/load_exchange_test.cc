// Gateways that send each other load updates and queries without a network:
// datagrams are delivered in memory, or lost.
#include "services/gateway/load_exchange.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <ranges>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "platform/wire_dialect.h"
#include "tests/services/gateway/event_loop.h"

namespace balsam::gateway {
namespace {

using std::chrono::milliseconds;

constexpr char kEngine[] = "i-1";
constexpr std::size_t kGateways = 8;

class LoadExchangeTest : public testing::Test {
 protected:
  struct Gateway {
    Gateway(const std::string& ip, LoadExchange::Send send)
        : context(dialect, {}, {0.2, 50.0, milliseconds(10000)}, 1),
          peers(ip, {}, 1),
          loads(ip, context, peers, std::move(send)) {}
    platform::WireDialect dialect;
    GatewayContext context;
    gossip::PeerTable peers;
    LoadExchange loads;
  };

  LoadExchangeTest() {
    for (std::size_t i = 0; i < kGateways; ++i) {
      const std::string ip = "10.0.0." + std::to_string(i + 1);
      gateways_.emplace(ip, std::make_unique<Gateway>(
                                ip, [this, ip](const std::string& to,
                                               const std::string& bytes) {
                                  Deliver(ip, to, bytes);
                                }));
    }
    for (auto& [ip, gateway] : gateways_) {
      for (const auto& [other, unused] : gateways_) AddPeer(*gateway, other, 1);
      gateway->loads.OnGossipRound();
    }
  }

  static void AddPeer(Gateway& gateway, const std::string& ip,
                      std::uint64_t incarnation) {
    gossip::Digest digest;
    digest.incarnation = incarnation;
    digest.sequence = 1;
    gateway.peers.OnDigest(ip, digest, BootClock::now());
  }

  void Deliver(const std::string& from, const std::string& to,
               const std::string& bytes) {
    if (unreachable_.contains(to) || unreachable_.contains(from)) return;
    const auto message = TryOr(
        [&]() -> Result<std::optional<gossip::Message>> {
          BOOST_LEAF_AUTO(decoded, gossip::Decode(bytes));
          return std::optional(decoded);
        },
        [](const Error&) { return std::optional<gossip::Message>(); });
    ASSERT_TRUE(message.has_value());
    LoadExchange& loads = gateways_.at(to)->loads;
    std::visit(
        [&](const auto& body) {
          // Digests and permits are handled elsewhere.
          if constexpr (requires { loads.OnMessage(body, from); }) {
            loads.OnMessage(body, from);
          }
        },
        *message);
  }

  // The engine's primary and backup aggregator; every gateway ranks them alike.
  membership::AggregatorAssignment::AggregatorPair EngineAggregators() {
    std::vector<std::string> ips;
    std::ranges::copy(gateways_ | std::views::keys, std::back_inserter(ips));
    membership::AggregatorAssignment aggregators;
    aggregators.SetMembers(std::move(ips));
    return aggregators.AggregatorsOf(dispatch::ServerKey(kEngine));
  }
  // The gateways that do not aggregate the engine's load.
  std::vector<Gateway*> NonAggregators() {
    const auto pair = EngineAggregators();
    std::vector<Gateway*> others;
    for (auto& [ip, gateway] : gateways_) {
      if (ip != pair[0] && ip != pair[1]) others.push_back(gateway.get());
    }
    return others;
  }

  static void StartRequest(Gateway& gateway) {
    dispatch::Demand demand;
    demand.prompt_tokens = 3200;
    gateway.context.selector.OnStart(kEngine, demand);
    gateway.context.send_load();
  }
  static std::int64_t KnownRequests(Gateway& gateway) {
    return gateway.context.selector.UsageOf(kEngine, BootClock::now()).requests;
  }

  // Returns the servers that remain unresolved; nothing if no reply has arrived
  // yet.
  std::optional<std::set<std::uint32_t>> QueryLoads(Gateway& gateway) {
    unresolved_.reset();
    EXPECT_TRUE(gateway.context.query_loads(
        {kEngine}, [this](const std::set<std::uint32_t>& unresolved) {
          unresolved_ = unresolved;
        }));
    return unresolved_;
  }

  std::map<std::string, std::unique_ptr<Gateway>> gateways_;
  // Gateways whose datagrams are lost in both directions.
  std::set<std::string> unreachable_;
  std::optional<std::set<std::uint32_t>> unresolved_;
};

TEST_F(LoadExchangeTest, QueryReturnsLoadOfAllOthers) {
  const auto non_aggregators = NonAggregators();
  StartRequest(*non_aggregators[0]);
  StartRequest(*non_aggregators[0]);
  StartRequest(*non_aggregators[1]);
  Gateway& querier = *non_aggregators[2];
  EXPECT_EQ(KnownRequests(querier), 0);
  EXPECT_EQ(QueryLoads(querier), std::set<std::uint32_t>());
  EXPECT_EQ(KnownRequests(querier), 3);
  // Its own requests are not sent back to it, and count once.
  StartRequest(querier);
  EXPECT_EQ(QueryLoads(querier), std::set<std::uint32_t>());
  EXPECT_EQ(KnownRequests(querier), 4);
}

TEST_F(LoadExchangeTest, AggregatorsDoNotQuery) {
  const auto aggregators = EngineAggregators();
  StartRequest(*NonAggregators()[0]);
  for (const std::string& aggregator : aggregators) {
    Gateway& gateway = *gateways_.at(aggregator);
    EXPECT_FALSE(gateway.context.query_loads(
        {kEngine}, [](const std::set<std::uint32_t>&) { FAIL(); }));
    EXPECT_EQ(KnownRequests(gateway), 1);
  }
}

// Scenario: a fifth of the gateways lose power at the same moment.
TEST_F(LoadExchangeTest, BackupAggregatorRepliesForPrimary) {
  const auto non_aggregators = NonAggregators();
  StartRequest(*non_aggregators[0]);
  unreachable_.insert(EngineAggregators()[0]);
  Gateway& querier = *non_aggregators[1];
  EXPECT_FALSE(QueryLoads(querier).has_value());
  ASSERT_TRUE(RunUntil([this] { return unresolved_.has_value(); }));
  EXPECT_EQ(unresolved_->size(), 1U);
  EXPECT_EQ(QueryLoads(querier), std::set<std::uint32_t>());
  EXPECT_EQ(KnownRequests(querier), 1);
}

// What a gateway ran ended with its process.
TEST_F(LoadExchangeTest, LoadOfLostGatewayIsForgotten) {
  const auto non_aggregators = NonAggregators();
  StartRequest(*non_aggregators[0]);
  const auto aggregators = EngineAggregators();
  for (const std::string& aggregator : aggregators) {
    for (const auto& [ip, gateway] : gateways_) {
      if (gateway.get() == non_aggregators[0]) {
        gateways_.at(aggregator)->loads.ForgetPeer(ip);
      }
    }
  }
  EXPECT_EQ(QueryLoads(*non_aggregators[1]), std::set<std::uint32_t>());
  EXPECT_EQ(KnownRequests(*non_aggregators[1]), 0);
}

}  // namespace
}  // namespace balsam::gateway
