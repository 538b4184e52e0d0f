// Gateways that tell and ask each other of loads, without a network: datagrams
// are handed over in memory, or lost.
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
      for (const auto& [other, unused] : gateways_) Hear(*gateway, other, 1);
      gateway->loads.OnRound();
    }
  }

  static void Hear(Gateway& gateway, const std::string& ip,
                   std::uint64_t incarnation) {
    gossip::Digest digest;
    digest.incarnation = incarnation;
    digest.sequence = 1;
    gateway.peers.OnDigest(ip, digest, BootClock::now());
  }

  void Deliver(const std::string& from, const std::string& to,
               const std::string& bytes) {
    if (silent_.contains(to) || silent_.contains(from)) return;
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
          if constexpr (!std::is_same_v<std::decay_t<decltype(body)>,
                                        gossip::Digest>) {
            loads.OnMessage(body, from);
          }
        },
        *message);
  }

  // By rank, as every gateway sees it.
  membership::AggregatorAssignment::AggregatorPair KeepersOfEngine() {
    std::vector<std::string> ips;
    std::ranges::copy(gateways_ | std::views::keys, std::back_inserter(ips));
    membership::AggregatorAssignment keepers;
    keepers.SetMembers(std::move(ips));
    return keepers.AggregatorsOf(dispatch::ServerKey(kEngine));
  }
  // Some gateways that do not keep the engine's book.
  std::vector<Gateway*> Others() {
    const auto keepers = KeepersOfEngine();
    std::vector<Gateway*> others;
    for (auto& [ip, gateway] : gateways_) {
      if (ip != keepers[0] && ip != keepers[1]) others.push_back(gateway.get());
    }
    return others;
  }

  static void Run(Gateway& gateway) {
    dispatch::Demand demand;
    demand.prompt_tokens = 3200;
    gateway.context.selector.OnStart(kEngine, demand);
    gateway.context.tell_load();
  }
  static std::int64_t RequestsSeenBy(Gateway& gateway) {
    return gateway.context.selector.UsageOf(kEngine, BootClock::now()).requests;
  }

  // The servers that stay untold; nothing if nobody has answered yet.
  std::optional<std::set<std::uint32_t>> Ask(Gateway& gateway) {
    untold_.reset();
    EXPECT_TRUE(gateway.context.ask_loads(
        {kEngine},
        [this](const std::set<std::uint32_t>& untold) { untold_ = untold; }));
    return untold_;
  }

  std::map<std::string, std::unique_ptr<Gateway>> gateways_;
  // Gateways that neither hear nor are heard.
  std::set<std::string> silent_;
  std::optional<std::set<std::uint32_t>> untold_;
};

TEST_F(LoadExchangeTest, WhoAsksKnowsWhatAllOthersRun) {
  const auto others = Others();
  Run(*others[0]);
  Run(*others[0]);
  Run(*others[1]);
  Gateway& asker = *others[2];
  EXPECT_EQ(RequestsSeenBy(asker), 0);
  EXPECT_EQ(Ask(asker), std::set<std::uint32_t>());
  EXPECT_EQ(RequestsSeenBy(asker), 3);
  // Its own are not told to it, and count once.
  Run(asker);
  EXPECT_EQ(Ask(asker), std::set<std::uint32_t>());
  EXPECT_EQ(RequestsSeenBy(asker), 4);
}

TEST_F(LoadExchangeTest, KeepersAskNobody) {
  const auto keepers = KeepersOfEngine();
  Run(*Others()[0]);
  for (const std::string& keeper : keepers) {
    Gateway& gateway = *gateways_.at(keeper);
    EXPECT_FALSE(gateway.context.ask_loads(
        {kEngine}, [](const std::set<std::uint32_t>&) { FAIL(); }));
    EXPECT_EQ(RequestsSeenBy(gateway), 1);
  }
}

// Load: a fifth of the gateways lose power at one moment.
TEST_F(LoadExchangeTest, TheSecondKeeperAnswersForTheFirst) {
  const auto others = Others();
  Run(*others[0]);
  silent_.insert(KeepersOfEngine()[0]);
  Gateway& asker = *others[1];
  EXPECT_FALSE(Ask(asker).has_value());
  ASSERT_TRUE(RunUntil([this] { return untold_.has_value(); }));
  EXPECT_EQ(untold_->size(), 1U);
  EXPECT_EQ(Ask(asker), std::set<std::uint32_t>());
  EXPECT_EQ(RequestsSeenBy(asker), 1);
}

// What a gateway ran ended with its process.
TEST_F(LoadExchangeTest, WhatALostGatewayRanIsForgotten) {
  const auto others = Others();
  Run(*others[0]);
  const auto keepers = KeepersOfEngine();
  for (const std::string& keeper : keepers) {
    for (const auto& [ip, gateway] : gateways_) {
      if (gateway.get() == others[0]) {
        gateways_.at(keeper)->loads.Forget(ip);
      }
    }
  }
  EXPECT_EQ(Ask(*others[1]), std::set<std::uint32_t>());
  EXPECT_EQ(RequestsSeenBy(*others[1]), 0);
}

}  // namespace
}  // namespace balsam::gateway
