// Requests around a planned stop of the gateway: each gets an answer, and is
// accepted only if it can be served before the process is terminated.
#include <gtest/gtest.h>

#include <string>

#include "tests/services/gateway/gateway_node_fixture.h"

namespace balsam::gateway {
namespace {

class PlannedStopTest : public GatewayNodeTest {};

// Guards against requests that are accepted after the stop has begun and cut
// when the process is terminated. The client is told at once, and goes
// elsewhere.
TEST_F(PlannedStopTest, RequestThatMayOutlastTheStopIsRefusedAtOnce) {
  timeout_ = stop_grace_ + std::chrono::milliseconds(7000);
  Publish({&first_});
  EXPECT_EQ(RequestStatus(), 200);
  node_->BeginStop();
  const std::string head = SendRequest();
  EXPECT_TRUE(head.starts_with("HTTP/1.1 503")) << head;
  EXPECT_NE(head.find("Retry-After"), std::string::npos) << head;
  EXPECT_EQ(Requests(first_), 1U);
}

// The balancer takes a while to notice the stop.
TEST_F(PlannedStopTest, ShortRequestIsServedWhileStopping) {
  timeout_ = std::chrono::milliseconds(1000);
  Publish({&first_});
  node_->BeginStop();
  EXPECT_EQ(RequestStatus(), 200);
}

class ExpiringStopTest : public GatewayNodeTest {
 protected:
  ExpiringStopTest() { stop_grace_ = std::chrono::milliseconds(500); }
};

// Guards against requests that were passed on and whose connection is closed
// without an answer when the process is terminated.
TEST_F(ExpiringStopTest, RunningRequestGetsAnswerBeforeTheEnd) {
  kind_ = "non_idempotent";
  timeout_ = std::chrono::minutes(1);
  // It never responds; the stop begins while it has the request.
  first_.on_request = [this](const auto&) { node_->BeginStop(); };
  Publish({&first_});
  const std::string head = SendRequest();
  EXPECT_TRUE(head.starts_with("HTTP/1.1 504")) << head;
  EXPECT_EQ(Requests(first_), 1U);
}

}  // namespace
}  // namespace balsam::gateway
