// An engine that writes an earlier response once more on a connection that was
// kept: what callers are told, and how often their requests run.
#include <gtest/gtest.h>

#include <QTcpSocket>
#include <QTimer>
#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "tests/services/gateway/exchange_fixture.h"
#include "tests/services/gateway/gateway_node_fixture.h"

namespace balsam::gateway {
namespace {

// Returns the value of a request's `Request-Id`.
std::string IdOf(const std::string& head) {
  constexpr std::string_view kName = "Request-Id: ";
  const std::size_t begin = head.find(kName) + kName.size();
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

// An engine that refuses the first request on each connection, and writes that
// refusal again before it responds to any later one, which it runs.
class RepeatingEngine {
 public:
  // `refusal`: status line and fields.
  void Script(ScriptedEngine& engine, const std::string& refusal) {
    engine.on_request = [this, refusal](const auto& request) {
      const std::string id = IdOf(request.head);
      const bool is_first = refused_.insert(request.socket).second;
      std::string text = "HTTP/1.1 " + refusal + "Content-Length: 0\r\n\r\n";
      if (!is_first || !refuses_) {
        ++runs_[id];
        const std::string own = "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                                "\r\nResponse-Seal: s\r\n"
                                "Content-Length: 3\r\n\r\nran";
        text = is_first ? own : text + own;
      }
      request.socket->write(text.data(), static_cast<qint64>(text.size()));
    };
  }
  // Requests on new connections are run from now on.
  void StopRefusing() { refuses_ = false; }
  int Runs(const std::string& id) const {
    const auto found = runs_.find(id);
    return found == runs_.end() ? 0 : found->second;
  }

 private:
  std::set<QTcpSocket*> refused_;
  std::map<std::string, int> runs_;
  bool refuses_ = true;
};

class RepeatedRefusalTest : public GatewayNodeTest {
 protected:
  RepeatedRefusalTest() { kind_ = "non_idempotent"; }

  // Sends a request on a new connection and returns the response's status.
  int Status(const std::string& id) {
    QTcpSocket client;
    client.connectToHost("127.0.0.1", client_port_);
    const std::string request =
        "POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
        "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    client.write(request.data(), static_cast<qint64>(request.size()));
    std::string response;
    EXPECT_TRUE(RunUntil([&] {
      response += client.readAll().toStdString();
      return client.state() == QAbstractSocket::UnconnectedState;
    }));
    return response.size() < 12 ? 0 : std::stoi(response.substr(9, 3));
  }

  RepeatingEngine engines_;
};

class RefusalStatusTest : public RepeatedRefusalTest,
                          public testing::WithParamInterface<const char*> {};

INSTANTIATE_TEST_SUITE_P(Statuses, RefusalStatusTest,
                         testing::Values("503 Full", "429 Slow", "408 Late"));

// A caller was told "not run, try again" for a request that ran: the engine
// wrote the refusal of an earlier request, which named none, once more.
TEST_P(RefusalStatusTest, RepeatedRefusalWithoutIdIsNoProof) {
  engines_.Script(first_, std::string(GetParam()) + "\r\nNot-Run: 1\r\n");
  Publish({&first_});
  EXPECT_NE(Status("r-1"), 200);
  engines_.StopRefusing();
  const int status = Status("r-2");
  EXPECT_EQ(engines_.Runs("r-2"), 1);
  EXPECT_EQ(status, 200);
}

// The same, and the request ran at a second engine too.
TEST_F(RepeatedRefusalTest, RequestBehindRepeatedRefusalRunsOnce) {
  attempts_ = 2;
  engines_.Script(first_, "503 Full\r\nNot-Run: 1\r\n");
  engines_.Script(second_, "503 Full\r\nNot-Run: 1\r\n");
  Publish({&first_, &second_});
  // Refused by both.
  EXPECT_EQ(Status("r-1"), 503);
  engines_.StopRefusing();
  const int status = Status("r-2");
  EXPECT_EQ(engines_.Runs("r-2"), 1);
  EXPECT_EQ(status, 200);
}

// The same with a refusal that names the earlier request. Its connection is
// used again, and the refusal is rejected where the next response is due.
TEST_F(RepeatedRefusalTest, RepeatedRefusalOfNamedRequestIsNoProof) {
  attempts_ = 2;
  const std::string refusal = "503 Full\r\nNot-Run: 1\r\nRequest-Id: r-1\r\n";
  engines_.Script(first_, refusal);
  engines_.Script(second_, refusal);
  Publish({&first_, &second_});
  EXPECT_EQ(Status("r-1"), 503);
  engines_.StopRefusing();
  const int status = Status("r-2");
  EXPECT_EQ(engines_.Runs("r-2"), 1);
  EXPECT_TRUE(status == 200 || status == 502) << status;
}

// What an engine may write once more at other moments. All of these held.
class RepeatedResponseTest : public RepeatedRefusalTest {
 protected:
  static void Write(QTcpSocket* socket, const std::string& text) {
    socket->write(text.data(), static_cast<qint64>(text.size()));
  }
  static std::string Own(const std::string& id) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
           "\r\nResponse-Seal: s\r\nContent-Length: 3\r\n\r\nran";
  }
  const std::string refusal_ =
      "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
};

TEST_F(RepeatedResponseTest, RefusalsInOneReadEndTheConnection) {
  std::set<QTcpSocket*> refused;
  first_.on_request = [&](const auto& request) {
    const std::string id = IdOf(request.head);
    const bool is_new = refused.insert(request.socket).second;
    EXPECT_TRUE(is_new) << id;
    Write(request.socket, id == "r-1" ? refusal_ + refusal_ : Own(id));
  };
  Publish({&first_});
  EXPECT_EQ(Status("r-1"), 503);
  EXPECT_EQ(Status("r-2"), 200);
}

TEST_F(RepeatedResponseTest, RefusalInsideChunkedBodyBreaksTheResponse) {
  first_.on_request = [&](const auto& request) {
    Write(request.socket,
          "HTTP/1.1 200 OK\r\nRequest-Id: " + IdOf(request.head) +
              "\r\nResponse-Seal: s\r\n"
              "Transfer-Encoding: chunked\r\n\r\n" +
              http1::EncodeChunk("half") + refusal_ +
              http1::EncodeChunk("rest") + "0\r\n\r\n");
  };
  Publish({&first_});
  EXPECT_EQ(Status("r-1"), 502);
}

TEST_F(RepeatedResponseTest, InterimResponsesAreNoResponse) {
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  first_.on_request = [&](const auto& request) {
    Write(request.socket, interim + interim + Own(IdOf(request.head)));
  };
  Publish({&first_});
  EXPECT_EQ(Status("r-1"), 200);
  EXPECT_EQ(Status("r-2"), 200);
}

// The address belongs to another engine now, which said so. The engine that is
// listed there next is not taken for the one that is gone.
TEST_F(RepeatedResponseTest,
       MisdirectedResponseConcernsOnlyTheEngineThatIsGone) {
  const std::string misdirected =
      "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-1\r\n"
      "Content-Length: 0\r\n\r\n";
  QTcpSocket* misdirected_socket = nullptr;
  first_.on_request = [&](const auto& request) {
    if (request.head.find("Expect-Instance: i-0") == std::string::npos) {
      Write(request.socket, Own(IdOf(request.head)));
      return;
    }
    misdirected_socket = request.socket;
    Write(request.socket, misdirected);
  };
  Publish({&first_});
  EXPECT_EQ(Status("r-1"), 503);
  ASSERT_NE(misdirected_socket, nullptr);
  node_->OnStoreChanges({EntryOf(1, first_, 1)}, revision_);
  Write(misdirected_socket, misdirected);
  ASSERT_TRUE(RunUntil([&] {
    return misdirected_socket->state() == QAbstractSocket::UnconnectedState;
  }));
  EXPECT_EQ(Status("r-2"), 200);
  EXPECT_EQ(Status("r-3"), 200);
}

// A run that moves from the first engine, which leaves after two events, to the
// second one, which sends the last two.
class RepeatedResponseInMoveTest : public ExchangeTest {
 protected:
  RepeatedResponseInMoveTest() {
    first_.on_request = [this](const auto& request) {
      if (request.IsTo("/kv-move")) {
        ReplyToCopy(request.socket, ++copies_);
      } else {
        BeginStream(request.socket, 1, 2);
      }
    };
    second_.on_request = [](const auto& request) {
      BeginStream(request.socket, 3, 4);
      EndStream(request.socket);
    };
    sink_.on_text = [this] {
      if (std::exchange(noticed_, true)) return;
      Announce("i-1", first_, true);
      exchange_->OnServerLeaving("i-1");
    };
  }

