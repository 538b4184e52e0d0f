// Failures that are provoked in the gateway, explained from nothing but its
// log.
#include <easylogging++.h>

#include <functional>

#include "libraries/explanation/cause.h"
#include "libraries/explanation/request_story.h"
#include "tests/services/gateway/exchange_fixture.h"

namespace balsam::gateway {
namespace {

using routing::RequestKind;

// Hands each line of the log to the test that runs.
class LogTap : public el::LogDispatchCallback {
 public:
  static std::vector<std::string>& Lines() {
    static std::vector<std::string> lines;
    return lines;
  }

 protected:
  void handle(const el::LogDispatchData* data) override {
    Lines().push_back(data->logMessage()->message());
  }
};

class ExplanationTest : public ExchangeTest {
 protected:
  static void SetUpTestSuite() {
    el::Helpers::installLogDispatchCallback<LogTap>("tap");
  }
  static void TearDownTestSuite() {
    el::Helpers::uninstallLogDispatchCallback<LogTap>("tap");
  }
  ExplanationTest() { LogTap::Lines().clear(); }

  static explanation::Cause Explain() {
    explanation::RequestStory story("r-1");
    for (const std::string& text : LogTap::Lines()) {
      const auto line = explanation::ParseLogLine(text, "gateway");
      if (line.has_value()) story.Add(*line);
    }
    return explanation::FindCause(story.Lines());
  }

  // What the node writes when it learns that the engine leaves.
  void TellLeaving(const std::string& id, const ScriptedEngine& engine) {
    Announce(id, engine, true);
    exchange_->OnServerLeaving(id);
  }

  static void Break(QTcpSocket* socket) {
    socket->flush();
    socket->disconnectFromHost();
  }

  // Begins a stream at the first engine, which is then told to leave; `on_copy`
  // is called for each call that copies the run.
  void LoseRunAtCopy(
      const std::function<void(const ScriptedEngine::Request&)>& on_copy) {
    first_.on_request = [&](const auto& request) {
      if (request.IsTo("/kv-move")) {
        on_copy(request);
        return;
      }
      source_ = request.socket;
      BeginStream(source_, 1, 2);
    };
    sink_.on_text = [this] { TellLeaving("i-1", first_); };
    Send(RequestKind::kStream, 1);
    RunUntilEnd();
  }

