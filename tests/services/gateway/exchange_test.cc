// Single requests through the gateway, against scripted engines that fail.
#include "tests/services/gateway/exchange_fixture.h"

namespace balsam::gateway {
namespace {

using std::chrono::milliseconds;

TEST_F(ExchangeTest, DeliversCompleteResponse) {
  first_.on_request = ReplyingOk("opened");
  Send(routing::RequestKind::kNonIdempotent, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.status, 200);
  EXPECT_EQ(sink_.text, "opened");
}

TEST_F(ExchangeTest, CountsEachOutcomeOnce) {
  first_.on_request = ReplyingOk("opened");
  Send(routing::RequestKind::kNonIdempotent, 1);
  RunUntilDone();
  const std::string metrics = context_.metrics.Serialize();
  EXPECT_NE(metrics.find("balsam_outcomes_total{process=\"gateway\","
                         "code=\"200\",name=\"delivered\",workspace=\"\"} 1"),
            std::string::npos)
      << metrics;
}

TEST_F(ExchangeTest, RecordsTokenMetrics) {
  first_.on_request = [](const auto& request) {
    BeginStream(request.socket, 1, 3);
    request.socket->write("0\r\n\r\n");
  };
  Send(routing::RequestKind::kStream, 1);
  RunUntilDone();
  const std::string metrics = context_.metrics.Serialize();
  const std::string labels =
      "{process=\"gateway\",class=\"stream\",workspace=\"\"} ";
  EXPECT_NE(metrics.find("balsam_tokens_total" + labels + "3"),
            std::string::npos)
      << metrics;
  EXPECT_NE(metrics.find("balsam_first_token_seconds_count" + labels + "1"),
            std::string::npos);
}

TEST_F(ExchangeTest, ResetOfNonIdempotentRequestIsNotRetried) {
  first_.on_request = [](const auto& request) { request.socket->abort(); };
  Send(routing::RequestKind::kNonIdempotent, 3);
  RunUntilDone();
  EXPECT_EQ(sink_.status, 502);
  EXPECT_EQ(first_.heads.size() + second_.heads.size(), 1U);
}

TEST_F(ExchangeTest, ResetOfIdempotentRequestIsRetriedElsewhere) {
  first_.on_request = [](const auto& request) { request.socket->abort(); };
  second_.on_request = ReplyingOk("page");
  Send(routing::RequestKind::kIdempotent, 2);
  RunUntilDone();
  EXPECT_EQ(sink_.status, 200);
  EXPECT_EQ(sink_.text, "page");
}

TEST_F(ExchangeTest, RetriesElsewhereAfterNotRunProof) {
  first_.on_request = [](const auto& request) {
    Reply(request.socket, "503 Full", "Not-Run: 1\r\n", "");
  };
  second_.on_request = ReplyingOk("opened");
  Send(routing::RequestKind::kNonIdempotent, 2);
  RunUntilDone();
  EXPECT_EQ(sink_.status, 200);
}

TEST_F(ExchangeTest, Status503WithoutProofBecomes502) {
  first_.on_request = [](const auto& request) {
    Reply(request.socket, "503 Busy", "Request-Id: r-1\r\n", "");
  };
  Send(routing::RequestKind::kNonIdempotent, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.status, 502);
}

TEST_F(ExchangeTest, ResponseToAnotherRequestIsNotDelivered) {
  first_.on_request = [](const auto& request) {
    Reply(request.socket, "200 OK", "Request-Id: r-0\r\nResponse-Seal: s\r\n",
          "another's");
  };
  Send(routing::RequestKind::kNonIdempotent, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.status, 502);
  EXPECT_EQ(sink_.text.find("another's"), std::string::npos);
}

TEST_F(ExchangeTest, UnsignedSuccessIsRejected) {
  first_.on_request = [](const auto& request) {
    Reply(request.socket, "200 OK", "Request-Id: r-1\r\n", "forged");
  };
  Send(routing::RequestKind::kNonIdempotent, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.status, 502);
}

TEST_F(ExchangeTest, BrokenStreamEndsIncomplete) {
  first_.on_request = [](const auto& request) {
    BeginStream(request.socket, 1, 2);
    request.socket->flush();
    request.socket->disconnectFromHost();
  };
  Send(routing::RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.complete, false);
  EXPECT_EQ(sink_.text, "id: 1\ndata: t\n\nid: 2\ndata: t\n\n");
}

TEST_F(ExchangeTest, RunMigratesWithinOneResponse) {
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
  RunUntilDone();
  EXPECT_EQ(sink_.complete, true);
  EXPECT_EQ(sink_.text,
            "id: 1\ndata: t\n\nid: 2\ndata: t\n\n"
            "id: 3\ndata: t\n\nid: 4\ndata: t\n\n");
}

// Guards against a use after free: the response to a copy call arrived after
// the exchange had ended and been deleted while its migration was in progress
// (random test mix, seed 31420892959).
TEST_F(ExchangeTest, CopyResponseAfterExchangeEndedIsIgnored) {
  QTcpSocket* source = nullptr;
  QTcpSocket* copy = nullptr;
  first_.on_request = [&](const auto& request) {
    if (!request.IsTo("/kv-move")) {
      source = request.socket;
      BeginStream(source, 1, 1);
      return;
    }
    copy = request.socket;
    // A missing event ends the exchange.
    const std::string chunk = http1::EncodeChunk("id: 3\ndata: t\n\n");
    source->write(chunk.data(), static_cast<qint64>(chunk.size()));
  };
  bool noticed = false;
  sink_.on_text = [&] {
    if (std::exchange(noticed, true)) return;
    exchange_->OnServerLeaving("i-1");
  };
  Send(routing::RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.complete, false);
  exchange_.reset();
  ASSERT_NE(copy, nullptr);
  Reply(copy, "200 OK", "", R"({"handle":"c-1","created":1})");
  copy->flush();
  QCoreApplication::processEvents();
  EXPECT_TRUE(context_.exchanges.empty());
}

TEST_F(ExchangeTest, RejectsRequestAfterThreeCrashes) {
  CrashOnRequests();
  for (int attempt = 0; attempt < 4; ++attempt) {
    sink_.complete.reset();
    Send(routing::RequestKind::kNonIdempotent, 1);
    RunUntilDone();
    RestartEngines();
    EXPECT_EQ(sink_.status, 502);
  }
  EXPECT_EQ(first_.heads.size() + second_.heads.size(), 3U);
}

// Guards against accepting requests that cannot complete: all VMs were asked to
// stop within four seconds, so the load balancer had none left. A request that
// arrived five seconds after the signal was accepted, and cut off when the
// process was terminated (random test mix, seed 101437375992).
class StoppingExchangeTest : public ExchangeTest {
 protected:
  // The process is terminated in 300 s.
  StoppingExchangeTest() {
    context_.stop.emplace(BootClock::now(), std::chrono::seconds(300));
    first_.on_request = ReplyingOk("opened");
  }

