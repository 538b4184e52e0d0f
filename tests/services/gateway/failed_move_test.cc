// Runs whose engine leaves, and whose move to another engine fails in the end.
#include <QTimer>
#include <algorithm>
#include <functional>
#include <string>
#include <utility>

#include "tests/services/gateway/exchange_fixture.h"

namespace balsam::gateway {
namespace {

using routing::RequestKind;
using std::chrono::milliseconds;

constexpr char kCopied[] = R"({"handle":"c-1","created":2})";
constexpr char kFirstTwoEvents[] = "id: 1\ndata: t\n\nid: 2\ndata: t\n\n";

// The first engine leaves after two events of a stream. It copies the run; what
// it does when it is asked to stop the run is up to the test.
class LeavingEngineTest : public ExchangeTest {
 protected:
  LeavingEngineTest() {
    first_.on_request = [this](const ScriptedEngine::Request& request) {
      if (request.IsTo("/kv-move")) {
        const bool is_stop =
            request.body.find("\"last\":true") != std::string::npos;
        is_stop ? on_stop(request) : on_copy(request);
      } else if (request.IsTo("/x")) {
        is_running_ = true;
        stream_ = request.socket;
        BeginStream(request.socket, 1, 2);
      } else {
        Reply(request.socket, "200 OK", "", "{}");
      }
    };
    on_copy = [](const ScriptedEngine::Request& request) {
      Reply(request.socket, "200 OK", "", kCopied);
    };
    sink_.on_text = [this] {
      if (std::exchange(noticed_, true)) return;
      Announce("i-1", first_, /*leaving=*/true);
      exchange_->OnServerLeaving("i-1");
    };
  }

  std::function<void(const ScriptedEngine::Request&)> on_copy;
  std::function<void(const ScriptedEngine::Request&)> on_stop;
  // The first engine works on the run.
  bool is_running_ = false;
  QTcpSocket* stream_ = nullptr;

 private:
  bool noticed_ = false;
};

// The first engine stops the run, but the target has no room for the rest.
class FailedMoveTest : public LeavingEngineTest {
 protected:
  FailedMoveTest() {
    on_stop = [this](const ScriptedEngine::Request& request) {
      is_running_ = false;
      before_refusal();
      Reply(request.socket, "503 Service Unavailable", "", kCopied);
    };
  }

  // The source starts anew at the same address, and does not hold the run.
  void RestartSource() {
    directory::BackendServer server = *context_.directory.Find("i-1");
    server.age = milliseconds(0);
    exchange_->OnServerRestarted(server);
  }

  std::function<void()> before_refusal;
};

// Guards against a crash of the gateway (review/11): a request was given up
// while the connection to its source was open, which then called into it.
TEST_F(FailedMoveTest, StreamOfLostRunIsClosedWithItsRequest) {
  before_refusal = [this] { RestartSource(); };
  Send(RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.complete, false);
  EXPECT_EQ(sink_.text, kFirstTwoEvents);
  exchange_.reset();
  EndStream(stream_);
  EXPECT_TRUE(RunUntil([this] {
    return stream_->state() == QAbstractSocket::UnconnectedState;
  }));
  const auto usage = context_.selector.UsageOf("i-1", BootClock::now());
  EXPECT_EQ(usage.requests, 0);
}

// The same if the stream is begun anew elsewhere: the events of the first run
// must not be taken for those of the second.
TEST_F(FailedMoveTest, StreamOfLostRunIsClosedBeforeAnotherOneBegins) {
  before_refusal = [this] { RestartSource(); };
  second_.on_request = [this](const ScriptedEngine::Request& request) {
    if (!request.IsTo("/x")) return;
    BeginStream(request.socket, 3, 4);
    EndStream(request.socket);
    EndStream(stream_);
  };
  Offer(RequestKind::kStream, 2, /*resumable=*/true);
  SendRequest();
  RunUntilDone();
  EXPECT_EQ(sink_.complete, true);
  EXPECT_EQ(sink_.text, std::string(kFirstTwoEvents) +
                            "id: 3\ndata: t\n\nid: 4\ndata: t\n\n");
  EXPECT_TRUE(RunUntil([this] {
    return stream_->state() == QAbstractSocket::UnconnectedState;
  }));
  const auto usage = context_.selector.UsageOf("i-1", BootClock::now());
  EXPECT_EQ(usage.requests, 0);
}

// Guards against losing a run that must not be repeated (review/11): its source
// was evacuated and must not resume it, and the target had an earlier copy.
TEST_F(FailedMoveTest, RunInEvacuatedDataCenterResumesFromTheFirstCopy) {
  second_.on_request = [](const ScriptedEngine::Request& request) {
    if (!request.IsTo("/x")) return;
    EXPECT_NE(request.head.find("/c-1"), std::string::npos);
    BeginStream(request.socket, 3, 4);
    EndStream(request.socket);
  };
  before_refusal = [this] {
    context_.directory.evacuations().OnRequested("i-1");
  };
  Send(RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.complete, true);
  EXPECT_EQ(sink_.text, std::string(kFirstTwoEvents) +
                            "id: 3\ndata: t\n\nid: 4\ndata: t\n\n");
}

// Guards against a run that goes on at two engines (review/13): its engine,
// which was leaving, reset the calls that were to stop it and the stream. The
// run went on elsewhere, and nothing asked the engine again.
class FailedStopTest : public LeavingEngineTest {
 protected:
  FailedStopTest() {
    on_stop = [this](const ScriptedEngine::Request& request) {
      if (++stops_ > failed_stops_) {
        is_running_ = false;
        Reply(request.socket, "200 OK", "", kCopied);
        return;
      }
      request.socket->abort();
      if (stops_ == 1) stream_->abort();
    };
    second_.on_request = [this](const ScriptedEngine::Request& request) {
      if (!request.IsTo("/x")) return;
      ++resumed_;
      EXPECT_FALSE(is_running_);
      BeginStream(request.socket, 3, 4);
      EndStream(request.socket);
    };
  }

