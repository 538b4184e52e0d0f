// A complete gateway on loopback addresses, against scripted engines: what an
// engine reports about itself in any response determines which requests it gets
// afterwards.
#include <gtest/gtest.h>

#include <string>

#include "tests/services/gateway/gateway_node_fixture.h"

namespace balsam::gateway {
namespace {

struct LeavingResponse {
  const char* name;
  const char* status;
};

class LeavingResponseTest
    : public GatewayNodeTest,
      public testing::WithParamInterface<LeavingResponse> {};

// The store lists the engine as ready throughout.
TEST_P(LeavingResponseTest, LeavingEngineGetsNoNewRequests) {
  first_.on_request = [](const auto& request) {
    Reply(request, "Server-Leaving: 1\r\n", GetParam().status);
  };
  Publish({&first_});
  SendRequest();
  ASSERT_EQ(Requests(first_), 1U);
  EXPECT_EQ(RequestStatus(), 503);
  EXPECT_EQ(Requests(first_), 1U);
  // An entry that the engine wrote earlier changes nothing.
  node_->OnStoreChanges({EntryOf(0, first_, 1)}, revision_);
  EXPECT_EQ(RequestStatus(), 503);
  EXPECT_EQ(Requests(first_), 1U);
}

TEST_P(LeavingResponseTest, NewIncarnationIsNotLeaving) {
  first_.on_request = [](const auto& request) {
    Reply(request, "Server-Leaving: 1\r\n", GetParam().status);
  };
  Publish({&first_});
  SendRequest();
  first_.on_request = [](const auto& request) { Reply(request, ""); };
  node_->OnStoreChanges({EntryOf(0, first_, 2)}, revision_);
  EXPECT_EQ(RequestStatus(), 200);
}

INSTANTIATE_TEST_SUITE_P(
    Answers, LeavingResponseTest,
    testing::Values(LeavingResponse{"Success", "200 OK"},
                    LeavingResponse{"Failure", "500 Failed"},
                    LeavingResponse{"NotFound", "404 Not Found"}),
    [](const auto& info) { return std::string(info.param.name); });

// An engine that had crashed was sent request after request while the store was
// down, although another one at its address said each time that it is not that
// engine (day of the deadly part beside an outage, vientoalto-andes).
TEST_F(GatewayNodeTest, EngineWhoseAddressIsTakenGetsNoMoreRequests) {
  first_.on_request = [](const auto& request) {
    Reply(request, "Not-Run: 1\r\n", "421 Misdirected");
  };
  Publish({&first_});
  EXPECT_EQ(RequestStatus(), 503);
  EXPECT_EQ(RequestStatus(), 503);
  EXPECT_EQ(Requests(first_), 1U);
  // The store tells where its next incarnation is.
  first_.on_request = [](const auto& request) { Reply(request, ""); };
  node_->OnStoreChanges({EntryOf(0, first_, 2)}, revision_);
  EXPECT_EQ(RequestStatus(), 200);
}

TEST_F(GatewayNodeTest, EngineInBackoffGetsNoRequests) {
  first_.on_request = [](const auto& request) {
    Reply(request, "Not-Run: 1\r\nRetry-After: 30\r\n", "503 Full");
  };
  Publish({&first_});
  EXPECT_EQ(RequestStatus(), 503);
  const std::string refusal = SendRequest();
  EXPECT_EQ(Requests(first_), 1U);
  // Rejected immediately, with a retry delay of at least a third of the time
  // that the route allows (15 s), which is less than the engine requests (30
  // s).
  EXPECT_NE(refusal.find("503"), std::string::npos);
  EXPECT_NE(refusal.find("Retry-After: 4."), std::string::npos) << refusal;
}

TEST_F(GatewayNodeTest, OtherEnginesServeDuringBackoff) {
  const auto request_backoff = [](const auto& request) {
    Reply(request, "Retry-After: 30\r\n", "503 Full");
  };
  first_.on_request = request_backoff;
  Publish({&first_, &second_});
  constexpr int kRequests = 20;
  for (int i = 0; i < kRequests; ++i) SendRequest();
  EXPECT_LE(Requests(first_), 1U);
  EXPECT_GE(Requests(second_), kRequests - 1U);
}

TEST_F(GatewayNodeTest, NewIncarnationEndsBackoff) {
  first_.on_request = [](const auto& request) {
    Reply(request, "Retry-After: 30\r\n", "503 Full");
  };
  Publish({&first_});
  SendRequest();
  first_.on_request = [](const auto& request) { Reply(request, ""); };
  node_->OnStoreChanges({EntryOf(0, first_, 2)}, revision_);
  EXPECT_EQ(RequestStatus(), 200);
}

// Guards against bytes that a client takes for the next response: the text of a
// gateway response followed the head that answers HEAD.
TEST_F(GatewayNodeTest, ResponseToHeadRequestHasNoBody) {
  Publish({&first_});
  QTcpSocket client;
  client.connectToHost("127.0.0.1", client_port_);
  client.write(
      "HEAD /x HTTP/1.1\r\nHost: unknown\r\nRequest-Id: r-1\r\n"
      "Connection: close\r\n\r\n");
  std::string response;
  ASSERT_TRUE(RunUntil([&] {
    response += client.readAll().toStdString();
    return client.state() == QAbstractSocket::UnconnectedState;
  }));
  EXPECT_TRUE(response.starts_with("HTTP/1.1 404"));
  EXPECT_TRUE(response.ends_with("\r\n\r\n"));
}

}  // namespace
}  // namespace balsam::gateway
