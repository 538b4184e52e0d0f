// A whole gateway on loopback addresses, against engines that act by script:
// what an engine says of itself in an answer, to whatever it was asked, decides
// what it is sent afterwards.
#include <gtest/gtest.h>

#include <string>

#include "tests/services/gateway/gateway_node_fixture.h"

namespace balsam::gateway {
namespace {

struct LeavingAnswer {
  const char* name;
  const char* status;
};

class LeavingAnswerTest : public GatewayNodeTest,
                          public testing::WithParamInterface<LeavingAnswer> {};

// The store lists the engine as ready all the while.
TEST_P(LeavingAnswerTest, AnEngineThatSaysThatItLeavesGetsNothingNew) {
  first_.on_request = [](const auto& request) {
    Reply(request, "Server-Leaving: 1\r\n", GetParam().status);
  };
  Publish({&first_});
  Ask();
  ASSERT_EQ(Requests(first_), 1U);
  EXPECT_EQ(StatusOfAsk(), 503);
  EXPECT_EQ(Requests(first_), 1U);
  // An entry that the engine had written before changes nothing.
  node_->OnStoreChanges({EntryOf(0, first_, 1)}, revision_);
  EXPECT_EQ(StatusOfAsk(), 503);
  EXPECT_EQ(Requests(first_), 1U);
}

TEST_P(LeavingAnswerTest, ANewIncarnationIsNotLeaving) {
  first_.on_request = [](const auto& request) {
    Reply(request, "Server-Leaving: 1\r\n", GetParam().status);
  };
  Publish({&first_});
  Ask();
  first_.on_request = [](const auto& request) { Reply(request, ""); };
  node_->OnStoreChanges({EntryOf(0, first_, 2)}, revision_);
  EXPECT_EQ(StatusOfAsk(), 200);
}

INSTANTIATE_TEST_SUITE_P(
    Answers, LeavingAnswerTest,
    testing::Values(LeavingAnswer{"Success", "200 OK"},
                    LeavingAnswer{"Failure", "500 Failed"},
                    LeavingAnswer{"NotFound", "404 Not Found"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST_F(GatewayNodeTest, AnEngineThatAsksForTimeGetsNothing) {
  first_.on_request = [](const auto& request) {
    Reply(request, "Not-Run: 1\r\nRetry-After: 30\r\n", "503 Full");
  };
  Publish({&first_});
  EXPECT_EQ(StatusOfAsk(), 503);
  const std::string refusal = Ask();
  EXPECT_EQ(Requests(first_), 1U);
  // Refused at once, and told when to come back: no sooner than a third of the
  // time that the route allows, which is less than what the engine asks for.
  EXPECT_NE(refusal.find("503"), std::string::npos);
  EXPECT_NE(refusal.find("Retry-After: 4."), std::string::npos) << refusal;
}

TEST_F(GatewayNodeTest, TheOthersServeWhileOneEngineRests) {
  const auto rest = [](const auto& request) {
    Reply(request, "Retry-After: 30\r\n", "503 Full");
  };
  first_.on_request = rest;
  Publish({&first_, &second_});
  constexpr int kRequests = 20;
  for (int i = 0; i < kRequests; ++i) Ask();
  EXPECT_LE(Requests(first_), 1U);
  EXPECT_GE(Requests(second_), kRequests - 1U);
}

TEST_F(GatewayNodeTest, ANewIncarnationDoesNotRest) {
  first_.on_request = [](const auto& request) {
    Reply(request, "Retry-After: 30\r\n", "503 Full");
  };
  Publish({&first_});
  Ask();
  first_.on_request = [](const auto& request) { Reply(request, ""); };
  node_->OnStoreChanges({EntryOf(0, first_, 2)}, revision_);
  EXPECT_EQ(StatusOfAsk(), 200);
}

}  // namespace
}  // namespace balsam::gateway