  // So many calls that stop the run fail.
  int failed_stops_ = 2;
  int stops_ = 0;
  int resumed_ = 0;
};

TEST_F(FailedStopTest, RunGoesOnOnceItsEngineHasStoppedIt) {
  Send(RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.complete, true);
  EXPECT_EQ(stops_, 3);
  EXPECT_EQ(resumed_, 1);
}

// The engine ends before it has stopped the run.
TEST_F(FailedStopTest, RunGoesOnOnceItsEngineIsGone) {
  first_.on_request = [this, handle = first_.on_request](const auto& request) {
    handle(request);
    if (stops_ < 2) return;
    is_running_ = false;
    first_.Crash();
  };
  failed_stops_ = 1000;
  Send(RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.complete, true);
  EXPECT_EQ(resumed_, 1);
}

// Proof does not come before the client's deadline.
TEST_F(FailedStopTest, RequestEndsAtItsDeadlineWithoutProof) {
  client_time_left_ = std::chrono::milliseconds(500);
  failed_stops_ = 1000;
  Send(RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.complete, false);
  EXPECT_EQ(resumed_, 0);
  // The engine is still asked.
  const int stops = stops_;
  failed_stops_ = stops;
  EXPECT_TRUE(RunUntil([this] { return !is_running_; }));
}

// The same if the client leaves.
TEST_F(FailedStopTest, RunIsStoppedAfterItsClientHasLeft) {
  failed_stops_ = 3;
  Send(RequestKind::kStream, 1);
  ASSERT_TRUE(RunUntil([this] { return stops_ == 2; }));
  exchange_->Cancel();
  EXPECT_TRUE(RunUntil([this] { return !is_running_; }));
  EXPECT_EQ(resumed_, 0);
}

// After a long copy the run goes on as soon as its engine has closed the
// stream. The call that stopped it is not awaited, and fails.
class LateStopTest : public LeavingEngineTest {
 protected:
  LateStopTest() {
    on_copy = [](const ScriptedEngine::Request& request) {
      const milliseconds long_copy =
          2 * migration::MigrationStateMachine::Limits().max_short_copy;
      QTimer::singleShot(long_copy, request.socket, [request] {
        Reply(request.socket, "200 OK", "", kCopied);
      });
    };
    on_stop = [this](const ScriptedEngine::Request& request) {
      if (++stops_ == 1) {
        stop_call_ = request.socket;
        stream_->disconnectFromHost();
        return;
      }
      // The call is repeated, and fails as well.
      request.socket->abort();
      if (resume_ != nullptr) {
        Reply(std::exchange(resume_, nullptr), "503 Service Unavailable",
              "Request-Id: r-1\r\nNot-Run: 1\r\n", "");
      }
    };
    // The target refuses the run after that.
    second_.on_request = [this](const ScriptedEngine::Request& request) {
      if (!request.IsTo("/x")) return;
      resume_ = request.socket;
      stop_call_->abort();
    };
  }

  int stops_ = 0;
  QTcpSocket* stop_call_ = nullptr;
  // The request that is to resume the run at the target.
  QTcpSocket* resume_ = nullptr;
};

// Guards against stopping a run that goes on: it resumed at its source, which
// was still being asked to stop it.
TEST_F(LateStopTest, RunDoesNotResumeWhereItIsBeingStopped) {
  Send(RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.complete, false);
  EXPECT_GE(stops_, 2);
  EXPECT_EQ(std::ranges::count_if(first_.heads,
                                  [](const std::string& head) {
                                    return head.starts_with("POST /x");
                                  }),
            1);
}

}  // namespace
}  // namespace balsam::gateway
