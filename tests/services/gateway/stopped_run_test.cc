// Responses with neither a length nor chunks whose runs are stopped: their
// engines close the connection as they do after a whole response.
#include <sys/socket.h>

#include <algorithm>
#include <string>
#include <utility>

#include "tests/services/gateway/exchange_fixture.h"

namespace balsam::gateway {
namespace {

using std::chrono::milliseconds;

constexpr char kFirstTwoEvents[] = "id: 1\ndata: t\n\nid: 2\ndata: t\n\n";
constexpr char kLastTwoEvents[] = "id: 3\ndata: t\n\nid: 4\ndata: t\n\n";
constexpr milliseconds kTimeLimit{3000};

class StoppedRunTest : public ExchangeTest {
 protected:
  static void WriteUnframed(QTcpSocket* socket, const std::string& body) {
    const std::string text =
        "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\n\r\n" + body;
    socket->write(text.data(), static_cast<qint64>(text.size()));
    socket->flush();
  }

  static auto ContinuingStream() {
    return [](const ScriptedEngine::Request& request) {
      EXPECT_NE(request.head.find("Last-Event-Id: 2"), std::string::npos);
      BeginStream(request.socket, 3, 4);
      EndStream(request.socket);
    };
  }
};

// The gateway's clock stands still until the test sets it, so that its own
// timers do not end the request.
class RunStoppedAtDeadlineTest : public StoppedRunTest {
 protected:
  RunStoppedAtDeadlineTest() {
    context_.now = [this] { return now_; };
    client_time_left_ = kTimeLimit;
  }

  // The first engine sends `body` and closes the connection when the gateway
  // has waited for this long.
  void EndAfter(milliseconds took, const std::string& body) {
    first_.on_request = [this, took, body](const auto& request) {
      if (!request.IsTo("/x")) return;
      EXPECT_NE(request.head.find("Deadline-Ms: "), std::string::npos);
      WriteUnframed(request.socket, body);
      now_ = sent_ + took;
      request.socket->disconnectFromHost();
    };
  }

  const BootTime sent_ = BootClock::now();
  BootTime now_ = sent_;
};

// Guards against a truncated stream that looks complete: its engine stopped the
// run at the deadline that the gateway gave it.
TEST_F(RunStoppedAtDeadlineTest, StreamIsNotComplete) {
  EndAfter(kTimeLimit, kFirstTwoEvents);
  Send(routing::RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.text, kFirstTwoEvents);
  EXPECT_EQ(sink_.complete, false);
}

// The route's timeout is the engine's deadline, too.
TEST_F(RunStoppedAtDeadlineTest, StreamIsNotCompleteAtTimeoutOfRoute) {
  client_time_left_ = 10 * kTimeLimit;
  route_timeout_ = kTimeLimit;
  EndAfter(kTimeLimit, kFirstTwoEvents);
  Send(routing::RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.complete, false);
}

TEST_F(RunStoppedAtDeadlineTest, StreamShortlyBeforeDeadlineIsComplete) {
  EndAfter(kTimeLimit - milliseconds(20), kFirstTwoEvents);
  Send(routing::RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.text, kFirstTwoEvents);
  EXPECT_EQ(sink_.complete, true);
}

// An engine whose clock is fast stops a run before the gateway's deadline.
TEST_F(RunStoppedAtDeadlineTest, ResumableStreamGoesOn) {
  EndAfter(kTimeLimit - milliseconds(2), kFirstTwoEvents);
  second_.on_request = ContinuingStream();
  Offer(routing::RequestKind::kStream, 2, /*resumable=*/true);
  SendRequest();
  RunUntilDone();
  EXPECT_EQ(sink_.text, std::string(kFirstTwoEvents) + kLastTwoEvents);
  EXPECT_EQ(sink_.complete, true);
}

// The same for a response that is no stream.
TEST_F(RunStoppedAtDeadlineTest, PlainResponseIsNotDelivered) {
  EndAfter(kTimeLimit, "half a p");
  Send(routing::RequestKind::kNonIdempotent, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.status, 502);
}

TEST_F(RunStoppedAtDeadlineTest, PlainResponseBeforeDeadlineIsDelivered) {
  EndAfter(kTimeLimit - milliseconds(20), "a page");
  Send(routing::RequestKind::kNonIdempotent, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.status, 200);
  EXPECT_EQ(sink_.text, "a page");
}

// A request is not suspected of crashing its engine when its time is over.
TEST_F(RunStoppedAtDeadlineTest, DeadlineIsNoCrash) {
  EndAfter(kTimeLimit, "");
  Send(routing::RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.status, 502);
  EXPECT_EQ(context_.crash_ledger.trait_count(), 0U);
}

// The first engine is slow, so that the gateway asks it to stop the run. It
// sends its first events just before it takes up the call.
class SlowRunStoppedTest : public StoppedRunTest {
 protected:
  SlowRunStoppedTest() { latency_objective_ = milliseconds(50); }

