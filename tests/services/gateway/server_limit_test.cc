// A server in need names the requests a second that it takes from all gateways
// together; of a cold one, its service's configuration says it.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>

#include "tests/services/gateway/gateway_node_fixture.h"

namespace balsam::gateway {
namespace {

class ServerLimitTest : public GatewayNodeTest {
 protected:
  static constexpr double kLimit = 4.0;

  void SetUp() override {
    GatewayNodeTest::SetUp();
    first_.on_request = [](const auto& request) {
      Reply(request, "Server-Limit: " + std::to_string(kLimit) + "\r\n");
    };
  }

  // What the platform allows a server that gets requests for this long: half
  // more than its limit in any four seconds, and five requests.
  static double Allowed(std::chrono::duration<double> time) {
    constexpr double kExcess = 1.5;
    constexpr double kSlack = 5.0;
    return kExcess * kLimit * std::max(time.count(), 4.0) + kSlack;
  }
};

// Guards against a server in need that gets all that it looks idle enough for.
TEST_F(ServerLimitTest, LimitedServerGetsNoMoreThanItsLimit) {
  Publish({&first_, &second_});
  const BootTime start = BootClock::now();
  for (int i = 0; i < 200; ++i) EXPECT_EQ(RequestStatus(), 200);
  EXPECT_LE(static_cast<double>(Requests(first_)),
            Allowed(BootClock::now() - start));
  EXPECT_GE(Requests(first_), 1U);
}

TEST_F(ServerLimitTest, ServerGetsItsShareAgainWhenItNamesNoLimit) {
  Publish({&first_, &second_});
  for (int i = 0; i < 50; ++i) EXPECT_EQ(RequestStatus(), 200);
  const std::size_t limited = Requests(first_);
  first_.on_request = [](const auto& request) { Reply(request, ""); };
  // The next permit brings the response that ends the limit.
  ASSERT_TRUE(RunUntil([&] {
    EXPECT_EQ(RequestStatus(), 200);
    return Requests(first_) > limited;
  }));
  const std::size_t ended = Requests(first_);
  for (int i = 0; i < 200; ++i) EXPECT_EQ(RequestStatus(), 200);
  EXPECT_GT(Requests(first_) - ended, 40U);
}

// Guards against repeats that reach a limited server without a permit: the
// other server fails all requests, and each may be sent twice.
TEST_F(ServerLimitTest, RepeatsKeepToLimit) {
  attempts_ = 2;
  Publish({&first_, &second_});
  second_.on_request = [](const auto& request) {
    Reply(request, "", "500 Internal Server Error");
  };
  const BootTime start = BootClock::now();
  for (int i = 0; i < 200; ++i) {
    const int status = RequestStatus();
    EXPECT_TRUE(status == 200 || status == 500) << status;
  }
  EXPECT_LE(static_cast<double>(Requests(first_)),
            Allowed(BootClock::now() - start));
}

// Known to be unservable: all servers are at their limits for longer than the
// request would wait.
TEST_F(ServerLimitTest, RejectsAtOnceIfAllServersAreAtTheirLimits) {
  objective_ = std::chrono::milliseconds(10);
  Publish({&first_});
  std::string head;
  for (int i = 0; i < 20 && !head.starts_with("HTTP/1.1 503"); ++i) {
    head = SendRequest();
  }
  EXPECT_TRUE(head.starts_with("HTTP/1.1 503")) << head;
  EXPECT_NE(head.find("Retry-After"), std::string::npos) << head;
}

class ColdServerTest : public GatewayNodeTest {
 protected:
  static constexpr double kColdRate = 10.0;
  static constexpr std::chrono::milliseconds kThroughout{600'000};

  // Publishes one server that announces this of its cold, and sends requests
  // that do not wait; returns the share of them that it got, and expects that
  // it got no more than it bears if its service says how much.
  double FloodColdServer(bool has_rate, std::chrono::milliseconds cold_left) {
    objective_ = std::chrono::milliseconds(10);
    auto configuration = ConfigurationEntry(1, true);
    auto server = EntryOf(0, first_, 1);
    if (has_rate) {
      auto text = nlohmann::json::parse(*configuration.value);
      text["services"][0]["coldPerS"] = kColdRate;
      configuration.value = text.dump();
    }
    auto text = nlohmann::json::parse(*server.value);
    text["coldLeftMs"] = cold_left.count();
    server.value = text.dump();
    node_->OnStoreSnapshot({configuration, server}, revision_);
    constexpr int kRequests = 300;
    const BootTime start = BootClock::now();
    for (int i = 0; i < kRequests; ++i) {
      const int status = RequestStatus();
      EXPECT_TRUE(status == 200 || (has_rate && status == 503)) << status;
    }
    const std::chrono::duration<double> time = BootClock::now() - start;
    const auto requests = static_cast<double>(Requests(first_));
    // Platform: in any second half more than the rate, and five.
    if (has_rate) {
      EXPECT_LE(requests, 1.5 * kColdRate * std::max(time.count(), 1.0) + 5.0);
    }
    return requests / kRequests;
  }
};

// Guards against a server that crashes since all requests reach it at once when
// it is taken back.
TEST_F(ColdServerTest, ColdServerGetsNoMoreThanItBears) {
  EXPECT_LT(FloodColdServer(true, kThroughout), 1.0);
  const std::size_t before = Requests(first_);
  // It gets its share of what comes later.
  EXPECT_TRUE(RunUntil([&] {
    RequestStatus();
    return Requests(first_) > before;
  }));
}

// Its announcement is older than what it responds.
TEST_F(ColdServerTest, ServerThatTurnsColdSaysSoItself) {
  first_.on_request = [](const auto& request) {
    Reply(request, "Cold-Ms: " + std::to_string(kThroughout.count()) + "\r\n");
  };
  EXPECT_LT(FloodColdServer(true, std::chrono::milliseconds(0)), 1.0);
}

TEST_F(ColdServerTest, WithoutARateAColdServerGetsAll) {
  EXPECT_EQ(FloodColdServer(false, kThroughout), 1.0);
}

}  // namespace
}  // namespace balsam::gateway