  static void ReplyToCopy(QTcpSocket* socket, int copy) {
    Reply(socket, "200 OK", "",
          R"({"handle":"c-)" + std::to_string(copy) + R"(","created":2})");
  }
  // Leaves a connection to the engine in the pool, on which another run was to
  // be copied.
  void CopyOtherRun(const std::string& id, const ScriptedEngine& engine) {
    bool has_response = false;
    OutboundConnection* const connection = context_.pool.Acquire(
        id, {"127.0.0.1", engine.port()}, ConnectionPool::Use::kRequest);
    connection->Call(
        dialect_.MakeCopyCall("r-0", {"127.0.0.1", 1}, false).ToBytes(),
        kTestLimit, [&](const OutboundConnection::Response&) {
          context_.pool.Release(id, connection);
          has_response = true;
        });
    ASSERT_TRUE(RunUntil([&] { return has_response; }));
  }
  // Runs the request and expects its stream to be complete.
  void Run() {
    Send(routing::RequestKind::kStream, 1);
    RunUntilDone();
    EXPECT_EQ(sink_.complete, true);
    EXPECT_TRUE(sink_.text.ends_with("id: 4\ndata: t\n\n")) << sink_.text;
  }
  // How often the engine was to run or resume the request.
  static int Runs(const ScriptedEngine& engine) {
    return static_cast<int>(std::ranges::count_if(
        engine.heads,
        [](const auto& head) { return head.starts_with("POST /x"); }));
  }

