// Streams that a second run continues after the first one ended early, against
// scripted engines.
#include <sys/socket.h>

#include <algorithm>
#include <cstddef>

#include "tests/services/gateway/exchange_fixture.h"

namespace balsam::gateway {
namespace {

constexpr char kFirstTwoEvents[] = "id: 1\ndata: t\n\nid: 2\ndata: t\n\n";
// An engine's response to a call that copies a run of two events.
constexpr char kCopied[] = R"({"handle":"c-1","created":2})";

class StreamContinuationTest : public ExchangeTest {
 protected:
  static void Write(QTcpSocket* socket, const std::string& text) {
    socket->write(text.data(), static_cast<qint64>(text.size()));
  }

  // Sends a request whose stream may continue at the second engine.
  void SendResumable() {
    Offer(routing::RequestKind::kStream, 2, /*resumable=*/true);
    SendRequest();
  }

  // Returns a handler for an engine that breaks off after two events.
  static auto BreakingOffAfterTwoEvents() {
    return [](const ScriptedEngine::Request& request) {
      BeginStream(request.socket, 1, 2);
      request.socket->flush();
      request.socket->disconnectFromHost();
    };
  }

  // The first engine is found to be leaving once its events have arrived.
  void NoticeLeavingAtFirstText() {
    sink_.on_text = [this] {
      if (std::exchange(noticed_, true)) return;
      Announce("i-1", first_, true);
      exchange_->OnServerLeaving("i-1");
    };
  }

  static auto Failing(const std::string& status, const std::string& body) {
    return [status, body](const ScriptedEngine::Request& request) {
      Reply(request.socket, status, "Request-Id: r-1\r\n", body);
    };
  }

  void ExpectBrokenOffAfterTwoEvents() {
    EXPECT_EQ(sink_.complete, false);
    EXPECT_EQ(sink_.status, 200);
    EXPECT_EQ(sink_.text, kFirstTwoEvents);
    EXPECT_EQ(Requests(second_), 1);
  }

  // Number of times that the engine got the request. Calls that stop a run are
  // not counted.
  static std::ptrdiff_t Requests(const ScriptedEngine& engine) {
    return std::ranges::count_if(engine.heads, [](const std::string& head) {
      return head.starts_with("POST /x");
    });
  }

