// One request through the gateway, against engines that fail by script.
#include "tests/services/gateway/exchange_fixture.h"

namespace balsam::gateway {
namespace {

using std::chrono::milliseconds;

TEST_F(ExchangeTest, DeliversAWholeAnswer) {
  first_.on_request = RepliesOk("opened");
  Send(routing::RequestKind::kNonIdempotent, 1);
  RunUntilEnd();
  EXPECT_EQ(sink_.status, 200);
  EXPECT_EQ(sink_.text, "opened");
}

TEST_F(ExchangeTest, EachEndIsCountedOnceUnderItsOutcome) {
  first_.on_request = RepliesOk("opened");
  Send(routing::RequestKind::kNonIdempotent, 1);
  RunUntilEnd();
  const std::string metrics = context_.metrics.Serialize();
  EXPECT_NE(metrics.find("balsam_outcomes_total{process=\"gateway\","
                         "code=\"200\",name=\"delivered\",workspace=\"\"} 1"),
            std::string::npos)
      << metrics;
}

TEST_F(ExchangeTest, EventsAndTheirPausesAreMeasured) {
  first_.on_request = [](const auto& request) {
    BeginStream(request.socket, 1, 3);
    request.socket->write("0\r\n\r\n");
  };
  Send(routing::RequestKind::kStream, 1);
  RunUntilEnd();
  const std::string metrics = context_.metrics.Serialize();
  const std::string labels =
      "{process=\"gateway\",class=\"stream\",workspace=\"\"} ";
  EXPECT_NE(metrics.find("balsam_tokens_total" + labels + "3"),
            std::string::npos)
      << metrics;
  EXPECT_NE(metrics.find("balsam_first_token_seconds_count" + labels + "1"),
            std::string::npos);
}

TEST_F(ExchangeTest, AResetIsNeverRepeatedIfItMayNotRunTwice) {
  first_.on_request = [](const auto& request) { request.socket->abort(); };
  Send(routing::RequestKind::kNonIdempotent, 3);
  RunUntilEnd();
  EXPECT_EQ(sink_.status, 502);
  EXPECT_EQ(first_.heads.size() + second_.heads.size(), 1U);
}

TEST_F(ExchangeTest, AResetIsRepeatedElsewhereIfItMayBe) {
  first_.on_request = [](const auto& request) { request.socket->abort(); };
  second_.on_request = RepliesOk("page");
  Send(routing::RequestKind::kIdempotent, 2);
  RunUntilEnd();
  EXPECT_EQ(sink_.status, 200);
  EXPECT_EQ(sink_.text, "page");
}

TEST_F(ExchangeTest, AServerThatProvesThatItDidNotRunIsFollowedByAnother) {
  first_.on_request = [](const auto& request) {
    Reply(request.socket, "503 Full", "Not-Run: 1\r\n", "");
  };
  second_.on_request = RepliesOk("opened");
  Send(routing::RequestKind::kNonIdempotent, 2);
  RunUntilEnd();
  EXPECT_EQ(sink_.status, 200);
}

TEST_F(ExchangeTest, ABare503PromisesNothing) {
  first_.on_request = [](const auto& request) {
    Reply(request.socket, "503 Busy", "Request-Id: r-1\r\n", "");
  };
  Send(routing::RequestKind::kNonIdempotent, 1);
  RunUntilEnd();
  EXPECT_EQ(sink_.status, 502);
}

TEST_F(ExchangeTest, AnAnswerToAnotherRequestIsNotDelivered) {
  first_.on_request = [](const auto& request) {
    Reply(request.socket, "200 OK", "Request-Id: r-0\r\nResponse-Seal: s\r\n",
          "another's");
  };
  Send(routing::RequestKind::kNonIdempotent, 1);
  RunUntilEnd();
  EXPECT_EQ(sink_.status, 502);
  EXPECT_EQ(sink_.text.find("another's"), std::string::npos);
}

TEST_F(ExchangeTest, ASuccessWithoutASignatureIsNone) {
  first_.on_request = [](const auto& request) {
    Reply(request.socket, "200 OK", "Request-Id: r-1\r\n", "forged");
  };
  Send(routing::RequestKind::kNonIdempotent, 1);
  RunUntilEnd();
  EXPECT_EQ(sink_.status, 502);
}

TEST_F(ExchangeTest, ABrokenStreamIsSeenToBeIncomplete) {
  first_.on_request = [](const auto& request) {
    BeginStream(request.socket, 1, 2);
    request.socket->flush();
    request.socket->disconnectFromHost();
  };
  Send(routing::RequestKind::kStream, 1);
  RunUntilEnd();
  EXPECT_EQ(sink_.complete, false);
  EXPECT_EQ(sink_.text, "id: 1\ndata: t\n\nid: 2\ndata: t\n\n");
}

TEST_F(ExchangeTest, ALiveRunMovesWithinOneAnswer) {
  QTcpSocket* source = nullptr;
  first_.on_request = [&](const auto& request) {
    if (!request.IsTo("/kv-move")) {
      source = request.socket;
      BeginStream(source, 1, 2);
      return;
    }
    Reply(request.socket, "200 OK", "", R"({"handle":"c-1","created":2})");
  };
  second_.on_request = [&](const auto& request) {
    EXPECT_NE(request.head.find("Kv-From: 127.0.0.1:"), std::string::npos);
    EXPECT_NE(request.head.find("/c-1"), std::string::npos);
    EXPECT_NE(request.head.find("Last-Event-Id: 2"), std::string::npos);
    BeginStream(request.socket, 3, 4);
    EndStream(request.socket);
  };
  bool noticed = false;
  sink_.on_text = [&] {
    if (std::exchange(noticed, true)) return;
    Announce("i-1", first_, true);
    exchange_->OnServerLeaving("i-1");
  };
  Send(routing::RequestKind::kStream, 1);
  RunUntilEnd();
  EXPECT_EQ(sink_.complete, true);
  EXPECT_EQ(sink_.text,
            "id: 1\ndata: t\n\nid: 2\ndata: t\n\n"
            "id: 3\ndata: t\n\nid: 4\ndata: t\n\n");
}

// Found by a hunt (mix, seed 31420892959): the answer to a copy came to an
// exchange that had ended, and been deleted, with its move under way.
TEST_F(ExchangeTest, ACopyThatIsAnsweredAfterTheEndHarmsNothing) {
  QTcpSocket* source = nullptr;
  QTcpSocket* copy = nullptr;
  first_.on_request = [&](const auto& request) {
    if (!request.IsTo("/kv-move")) {
      source = request.socket;
      BeginStream(source, 1, 1);
      return;
    }
    copy = request.socket;
    // An event is missing, which ends the exchange.
    const std::string chunk = http1::EncodeChunk("id: 3\ndata: t\n\n");
    source->write(chunk.data(), static_cast<qint64>(chunk.size()));
  };
  bool noticed = false;
  sink_.on_text = [&] {
    if (std::exchange(noticed, true)) return;
    exchange_->OnServerLeaving("i-1");
  };
  Send(routing::RequestKind::kStream, 1);
  RunUntilEnd();
  EXPECT_EQ(sink_.complete, false);
  exchange_.reset();
  ASSERT_NE(copy, nullptr);
  Reply(copy, "200 OK", "", R"({"handle":"c-1","created":1})");
  copy->flush();
  QCoreApplication::processEvents();
  EXPECT_TRUE(context_.exchanges.empty());
}

TEST_F(ExchangeTest, ARequestThatCrashesServersIsRefusedAfterThree) {
  first_.on_request = [](const auto& request) { request.socket->abort(); };
  second_.on_request = first_.on_request;
  for (int attempt = 0; attempt < 4; ++attempt) {
    sink_.complete.reset();
    Send(routing::RequestKind::kNonIdempotent, 1);
    RunUntilEnd();
    EXPECT_EQ(sink_.status, 502);
  }
  EXPECT_EQ(first_.heads.size() + second_.heads.size(), 3U);
}

// Found by a hunt (mix, seed 101437375992): all VMs were asked to stop within
// four seconds, so the balancer had none to turn to. A request that came five
// seconds after the signal was taken, and cut off when the process was ended.
class StoppingExchangeTest : public ExchangeTest {
 protected:
  // The process is ended in 300 s.
  StoppingExchangeTest() {
    context_.stopping = true;
    context_.ends_at = BootClock::now() + std::chrono::seconds(300);
    first_.on_request = RepliesOk("opened");
  }