  void SendWithTimeout(std::chrono::seconds timeout) {
    sink_.complete.reset();
    route_timeout_ = timeout;
    Send(routing::RequestKind::kNonIdempotent, 1);
  }
};

TEST_F(StoppingExchangeTest, AcceptsOnlyRequestsThatCanComplete) {
  SendWithTimeout(std::chrono::seconds(600));
  EXPECT_EQ(sink_.status, 503);
  EXPECT_TRUE(first_.heads.empty());
  SendWithTimeout(std::chrono::seconds(30));
  RunUntilDone();
  EXPECT_EQ(sink_.status, 200);
}

// Guards against a stream that is accepted because a short response is expected
// and cut when it becomes long, or its engine slow.
TEST_F(StoppingExchangeTest, AcceptsNoStreamThatMayBeLongOnceBalancerKnows) {
  const auto now = BootClock::now();
  const auto grace = std::chrono::seconds(10);
  route_timeout_ = std::chrono::seconds(600);
  expected_tokens_ = 4;
  context_.stop.emplace(now - std::chrono::seconds(5), grace);
  for (const int tokens : {1000, 8}) {
    max_tokens_ = tokens;
    sink_.complete.reset();
    Send(routing::RequestKind::kStream, 1);
    EXPECT_EQ(sink_.status, 503);
  }
  EXPECT_TRUE(first_.heads.empty());
  // One that its deadline ends in any case.
  route_timeout_ = std::chrono::seconds(3);
  first_.on_request = [](const auto& request) {
    BeginStream(request.socket, 1, 2);
    EndStream(request.socket);
  };
  sink_.complete.reset();
  Send(routing::RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.status, 200);
}

// A request whose client disconnected used to count as served, so that a
// hanging engine appeared to serve every request abandoned there.
TEST_F(ExchangeTest, ClientDisconnectDoesNotAffectFailureRate) {
  Send(routing::RequestKind::kStream, 1);
  const auto failed = [this] {
    context_.selector.OnResult("i-1", dispatch::AttemptResult::kFailed,
                               BootClock::now());
  };
  failed();
  const double before = context_.selector.FailureRate("i-1", BootClock::now());
  exchange_->Cancel();
  // A served request would lower the rate by a sixth, far more than it decays
  // meanwhile.
  EXPECT_NEAR(context_.selector.FailureRate("i-1", BootClock::now()), before,
              before / 20);
}

// A plain server that could not be reached used to count as having completed a
// request, which made the estimated wait too short.
TEST_F(ExchangeTest, UnreachableServerDoesNotCountAsWorkDone) {
  directory::BackendServer unreachable;
  for (const char* id : {"i-1", "i-2"}) {
    unreachable.id = id;
    unreachable.service = "s";
    // Nothing listens there.
    unreachable.endpoint = {"127.0.0.1", FreePort()};
    unreachable.slots = 8;
    context_.directory.OnAnnounced(unreachable, BootClock::now());
  }
  Send(routing::RequestKind::kIdempotent, 2);
  RunUntilDone();
  EXPECT_EQ(sink_.status, 503);
  EXPECT_EQ(context_.wait_estimators["s"].EstimateWait(1, BootClock::now()),
            dispatch::WaitEstimator::kWindow);
}

TEST_F(ExchangeTest, RespondsWith503WithoutConfiguration) {
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
