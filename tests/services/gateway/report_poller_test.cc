// What polled engines report, and how failed polls are handled.
#include "services/gateway/report_poller.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "libraries/membership/rendezvous.h"
#include "tests/services/gateway/exchange_fixture.h"

namespace balsam::gateway {
namespace {

using std::chrono::milliseconds;

constexpr char kOwnIp[] = "127.0.0.1";

class ReportPollerTest : public testing::Test {
 protected:
  ReportPollerTest()
      : context_(dialect_, {}, {0.2, 50.0, milliseconds(10000)}, 1),
        poller_(context_, {}) {
    routing::Configuration configuration;
    configuration.version = 1;
    routing::Service service;
    service.name = "s";
    service.health_path = "/health";
    service.engine = routing::EngineTraits{8, 100000, true, true};
    configuration.services = {service};
    context_.routes = BuildRoutes(std::move(configuration));
    poller_.on_leaving = [this](const gossip::LeavingServer& server) {
      leaving_.push_back(server.id);
    };
  }

  void Announce(std::uint16_t port) {
    directory::BackendServer server;
    server.id = "i-1";
    server.service = "s";
    server.endpoint = {"127.0.0.1", port};
    context_.directory.OnAnnounced(server, BootClock::now());
  }

  // Polls, and runs until the result or a failure is known.
  void PollUntilResult() {
    poller_.Poll(kOwnIp, {kOwnIp}, true, BootClock::now());
    ASSERT_TRUE(RunUntil([this] {
      return !leaving_.empty() ||
             context_.selector.FailureRate("i-1", BootClock::now()) > 0.0;
    }));
  }

  static void ReplyUnhealthy(const ScriptedEngine::Request& request) {
    request.socket->write(
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
  }

  // A port on which nothing listens.
  static std::uint16_t ClosedPort() {
    QTcpServer server;
    server.listen(QHostAddress::LocalHost);
    return server.serverPort();
  }

  platform::WireDialect dialect_;
  GatewayContext context_;
  ReportPoller poller_;
  std::vector<std::string> leaving_;
};

// Scenario: the store is silent during three reclaims in a row. Engines that
// had reported that they were leaving, and were gone, became copy targets again
// five seconds later; each such copy took 0.3 s of the second that was left.
TEST_F(ReportPollerTest, UnresponsiveLeavingEngineStaysLeaving) {
  Announce(ClosedPort());
  context_.directory.OnReportedLeaving(
      "i-1", directory::LeavingNotice::kReported, BootClock::now());
  PollUntilResult();
  EXPECT_EQ(leaving_, std::vector<std::string>{"i-1"});
}

// Scenario: a test with up to 300 gateways, where each pass over the directory
// hashed every pair of an engine and a gateway.
TEST_F(ReportPollerTest, ReassignsEnginesWhenGatewayIsLost) {
  // A gateway that ranks before this one for the engine.
  std::string other;
  for (int i = 2; other.empty() && i < 100; ++i) {
    const std::string ip = "127.0.0." + std::to_string(i);
    if (membership::RendezvousFirst("i-1", {kOwnIp, ip}) == ip) other = ip;
  }
  ASSERT_FALSE(other.empty());
  ScriptedEngine engine;
  engine.on_request = ReplyUnhealthy;
  Announce(engine.port());
  poller_.Poll(kOwnIp, {kOwnIp, other}, true, BootClock::now());
  PollUntilResult();
  EXPECT_EQ(leaving_, std::vector<std::string>{"i-1"});
  EXPECT_EQ(engine.heads.size(), 1U);
}

TEST_F(ReportPollerTest, UnresponsiveEngineIsNotLeaving) {
  Announce(ClosedPort());
  PollUntilResult();
  EXPECT_TRUE(leaving_.empty());
}

TEST_F(ReportPollerTest, UnhealthyEngineIsLeaving) {
  ScriptedEngine engine;
  engine.on_request = ReplyUnhealthy;
  Announce(engine.port());
  PollUntilResult();
  EXPECT_EQ(leaving_, std::vector<std::string>{"i-1"});
}

}  // namespace
}  // namespace balsam::gateway
