// Runs whose engine leaves, and whose move to another engine fails in the end.
#include <cstddef>
#include <string>

#include "tests/services/gateway/exchange_fixture.h"

namespace balsam::gateway {
namespace {

using routing::RequestKind;
using std::chrono::milliseconds;

constexpr char kCopied[] = R"({"handle":"c-1","created":2})";
constexpr char kFirstTwoEvents[] = "id: 1\ndata: t\n\nid: 2\ndata: t\n\n";

// The first engine leaves after two events of a stream. It copies the run, and
// stops it on the second call, but the target has no room for the rest.
class FailedMoveTest : public ExchangeTest {
 protected:
  FailedMoveTest() {
    first_.on_request = [this](const ScriptedEngine::Request& request) {
      if (request.IsTo("/kv-move")) {
        Copy(request);
      } else if (request.IsTo("/x")) {
        stream_ = request.socket;
        BeginStream(request.socket, 1, 2);
      }
    };
    sink_.on_text = [this] {
      if (std::exchange(noticed_, true)) return;
      Announce("i-1", first_, /*leaving=*/true);
      exchange_->OnServerLeaving("i-1");
    };
  }

  void Copy(const ScriptedEngine::Request& request) {
    if (request.body.find("\"last\":true") == std::string::npos) {
      Reply(request.socket, "200 OK", "", kCopied);
      return;
    }
    if (on_stop) on_stop();
    Reply(request.socket, "503 Service Unavailable", "", kCopied);
  }

  // The source starts anew at the same address, and does not hold the run.
  void RestartSource() {
    directory::BackendServer server = *context_.directory.Find("i-1");
    server.age = milliseconds(0);
    exchange_->OnServerRestarted(server);
  }

  std::function<void()> on_stop;
  QTcpSocket* stream_ = nullptr;
  bool noticed_ = false;
};

// Guards against a crash of the gateway (review/11): a request was given up
// while the connection to its source was open, which then called into it.
TEST_F(FailedMoveTest, StreamOfLostRunIsClosedWithItsRequest) {
  on_stop = [this] { RestartSource(); };
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
  on_stop = [this] { RestartSource(); };
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
  on_stop = [this] { context_.directory.evacuations().OnRequested("i-1"); };
  Send(RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.complete, true);
  EXPECT_EQ(sink_.text, std::string(kFirstTwoEvents) +
                            "id: 3\ndata: t\n\nid: 4\ndata: t\n\n");
}

// Guards against a run that goes on at two engines (review/13): its engine,
// which was leaving, reset the calls that were to stop it and the stream. The
// run went on elsewhere, and nothing asked the engine again.
class FailedStopTest : public ExchangeTest {
 protected:
  FailedStopTest() {
    first_.on_request = [this](const ScriptedEngine::Request& request) {
      if (request.IsTo("/kv-move")) {
        OnCopyCall(request);
      } else if (request.IsTo("/x")) {
        is_running_ = true;
        stream_ = request.socket;
        BeginStream(request.socket, 1, 2);
      } else {
        Reply(request.socket, "200 OK", "", "{}");
      }
    };
    second_.on_request = [this](const ScriptedEngine::Request& request) {
      if (!request.IsTo("/x")) return;
      ++resumed_;
      EXPECT_FALSE(is_running_);
      BeginStream(request.socket, 3, 4);
      EndStream(request.socket);
    };
    sink_.on_text = [this] {
      if (std::exchange(noticed_, true)) return;
      Announce("i-1", first_, /*leaving=*/true);
      exchange_->OnServerLeaving("i-1");
    };
  }

  void OnCopyCall(const ScriptedEngine::Request& request) {
    if (request.body.find("\"last\":true") == std::string::npos) {
      Reply(request.socket, "200 OK", "", kCopied);
      return;
    }
    if (++stops_ > failed_stops_) {
      is_running_ = false;
      Reply(request.socket, "200 OK", "", kCopied);
      return;
    }
    request.socket->abort();
    if (stops_ == 1) stream_->abort();
  }

  // So many calls that stop the run fail.
  int failed_stops_ = 2;
  int stops_ = 0;
  int resumed_ = 0;
  // The first engine works on the run.
  bool is_running_ = false;
  QTcpSocket* stream_ = nullptr;
  bool noticed_ = false;
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

}  // namespace
}  // namespace balsam::gateway