  void SendThatMayLast(std::chrono::seconds timeout) {
    sink_.complete.reset();
    route_timeout_ = timeout;
    Send(routing::RequestKind::kNonIdempotent, 1);
  }
};

TEST_F(StoppingExchangeTest, TakesOnlyWhatItCanFinish) {
  context_.takes_all_until = BootClock::now() - milliseconds(1);
  SendThatMayLast(std::chrono::seconds(600));
  EXPECT_EQ(sink_.status, 503);
  EXPECT_TRUE(first_.heads.empty());
  SendThatMayLast(std::chrono::seconds(30));
  RunUntilEnd();
  EXPECT_EQ(sink_.status, 200);
}

TEST_F(StoppingExchangeTest, TakesAllUntilTheBalancerKnows) {
  context_.takes_all_until = BootClock::now() + std::chrono::seconds(300);
  SendThatMayLast(std::chrono::seconds(600));
  RunUntilEnd();
  EXPECT_EQ(sink_.status, 200);
}

// Found by reading: a request whose client left counted as served, so that an
// engine that hangs seemed to serve whatever was given up there.
TEST_F(ExchangeTest, AClientThatLeavesSaysNothingOfItsServer) {
  Send(routing::RequestKind::kStream, 1);
  const auto failed = [this] {
    context_.selector.OnResult("i-1", dispatch::AttemptResult::kFailed,
                               BootClock::now());
  };
  failed();
  const double before = context_.selector.FailureRate("i-1", BootClock::now());
  exchange_->Cancel();
  // A served request would lower it by a sixth, far more than what fades.
  EXPECT_NEAR(context_.selector.FailureRate("i-1", BootClock::now()), before,
              before / 20);
}

// Found by reading: a plain server that could not be reached counted as one
// more request done, so that the forecast of the wait became shorter.
TEST_F(ExchangeTest, AServerThatWasNotReachedDidNoWork) {
  directory::BackendServer away;
  for (const char* id : {"i-1", "i-2"}) {
    away.id = id;
    away.service = "s";
    // Nothing listens there.
    away.endpoint = {"127.0.0.1", FreePort()};
    away.slots = 8;
    context_.directory.OnAnnounced(away, BootClock::now());
  }
  Send(routing::RequestKind::kIdempotent, 2);
  RunUntilEnd();
  EXPECT_EQ(sink_.status, 503);
  EXPECT_EQ(context_.forecasts["s"].EstimateWait(1, BootClock::now()),
            dispatch::WaitEstimator::kWindow);
}

TEST_F(ExchangeTest, WithoutAConfigurationNothingIsPromisedButALaterTry) {
  http1::RequestHead head;
  head.method = "GET";
  head.target = "/x";
  head.fields.Add("Request-Id", "r-1");
  Exchange exchange(context_, sink_, std::move(head), "", BootClock::now());
  exchange.Start();
  EXPECT_EQ(sink_.status, 503);
}

}  // namespace
}  // namespace balsam::gateway