  // The engine closes the stream, and answers the call once the gateway has
  // seen that.
  void AnswerStopAfterEnd(const std::string& status, const std::string& body) {
    first_.on_request = [this, status, body](const auto& request) {
      if (!request.IsTo("/kv-move")) {
        if (request.IsTo("/x")) stream_ = request.socket;
        return;
      }
      QObject::connect(stream_, &QTcpSocket::disconnected, request.socket,
                       [socket = request.socket, status, body] {
                         Reply(socket, status, "", body);
                       });
      WriteUnframed(stream_, kFirstTwoEvents);
      ::shutdown(static_cast<int>(stream_->socketDescriptor()), SHUT_WR);
    };
    second_.on_request = ContinuingStream();
    Offer(routing::RequestKind::kStream, 2, /*resumable=*/true);
    SendRequest();
    RunUntilDone();
  }

  QTcpSocket* stream_ = nullptr;
  QTcpSocket* call_ = nullptr;
};

// Guards against a truncated stream that looks complete: the gateway asked a
// slow engine to stop the run, and took the close that followed for its end.
TEST_F(SlowRunStoppedTest, StreamGoesOnElsewhere) {
  AnswerStopAfterEnd("503 Service Unavailable", R"({"handle":"c-1"})");
  EXPECT_EQ(sink_.text, std::string(kFirstTwoEvents) + kLastTwoEvents);
  EXPECT_EQ(sink_.complete, true);
}

// The same if the answer to the call tells nothing.
TEST_F(SlowRunStoppedTest, StreamGoesOnIfStopIsUnknown) {
  AnswerStopAfterEnd("HTTP", "");
  EXPECT_EQ(sink_.text, std::string(kFirstTwoEvents) + kLastTwoEvents);
  EXPECT_EQ(sink_.complete, true);
}

// The run had ended by itself when the call arrived.
TEST_F(SlowRunStoppedTest, StreamThatEndedBeforeTheCallIsComplete) {
  AnswerStopAfterEnd("404 Not Found", "{}");
  EXPECT_EQ(sink_.text, kFirstTwoEvents);
  EXPECT_EQ(sink_.complete, true);
  EXPECT_EQ(second_.heads.size(), 0U);
}

// The engine sheds load, and did not stop the run.
TEST_F(SlowRunStoppedTest, StreamIsCompleteIfTheCallWasRefused) {
  AnswerStopAfterEnd("503 Service Unavailable", "{}");
  EXPECT_EQ(sink_.text, kFirstTwoEvents);
  EXPECT_EQ(sink_.complete, true);
}

// The answer to the call arrives before the end of the stream.
TEST_F(SlowRunStoppedTest, StreamGoesOnAfterConfirmedStop) {
  first_.on_request = [this](const auto& request) {
    if (!request.IsTo("/kv-move")) {
      if (request.IsTo("/x")) stream_ = request.socket;
      return;
    }
    WriteUnframed(stream_, kFirstTwoEvents);
    call_ = request.socket;
  };
  sink_.on_text = [this] {
    if (call_ == nullptr) return;
    Reply(std::exchange(call_, nullptr), "503 Service Unavailable", "",
          R"({"handle":"c-1"})");
  };
  // The gateway frees the copy that the answer names.
  const auto is_released = [this] {
    return std::ranges::any_of(first_.heads, [](const std::string& head) {
      return head.starts_with("DELETE");
    });
  };
  second_.on_request = ContinuingStream();
  Offer(routing::RequestKind::kStream, 2, /*resumable=*/true);
  SendRequest();
  ASSERT_TRUE(RunUntil(is_released));
  stream_->disconnectFromHost();
  RunUntilDone();
  EXPECT_EQ(sink_.text, std::string(kFirstTwoEvents) + kLastTwoEvents);
  EXPECT_EQ(sink_.complete, true);
}

}  // namespace
}  // namespace balsam::gateway