  QTcpSocket* source_ = nullptr;
};

TEST_F(ExplanationTest, AServedRequest) {
  first_.on_request = [](const auto& request) { ReplyOk(request.socket, "x"); };
  Send(RequestKind::kNonIdempotent, 1);
  RunUntilEnd();
  EXPECT_EQ(Explain().name, "served");
}

TEST_F(ExplanationTest, AServersOwnError) {
  first_.on_request = [](const auto& request) {
    Reply(request.socket, "500 Error",
          "Request-Id: r-1\r\nResponse-Seal: s\r\n", "broken");
  };
  Send(RequestKind::kNonIdempotent, 1);
  RunUntilEnd();
  const explanation::Cause cause = Explain();
  EXPECT_EQ(cause.name, "server_error");
  EXPECT_NE(cause.text.find("i-1"), std::string::npos);
}

TEST_F(ExplanationTest, ALostAnswer) {
  first_.on_request = [](const auto& request) { request.socket->abort(); };
  Send(RequestKind::kNonIdempotent, 1);
  RunUntilEnd();
  const explanation::Cause cause = Explain();
  EXPECT_EQ(cause.name, "answer_lost");
  EXPECT_TRUE(cause.deciding_line.has_value());
}

TEST_F(ExplanationTest, AnAnswerToAnotherRequest) {
  first_.on_request = [](const auto& request) {
    Reply(request.socket, "200 OK", "Request-Id: r-0\r\nResponse-Seal: s\r\n",
          "x");
  };
  Send(RequestKind::kNonIdempotent, 1);
  RunUntilEnd();
  EXPECT_EQ(Explain().name, "answer_rejected");
}

TEST_F(ExplanationTest, AServerThatRefused) {
  first_.on_request = [](const auto& request) {
    Reply(request.socket, "503 Full", "Not-Run: 1\r\n", "");
  };
  Send(RequestKind::kNonIdempotent, 1);
  RunUntilEnd();
  EXPECT_EQ(Explain().name, "server_refused");
}

TEST_F(ExplanationTest, AnEngineThatCrashed) {
  first_.on_request = [](const auto& request) {
    BeginStream(request.socket, 1, 2);
    Break(request.socket);
  };
  Send(RequestKind::kStream, 1);
  RunUntilEnd();
  EXPECT_EQ(Explain().name, "engine_lost_without_notice");
}

TEST_F(ExplanationTest, AnEngineThatLeftBeforeTheCopyWasMade) {
  LoseRunAtCopy([this](const auto&) { Break(source_); });
  EXPECT_EQ(Explain().name, "engine_left_before_copy");
}

TEST_F(ExplanationTest, ARunThatNoEngineHadRoomFor) {
  first_.on_request = [this](const auto& request) {
    source_ = request.socket;
    BeginStream(source_, 1, 2);
  };
  sink_.on_text = [this] {
    Announce("i-2", second_, true);
    TellLeaving("i-1", first_);
    Break(source_);
  };
  Send(RequestKind::kStream, 1);
  RunUntilEnd();
  EXPECT_EQ(Explain().name, "no_target_for_copy");
}

TEST_F(ExplanationTest, ACopyThatFoundNoRoom) {
  bool refused = false;
  LoseRunAtCopy([&](const auto& request) {
    // It is gone by the second try.
    if (std::exchange(refused, true)) {
      Break(source_);
    } else {
      Reply(request.socket, "503 Full", "", "{}");
    }
  });
  EXPECT_EQ(Explain().name, "no_room_for_copy");
}

TEST_F(ExplanationTest, ACopyThatItsHolderRefused) {
  bool ran = false;
  first_.on_request = [&](const auto& request) {
    if (request.IsTo("/kv-move")) {
      Reply(request.socket, "200 OK", "", R"({"handle":"c-1","created":2})");
      return;
    }
    if (std::exchange(ran, true)) {
      Reply(request.socket, "503 Full", "Not-Run: 1\r\n", "");
      return;
    }
    BeginStream(request.socket, 1, 2);
  };
  second_.on_request = [](const auto& request) {
    Reply(request.socket, "503 Full", "Not-Run: 1\r\n", "");
  };
  sink_.on_text = [this] { TellLeaving("i-1", first_); };
  Send(RequestKind::kStream, 1);
  RunUntilEnd();
  EXPECT_EQ(Explain().name, "copy_refused");
}

TEST_F(ExplanationTest, AnEventThatIsMissing) {
  first_.on_request = [](const auto& request) {
    BeginStream(request.socket, 1, 1);
    const std::string chunk = http1::EncodeChunk("id: 3\ndata: t\n\n");
    request.socket->write(chunk.data(), static_cast<qint64>(chunk.size()));
  };
  Send(RequestKind::kStream, 1);
  RunUntilEnd();
  EXPECT_EQ(Explain().name, "event_gap");
}

TEST_F(ExplanationTest, ADeadline) {
  route_timeout_ = std::chrono::milliseconds(30);
  first_.on_request = [](const auto&) {};
  Send(RequestKind::kNonIdempotent, 1);
  RunUntilEnd();
  EXPECT_EQ(Explain().name, "deadline");
}

TEST_F(ExplanationTest, AClientThatLeft) {
  first_.on_request = [this](const auto&) {
    exchange_->Cancel();
    sink_.BreakOff();
  };
  Send(RequestKind::kNonIdempotent, 1);
  RunUntilEnd();
  EXPECT_EQ(Explain().name, "client_left");
}

TEST_F(ExplanationTest, ARequestThatCrashesServers) {
  first_.on_request = [](const auto& request) { request.socket->abort(); };
  second_.on_request = first_.on_request;
  for (int attempt = 0; attempt < 4; ++attempt) {
    sink_.complete.reset();
    LogTap::Lines().clear();
    Send(RequestKind::kNonIdempotent, 1);
    RunUntilEnd();
  }
  EXPECT_EQ(Explain().name, "quarantined");
}

TEST_F(ExplanationTest, NoServerAtAll) {
  Announce("i-1", first_, true);
  Announce("i-2", second_, true);
  Send(RequestKind::kNonIdempotent, 1);
  RunUntilEnd();
  EXPECT_EQ(Explain().name, "no_backend_server");
}

TEST_F(ExplanationTest, AProcessThatKnewNoConfiguration) {
  SendRequest();
  RunUntilEnd();
  EXPECT_EQ(Explain().name, "no_configuration");
}

TEST_F(ExplanationTest, AnUnknownPath) {
  Offer(RequestKind::kNonIdempotent, 1);
  http1::RequestHead head;
  head.method = "GET";
  head.target = "/x";
  head.fields.Add("Host", "elsewhere");
  head.fields.Add("Request-Id", "r-1");
  Exchange exchange(context_, sink_, std::move(head), "", BootClock::now());
  exchange.Start();
  EXPECT_EQ(Explain().name, "no_route");
}

}  // namespace
}  // namespace balsam::gateway
