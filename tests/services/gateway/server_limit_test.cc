// A server in need names the requests a second that it takes from all gateways
// together.
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
    Publish({&first_, &second_});
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
  const BootTime start = BootClock::now();
  for (int i = 0; i < 200; ++i) EXPECT_EQ(RequestStatus(), 200);
  EXPECT_LE(static_cast<double>(Requests(first_)),
            Allowed(BootClock::now() - start));
  EXPECT_GE(Requests(first_), 1U);
}

}  // namespace
}  // namespace balsam::gateway
