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

}  // namespace
}  // namespace balsam::gateway