  bool noticed_ = false;
};

// Guards against joining events of two runs: an engine stalled within its first
// event, and the bytes of that event were continued with those of the engine
// that the request was sent to instead.
TEST_F(StreamContinuationTest, PartialEventOfSlowRunIsNotJoined) {
  latency_objective_ = std::chrono::milliseconds(50);
  first_.on_request = [](const auto& request) {
    if (request.IsTo("/kv-move")) {
      Reply(request.socket, "503 Service Unavailable", "", kCopied);
    } else if (request.IsTo("/x")) {
      BeginStream(request.socket, 1, 0);
      Write(request.socket, http1::EncodeChunk("id: 1\ndata: stal"));
    }
  };
  second_.on_request = [](const auto& request) {
    BeginStream(request.socket, 1, 2);
    EndStream(request.socket);
  };
  SendResumable();
  RunUntilDone();
  EXPECT_EQ(sink_.complete, true);
  EXPECT_EQ(sink_.text, kFirstTwoEvents);
}

// Guards against an error's text within a stream: a stream broke off, and the
// body of the next engine's error was relayed as if it continued the stream.
TEST_F(StreamContinuationTest, FailureOfNextEngineIsNotRelayed) {
  first_.on_request = BreakingOffAfterTwoEvents();
  second_.on_request = Failing("500 Internal Server Error", "out of memory\n");
  SendResumable();
  RunUntilDone();
  ExpectBrokenOffAfterTwoEvents();
}

// The same for an engine that refuses to resume a run from its copy, after
// which the run resumes at its source.
TEST_F(StreamContinuationTest, RefusalToResumeFromCopyIsNotRelayed) {
  first_.on_request = [](const auto& request) {
    if (request.IsTo("/kv-move")) {
      Reply(request.socket, "200 OK", "", R"({"handle":"c-1","created":2})");
      return;
    }
    const bool is_resume = request.head.find("Kv-From") != std::string::npos;
    BeginStream(request.socket, is_resume ? 3 : 1, is_resume ? 4 : 2);
    if (is_resume) EndStream(request.socket);
  };
  second_.on_request = Failing("503 Service Unavailable", "no such copy\n");
  bool noticed = false;
  sink_.on_text = [&] {
    if (std::exchange(noticed, true)) return;
    Announce("i-1", first_, true);
    exchange_->OnServerLeaving("i-1");
  };
  Send(routing::RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(Requests(second_), 1);
  EXPECT_EQ(sink_.complete, true);
  EXPECT_EQ(sink_.text, std::string(kFirstTwoEvents) +
                            "id: 3\ndata: t\n\nid: 4\ndata: t\n\n");
}

// Guards against a truncated stream that looks complete: the next engine
// rejected the request, and the end of its response ended the stream.
TEST_F(StreamContinuationTest, RejectionByNextEngineDoesNotCompleteStream) {
  first_.on_request = BreakingOffAfterTwoEvents();
  second_.on_request = Failing("404 Not Found", "");
  SendResumable();
  RunUntilDone();
  ExpectBrokenOffAfterTwoEvents();
}

// Guards against a truncated stream that looks complete: the next engine's
// response had neither a length nor chunks, and its connection closed before
// the first event.
TEST_F(StreamContinuationTest, EmptyUnframedRunDoesNotCompleteStream) {
  first_.on_request = BreakingOffAfterTwoEvents();
  second_.on_request = [](const auto& request) {
    Write(request.socket,
          "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\n\r\n");
    request.socket->flush();
    request.socket->disconnectFromHost();
  };
  SendResumable();
  RunUntilDone();
  ExpectBrokenOffAfterTwoEvents();
}

// Guards against events of another request: an engine sent a second response
// after one that had neither a length nor chunks, and its later events were
// relayed as those of the first.
TEST_F(StreamContinuationTest, ResponseAfterUnframedStreamIsNotRelayed) {
  first_.on_request = [](const auto& request) {
    Write(request.socket,
          "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\n\r\n" +
              std::string(kFirstTwoEvents));
    Write(request.socket,
          "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nResponse-Seal: s\r\n\r\n"
          "id: 1\ndata: other\n\nid: 2\ndata: other\n\n"
          "id: 3\ndata: other\n\n");
    request.socket->flush();
    request.socket->disconnectFromHost();
  };
  Send(routing::RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.text, kFirstTwoEvents);
}

// Guards against repeated and missing events for a client that resumes: what it
// has was told to the engine and not compared with what the engine sent.
class ClientResumesTest : public StreamContinuationTest {
 protected:
  // The client has two events, and the engine sends these.
  void SendAndReceive(int first, int last) {
    client_last_event_ = 2;
    first_.on_request = [first, last](const auto& request) {
      BeginStream(request.socket, first, last);
      EndStream(request.socket);
    };
    Offer(routing::RequestKind::kStream, 1, /*resumable=*/true);
    SendRequest();
    RunUntilDone();
    EXPECT_NE(first_.heads.at(0).find("Last-Event-Id: 2"), std::string::npos);
  }
};

TEST_F(ClientResumesTest, RepeatedEventIsNotRelayed) {
  SendAndReceive(2, 3);
  EXPECT_EQ(sink_.complete, true);
  EXPECT_EQ(sink_.text, "id: 3\ndata: t\n\n");
}

TEST_F(ClientResumesTest, StreamWithMissingEventIsNotRelayed) {
  SendAndReceive(4, 5);
  EXPECT_EQ(sink_.status, 502);
  EXPECT_EQ(sink_.text.find("id: 4"), std::string::npos);
}

// Guards against a truncated stream that looks complete: an engine that leaves
// stopped the run, as it was asked to, and closed its stream, which had neither
// a length nor chunks.
TEST_F(StreamContinuationTest, StoppedUnframedStreamIsNotComplete) {
  QTcpSocket* source = nullptr;
  first_.on_request = [&](const auto& request) {
    if (!request.IsTo("/kv-move")) {
      source = request.socket;
      Write(source,
            "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\n\r\n" +
                std::string(kFirstTwoEvents));
      return;
    }
    if (first_.heads.size() < 3) {
      Reply(request.socket, "200 OK", "", kCopied);
      return;
    }
    // The gateway closes its side once it has seen the end of the stream.
    QObject::connect(
        source, &QTcpSocket::disconnected, request.socket,
        [socket = request.socket] { Reply(socket, "200 OK", "", kCopied); });
    ::shutdown(static_cast<int>(source->socketDescriptor()), SHUT_WR);
  };
  second_.on_request = [](const auto& request) {
    BeginStream(request.socket, 3, 4);
    EndStream(request.socket);
  };
  NoticeLeavingAtFirstText();
  Send(routing::RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.complete, true);
  EXPECT_EQ(sink_.text, std::string(kFirstTwoEvents) +
                            "id: 3\ndata: t\n\nid: 4\ndata: t\n\n");
}

// Guards against a truncated stream that looks complete: the next engine's
// response had neither a length nor chunks, and its connection closed before
// the first event that the client lacked.
TEST_F(StreamContinuationTest, UnframedRunOfOldEventsDoesNotCompleteStream) {
  first_.on_request = BreakingOffAfterTwoEvents();
  second_.on_request = [](const auto& request) {
    Write(request.socket,
          "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\n\r\n"
          "id: 1\ndata: t\n\n");
    request.socket->flush();
    request.socket->disconnectFromHost();
  };
  SendResumable();
  RunUntilDone();
  ExpectBrokenOffAfterTwoEvents();
}

// Both runs go on after what the client has, whoever sent it.
TEST_F(StreamContinuationTest, StreamThatAClientResumedContinuesElsewhere) {
  client_last_event_ = 2;
  first_.on_request = [](const auto& request) {
    if (!request.IsTo("/x")) return;
    EXPECT_NE(request.head.find("Last-Event-Id: 2"), std::string::npos);
    BeginStream(request.socket, 3, 3);
    request.socket->flush();
    request.socket->disconnectFromHost();
  };
  second_.on_request = [](const auto& request) {
    EXPECT_NE(request.head.find("Last-Event-Id: 3"), std::string::npos);
    BeginStream(request.socket, 4, 4);
    EndStream(request.socket);
  };
  SendResumable();
  RunUntilDone();
  EXPECT_EQ(sink_.complete, true);
  EXPECT_EQ(sink_.text, "id: 3\ndata: t\n\nid: 4\ndata: t\n\n");
}

// Guards against a piece that joins a broken-off event with what follows it: an
// engine broke off a response without a length or chunks within an event, and
// sent another response.
TEST_F(StreamContinuationTest, ResponseAfterBrokenOffEventIsNotJoined) {
  first_.on_request = [](const auto& request) {
    Write(request.socket,
          "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\n\r\n" +
              std::string(kFirstTwoEvents) + "id: 3\nda");
    Write(request.socket,
          "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nResponse-Seal: s\r\n\r\n"
          "id: 1\ndata: other\n\n");
    request.socket->flush();
    request.socket->disconnectFromHost();
  };
  Send(routing::RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.complete, false);
  EXPECT_EQ(sink_.text, kFirstTwoEvents);
}

// Guards against a stream that ends at its deadline though its run is over: an
// engine kept the connection open after the second of two responses.
TEST_F(StreamContinuationTest, RunEndsAtAnotherResponseOnOpenConnection) {
  first_.on_request = [](const auto& request) {
    Write(request.socket,
          "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\n\r\n" +
              std::string(kFirstTwoEvents));
    Write(request.socket,
          "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nResponse-Seal: s\r\n"
          "Content-Length: 5\r\n\r\nother");
  };
  Send(routing::RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.complete, true);
  EXPECT_EQ(sink_.text, kFirstTwoEvents);
}

// Guards against breaking off a stream that can go on: the next engine could
// not be reached, and others were not asked.
TEST_F(StreamContinuationTest, StreamGoesOnBehindUnreachableEngine) {
  first_.on_request = BreakingOffAfterTwoEvents();
  ScriptedEngine third;
  third.on_request = [](const auto& request) {
    EXPECT_NE(request.head.find("Last-Event-Id: 2"), std::string::npos);
    BeginStream(request.socket, 3, 4);
    EndStream(request.socket);
  };
  Announce("i-3", third);
  directory::BackendServer unreachable = *context_.directory.Find("i-2");
  // Nothing listens there.
  unreachable.endpoint.port = FreePort();
  context_.directory.OnAnnounced(unreachable, BootClock::now());
  Offer(routing::RequestKind::kStream, 2, /*resumable=*/true);
  // The third engine has more work than the second.
  for (int i = 0; i < 3; ++i) context_.selector.OnStart("i-3", {});
  SendRequest();
  RunUntilDone();
  EXPECT_EQ(sink_.complete, true);
  EXPECT_EQ(sink_.text, std::string(kFirstTwoEvents) +
                            "id: 3\ndata: t\n\nid: 4\ndata: t\n\n");
}

// The same without another engine.
TEST_F(StreamContinuationTest, StreamIsBrokenOffIfNoEngineCanBeReached) {
  first_.on_request = BreakingOffAfterTwoEvents();
  directory::BackendServer unreachable = *context_.directory.Find("i-2");
  unreachable.endpoint.port = FreePort();
  context_.directory.OnAnnounced(unreachable, BootClock::now());
  SendResumable();
  RunUntilDone();
  EXPECT_EQ(sink_.complete, false);
  EXPECT_EQ(sink_.text, kFirstTwoEvents);
}

// Guards against a body that holds another response: a server sent a second one
// after a response without a length, which was delivered with it.
TEST_F(StreamContinuationTest, ResponseWithAnotherBehindItIsNotDelivered) {
  first_.on_request = [](const auto& request) {
    Write(request.socket,
          "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\n\r\nown");
    Write(request.socket,
          "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nResponse-Seal: s\r\n"
          "Content-Length: 5\r\n\r\nother");
    request.socket->flush();
    request.socket->disconnectFromHost();
  };
  Send(routing::RequestKind::kNonIdempotent, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.status, 502);
}

// The same behind a response that is too long to be held back as a whole, so
// that the beginning has been relayed.
TEST_F(StreamContinuationTest, ResponseBehindALongOneIsNotDelivered) {
  const std::string own(300 << 10, 'a');
  first_.on_request = [&](const auto& request) {
    Write(
        request.socket,
        "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\n\r\n" + own);
    Write(request.socket,
          "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nResponse-Seal: s\r\n"
          "Content-Length: 5\r\n\r\nother");
    request.socket->flush();
    request.socket->disconnectFromHost();
  };
  Send(routing::RequestKind::kNonIdempotent, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.complete, false);
  EXPECT_EQ(sink_.text.find("HTTP/1."), std::string::npos);
}

TEST_F(StreamContinuationTest, LongResponseWithoutLengthIsDelivered) {
  const std::string own = std::string(300 << 10, 'a') + "HTTP/1";
  first_.on_request = [&](const auto& request) {
    Write(
        request.socket,
        "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\n\r\n" + own);
    request.socket->disconnectFromHost();
  };
  Send(routing::RequestKind::kNonIdempotent, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.complete, true);
  EXPECT_TRUE(sink_.text == own);
}

// A body may be about HTTP.
TEST_F(StreamContinuationTest, StatusLineInBodyIsDelivered) {
  const std::string body = "Send HTTP/1.1 200 OK\r\nAge: 1\r\n\r\n and stop.";
  first_.on_request = [&](const auto& request) {
    Write(request.socket,
          "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\n\r\n" +
              body);
    request.socket->flush();
    request.socket->disconnectFromHost();
  };
  Send(routing::RequestKind::kNonIdempotent, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.status, 200);
  EXPECT_EQ(sink_.text, body);
}

}  // namespace
}  // namespace balsam::gateway
