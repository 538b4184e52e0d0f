// Which clients lose their place, without a network: crowds of half-sent and
// slow requests against ordinary ones.
#include "libraries/intake/client_account.h"

#include <gtest/gtest.h>

#include <functional>
#include <list>
#include <vector>

namespace balsam::intake {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMegabyte = std::size_t{1} << 20;
constexpr std::size_t kOrdinary = 4 << 10;

struct Client {
  Holding* holding = nullptr;
  // Sent to a server, where it may run.
  bool is_sent = false;
};

class ClientAccountTest : public testing::Test {
 protected:
  Client* Add(Stage stage, std::size_t bytes, bool is_sent = false) {
    clients_.push_back({nullptr, is_sent});
    Client* client = &clients_.back();
    client->holding = &account_.Add(client, now_);
    account_.Enter(*client->holding, Stage::kReceiving, now_);
    account_.Enter(*client->holding, stage, now_);
    account_.Resize(*client->holding, bytes);
    return client;
  }

  // Refuses until the limit is kept, and returns whom.
  std::vector<Client*> Refuse() {
    std::vector<Client*> refused;
    while (Client* client = account_.NextToRefuse(
               now_, [](const Client* c) { return !c->is_sent; })) {
      account_.Remove(client);
      refused.push_back(client);
    }
    return refused;
  }

  ClientAccount<Client> account_{Limits{12 * kMegabyte, 4}};
  std::list<Client> clients_;
  BootTime now_{seconds(100)};
};

TEST_F(ClientAccountTest, CrowdOfHalfSentBodiesLeavesOrdinaryRequestsAlone) {
  Client* early = Add(Stage::kReceiving, kOrdinary);
  for (int i = 0; i < 40; ++i) Add(Stage::kReceiving, kMegabyte);
  now_ += seconds(5);
  Client* late = Add(Stage::kReceiving, kOrdinary);
  const auto refused = Refuse();
  EXPECT_EQ(refused.size(), 31U);
  EXPECT_EQ(std::ranges::count(refused, early), 0);
  EXPECT_EQ(std::ranges::count(refused, late), 0);
  EXPECT_EQ(account_.bytes(), 9 * kMegabyte + 2 * kOrdinary);
}

TEST_F(ClientAccountTest, SlowSenderLosesItsPlaceBeforeOneThatBeganLater) {
  Client* slow = Add(Stage::kReceiving, 4 * kMegabyte);
  now_ += seconds(3);
  Add(Stage::kReceiving, 4 * kMegabyte);
  account_.OnReceived(*slow->holding, now_);
  EXPECT_TRUE(Refuse().empty());
  Add(Stage::kReceiving, 2 * kMegabyte);
  EXPECT_EQ(Refuse(), std::vector{slow});
}

TEST_F(ClientAccountTest, IncompleteRequestsAreRefusedBeforeCompleteOnes) {
  Add(Stage::kServing, 6 * kMegabyte);
  now_ += seconds(3);
  Client* incomplete = Add(Stage::kReceiving, 4 * kMegabyte);
  EXPECT_EQ(Refuse(), std::vector{incomplete});
}

TEST_F(ClientAccountTest, WhatWasSentToAServerIsNeverRefused) {
  for (int i = 0; i < 9; ++i) Add(Stage::kServing, kMegabyte, true);
  Client* waiting = Add(Stage::kServing, kMegabyte);
  Client* small = Add(Stage::kServing, kOrdinary);
  EXPECT_EQ(Refuse(), std::vector{waiting});
  // What is left to refuse is small, and the reserve is there for it.
  for (int i = 0; i < 2; ++i) Add(Stage::kServing, kMegabyte, true);
  EXPECT_TRUE(Refuse().empty());
  Add(Stage::kServing, kMegabyte, true);
  EXPECT_EQ(Refuse(), std::vector{small});
}

TEST_F(ClientAccountTest, CrowdOfSmallRequestsLosesItsOldest) {
  std::vector<Client*> crowd;
  for (int i = 0; i < 400; ++i) {
    crowd.push_back(Add(Stage::kReceiving, 32 << 10));
    now_ += milliseconds(1);
  }
  Client* ordinary = Add(Stage::kReceiving, kOrdinary);
  const auto refused = Refuse();
  ASSERT_EQ(refused.size(), 17U);
  EXPECT_EQ(refused.front(), crowd.front());
  EXPECT_EQ(std::ranges::count(refused, ordinary), 0);
}

TEST_F(ClientAccountTest, ConnectionsWithoutACompleteRequestAreClosedFirst) {
  Add(Stage::kServing, kOrdinary, true);
  Client* stalled = Add(Stage::kReceiving, kOrdinary);
  Client* sending = Add(Stage::kReceiving, kOrdinary);
  now_ += seconds(1);
  account_.OnReceived(*sending->holding, now_);
  Client* idle = Add(Stage::kIdle, 0);
  EXPECT_EQ(account_.NextToClose(), nullptr);
  now_ += seconds(1);
  Add(Stage::kIdle, 0);
  for (Client* expected : {idle, &clients_.back(), stalled, sending}) {
    EXPECT_EQ(account_.NextToClose(), expected);
    account_.Remove(expected);
    Add(Stage::kServing, kOrdinary, true);
  }
  EXPECT_EQ(account_.NextToClose(), nullptr);
}

TEST_F(ClientAccountTest, OneRequestOfTheLargestSizeFitsTheSmallestMachine) {
  account_.SetLimits(Limits::ForMachine(88 * kMegabyte, 3900));
  // A body of 4 MiB in a buffer that has grown to twice that, and a head of
  // 4,000 short lines.
  Add(Stage::kReceiving, 8 * kMegabyte + kMegabyte / 2);
  EXPECT_TRUE(Refuse().empty());
}

}  // namespace
}  // namespace balsam::intake
