// Provokes failures in the gateway and explains them from its log alone.
#include <easylogging++.h>

#include <algorithm>
#include <functional>

#include "libraries/explanation/cause.h"
#include "libraries/explanation/request_timeline.h"
#include "tests/services/gateway/exchange_fixture.h"

namespace balsam::gateway {
namespace {

using routing::RequestKind;

// Collects the log messages of the running test.
class LogCapture : public el::LogDispatchCallback {
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
    el::Helpers::installLogDispatchCallback<LogCapture>("tap");
  }
  static void TearDownTestSuite() {
    el::Helpers::uninstallLogDispatchCallback<LogCapture>("tap");
  }
  ExplanationTest() { LogCapture::Lines().clear(); }

  static explanation::Cause Explain() {
    explanation::RequestTimeline timeline("r-1");
    for (const std::string& text : LogCapture::Lines()) {
      const auto line = explanation::ParseLogLine(text, "gateway");
      if (line.has_value()) timeline.Add(*line);
    }
    return explanation::FindCause(timeline.Lines());
  }

  // Does what the node does when it learns that the engine is leaving.
  void NotifyLeaving(const std::string& id, const ScriptedEngine& engine) {
    Announce(id, engine, true);
    exchange_->OnServerLeaving(id);
  }

  static void CloseConnection(QTcpSocket* socket) {
    socket->flush();
    socket->disconnectFromHost();
  }

  // Starts a stream at the first engine and then announces that the engine is
  // leaving. `on_copy` is called for each call that copies the run.
  void LoseRunDuringCopy(
      const std::function<void(const ScriptedEngine::Request&)>& on_copy) {
    first_.on_request = [&](const auto& request) {
      if (request.IsTo("/kv-move")) {
        on_copy(request);
        return;
      }
      source_ = request.socket;
      BeginStream(source_, 1, 2);
    };
    sink_.on_text = [this] { NotifyLeaving("i-1", first_); };
    Send(RequestKind::kStream, 1);
    RunUntilDone();
  }