  int copies_ = 0;
  bool noticed_ = false;
};

// A refusal of another request, written once more, was taken for the response
// to the call that stops a run and copies it: the run went on at the engine
// that leaves, although it had been copied to another one.
TEST_F(RepeatedResponseInMoveTest, RefusalOfRequestIsNoResponseToCopyCall) {
  first_.on_request = [this](const auto& request) {
    if (!request.IsTo("/kv-move")) {
      BeginStream(request.socket, 1, 2);
      return;
    }
    if (++copies_ == 2) {
      Reply(request.socket, "503 Full", "Not-Run: 1\r\nRequest-Id: r-0\r\n",
            "");
    }
    ReplyToCopy(request.socket, copies_);
  };
  Run();
  EXPECT_EQ(Runs(first_), 1);
  EXPECT_EQ(Runs(second_), 1);
}

// The response to the copy call of another run, written once more, was taken
// for the response to this run's call: it was to go on from the memory of the
// other one.
TEST_F(RepeatedResponseInMoveTest, CopyOfAnotherRunIsNotUsed) {
  std::set<QTcpSocket*> used;
  first_.on_request = [&](const auto& request) {
    if (!request.IsTo("/kv-move")) {
      BeginStream(request.socket, 1, 2);
      return;
    }
    if (!used.insert(request.socket).second) ReplyToCopy(request.socket, 1);
    ReplyToCopy(request.socket, ++copies_);
  };
  CopyOtherRun("i-1", first_);
  Run();
  ASSERT_EQ(Runs(second_), 1);
  EXPECT_EQ(second_.heads.back().find("/c-1"), std::string::npos)
      << second_.heads.back();
}

// A refusal written once more was taken for the response of the engine that
// resumes a run, while it ran: the run was resumed at its former engine too.
TEST_F(RepeatedResponseInMoveTest, RunIsNotResumedTwiceAfterRepeatedRefusal) {
  std::set<QTcpSocket*> used;
  second_.on_request = [&](const auto& request) {
    const bool is_first = used.insert(request.socket).second;
    if (!is_first || request.IsTo("/kv-move")) {
      Reply(request.socket, "503 Full", "Not-Run: 1\r\n", "");
    }
    if (request.IsTo("/kv-move")) return;
    BeginStream(request.socket, 3, 4);
    EndStream(request.socket);
  };
  CopyOtherRun("i-2", second_);
  Run();
  EXPECT_EQ(Runs(first_), 1);
  EXPECT_EQ(Runs(second_), 1);
}

// The same with a refusal that names another request, so that it is rejected:
// the new engine may run the request all the same.
TEST_F(RepeatedResponseInMoveTest, RunIsNotResumedTwiceAfterRejectedResponse) {
  second_.on_request = [](const auto& request) {
    Reply(request.socket, "503 Full", "Not-Run: 1\r\nRequest-Id: r-0\r\n", "");
  };
  Send(routing::RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.complete, false);
  EXPECT_EQ(Runs(first_), 1);
  EXPECT_EQ(Runs(second_), 1);
}

// An engine that refused a run is not asked again when the run has to move once
// more, so that a refusal which names the run cannot be an earlier one.
TEST_F(RepeatedResponseInMoveTest, EngineThatRefusedIsNotAskedAgain) {
  second_.on_request = [](const auto& request) {
    Reply(request.socket, "503 Full", "Not-Run: 1\r\nRequest-Id: r-1\r\n", "");
  };
  QTcpSocket* resumed = nullptr;
  first_.on_request = [&](const auto& request) {
    if (request.IsTo("/kv-move")) {
      ReplyToCopy(request.socket, ++copies_);
      return;
    }
    const bool is_resumed = request.head.find("Kv-From") != std::string::npos;
    if (is_resumed) resumed = request.socket;
    BeginStream(request.socket, is_resumed ? 3 : 1, is_resumed ? 4 : 2);
  };
  // The second engine could be chosen again before the run moves once more.
  sink_.on_text = [this] {
    if (!std::exchange(noticed_, true)) exchange_->OnServerLeaving("i-1");
  };
  Send(routing::RequestKind::kStream, 1);
  dispatch::Demand other;
  other.service = "s";
  other.excluded = {"i-1"};
  ASSERT_TRUE(RunUntil([&] {
    return sink_.text.ends_with("4\ndata: t\n\n") &&
           context_.selector
               .Select(context_.directory,
                       &*context_.routes->FindService("s")->engine, other,
                       BootClock::now())
               .has_value();
  }));
  exchange_->OnServerLeaving("i-1");
  const auto usage = context_.selector.LocalUsage(BootClock::now());
  const auto reserved = usage.find(dispatch::ServerKey("i-2"));
  ASSERT_NE(reserved, usage.end());
  // The two other requests that are there from the beginning.
  EXPECT_EQ(reserved->second.requests, 2);
  EndStream(resumed);
  RunUntilDone();
  EXPECT_EQ(sink_.complete, true);
  EXPECT_EQ(Runs(second_), 1);
}

class RejectedResponseTest : public ExchangeTest {};

// A request was quarantined as one that crashes engines, since its response had
// been rejected three times; no engine had crashed.
TEST_F(RejectedResponseTest, RejectedResponseIsNoCrash) {
  for (ScriptedEngine* engine : {&first_, &second_}) {
    engine->on_request = [](const auto& request) {
      Reply(request.socket, "503 Full", "Not-Run: 1\r\nRequest-Id: r-0\r\n",
            "");
    };
  }
  constexpr int kRequests = 4;
  for (int i = 0; i < kRequests; ++i) {
    sink_.complete.reset();
    Send(routing::RequestKind::kNonIdempotent, 1);
    RunUntilDone();
  }
  EXPECT_EQ(first_.heads.size() + second_.heads.size(), std::size_t{kRequests});
}

}  // namespace
}  // namespace balsam::gateway