  QTcpSocket* source_ = nullptr;
};

TEST_F(ExplanationTest, ServedRequest) {
  first_.on_request = [](const auto& request) { ReplyOk(request.socket, "x"); };
  Send(RequestKind::kNonIdempotent, 1);
  RunUntilDone();
  EXPECT_EQ(Explain().name, "served");
}

// Guards against a warning for each successful response that is too long to be
// held back.
TEST_F(ExplanationTest, ServedLongResponseIsNoFailedAttempt) {
  const std::string body(1 << 20, 'x');
  first_.on_request = ReplyingOk(body);
  Send(RequestKind::kNonIdempotent, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.text.size(), body.size());
  EXPECT_EQ(Explain().name, "served");
  EXPECT_TRUE(std::ranges::none_of(LogCapture::Lines(), [](const auto& line) {
    return line.find("attempt_ended") != std::string::npos;
  }));
}

TEST_F(ExplanationTest, ServerError) {
  first_.on_request = [](const auto& request) {
    Reply(request.socket, "500 Error",
          "Request-Id: r-1\r\nResponse-Seal: s\r\n", "broken");
  };
  Send(RequestKind::kNonIdempotent, 1);
  RunUntilDone();
  const explanation::Cause cause = Explain();
  EXPECT_EQ(cause.name, "server_error");
  EXPECT_NE(cause.text.find("i-1"), std::string::npos);
}

TEST_F(ExplanationTest, LostResponse) {
  first_.on_request = [](const auto& request) { request.socket->abort(); };
  Send(RequestKind::kNonIdempotent, 1);
  RunUntilDone();
  const explanation::Cause cause = Explain();
  EXPECT_EQ(cause.name, "answer_lost");
  EXPECT_TRUE(cause.deciding_line.has_value());
}

TEST_F(ExplanationTest, ResponseToAnotherRequest) {
  first_.on_request = [](const auto& request) {
    Reply(request.socket, "200 OK", "Request-Id: r-0\r\nResponse-Seal: s\r\n",
          "x");
  };
  Send(RequestKind::kNonIdempotent, 1);
  RunUntilDone();
  EXPECT_EQ(Explain().name, "answer_rejected");
}

TEST_F(ExplanationTest, ServerRefusal) {
  first_.on_request = [](const auto& request) {
    Reply(request.socket, "503 Full", "Not-Run: 1\r\n", "");
  };
  Send(RequestKind::kNonIdempotent, 1);
  RunUntilDone();
  EXPECT_EQ(Explain().name, "server_refused");
}

TEST_F(ExplanationTest, EngineCrash) {
  first_.on_request = [](const auto& request) {
    BeginStream(request.socket, 1, 2);
    CloseConnection(request.socket);
  };
  Send(RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(Explain().name, "engine_lost_without_notice");
}

TEST_F(ExplanationTest, EngineGoneBeforeCopy) {
  LoseRunDuringCopy([this](const auto&) { CloseConnection(source_); });
  EXPECT_EQ(Explain().name, "engine_left_before_copy");
}

TEST_F(ExplanationTest, NoTargetWithCapacity) {
  first_.on_request = [this](const auto& request) {
    source_ = request.socket;
    BeginStream(source_, 1, 2);
  };
  sink_.on_text = [this] {
    Announce("i-2", second_, true);
    NotifyLeaving("i-1", first_);
    CloseConnection(source_);
  };
  Send(RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(Explain().name, "no_target_for_copy");
}

TEST_F(ExplanationTest, CopyWithoutCapacity) {
  bool refused = false;
  LoseRunDuringCopy([&](const auto& request) {
    // The source is gone by the second attempt.
    if (std::exchange(refused, true)) {
      CloseConnection(source_);
    } else {
      Reply(request.socket, "503 Full", "", "{}");
    }
  });
  EXPECT_EQ(Explain().name, "no_room_for_copy");
}

TEST_F(ExplanationTest, CopyRefusedByTarget) {
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
  sink_.on_text = [this] { NotifyLeaving("i-1", first_); };
  Send(RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(Explain().name, "copy_refused");
}

TEST_F(ExplanationTest, MissingEvent) {
  first_.on_request = [](const auto& request) {
    BeginStream(request.socket, 1, 1);
    const std::string chunk = http1::EncodeChunk("id: 3\ndata: t\n\n");
    request.socket->write(chunk.data(), static_cast<qint64>(chunk.size()));
  };
  Send(RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(Explain().name, "event_gap");
}

TEST_F(ExplanationTest, Deadline) {
  route_timeout_ = std::chrono::milliseconds(30);
  first_.on_request = [](const auto&) {};
  Send(RequestKind::kNonIdempotent, 1);
  RunUntilDone();
  EXPECT_EQ(Explain().name, "deadline");
}

TEST_F(ExplanationTest, ClientDisconnect) {
  first_.on_request = [this](const auto&) {
    exchange_->Cancel();
    sink_.BreakOff();
  };
  Send(RequestKind::kNonIdempotent, 1);
  RunUntilDone();
  EXPECT_EQ(Explain().name, "client_left");
}

TEST_F(ExplanationTest, QuarantinedRequest) {
  CrashOnRequests();
  for (int attempt = 0; attempt < 4; ++attempt) {
    sink_.complete.reset();
    LogCapture::Lines().clear();
    Send(RequestKind::kNonIdempotent, 1);
    RunUntilDone();
    RestartEngines();
  }
  EXPECT_EQ(Explain().name, "quarantined");
}

TEST_F(ExplanationTest, NoBackendServer) {
  Announce("i-1", first_, true);
  Announce("i-2", second_, true);
  Send(RequestKind::kNonIdempotent, 1);
  RunUntilDone();
  EXPECT_EQ(Explain().name, "no_backend_server");
}

TEST_F(ExplanationTest, NoConfiguration) {
  SendRequest();
  RunUntilDone();
  EXPECT_EQ(Explain().name, "no_configuration");
}

// Guards against a refusal for good by a gateway that knows that it is behind
// (review/10, DENIED).
TEST_F(ExplanationTest, UnknownPathWhileNewerConfigurationExists) {
  Offer(RequestKind::kNonIdempotent, 1);
  context_.configuration_state = ConfigurationState::kNewerExists;
  http1::RequestHead head;
  head.method = "GET";
  head.target = "/x";
  head.fields.Add("Host", "elsewhere");
  head.fields.Add("Request-Id", "r-1");
  Exchange exchange(context_, sink_, std::move(head), "", BootClock::now());
  exchange.Start();
  RunUntilDone();
  EXPECT_EQ(Explain().name, "newer_configuration");
  EXPECT_EQ(sink_.status, 503);
}

TEST_F(ExplanationTest, OutdatedConfiguration) {
  Offer(RequestKind::kNonIdempotent, 1);
  context_.configuration_state = ConfigurationState::kOutdated;
  SendRequest();
  RunUntilDone();
  EXPECT_EQ(Explain().name, "outdated_configuration");
}

TEST_F(ExplanationTest, UnknownPath) {
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
