// Faults known from operators of similar systems, each reproduced against a
// complete gateway on sockets.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <QTimer>
#include <string>

#include "libraries/http1/message_head.h"
#include "tests/services/gateway/gateway_node_fixture.h"

namespace balsam::gateway {
namespace {

constexpr char kLastChunk[] = "0\r\n\r\n";

// A client connection that keeps all received bytes.
class Client {
 public:
  explicit Client(std::uint16_t port) {
    socket_.connectToHost("127.0.0.1", port);
  }

  void Send(const std::string& id) {
    received_.clear();
    const std::string request =
        "POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
        "\r\nToken-Usage: 10,10\r\nContent-Length: 0\r\n\r\n";
    socket_.write(request.data(), static_cast<qint64>(request.size()));
  }
  const std::string& received() {
    received_ += socket_.readAll().toStdString();
    return received_;
  }
  bool closed() { return socket_.state() == QAbstractSocket::UnconnectedState; }
  // Runs until `text` has been received.
  bool RunUntilReceived(const std::string& text) {
    return RunUntil([&] { return received().find(text) != std::string::npos; });
  }
  bool RunUntilClosed() {
    const bool is_closed = RunUntil([this] {
      received();
      return closed();
    });
    received();
    return is_closed;
  }

 private:
  QTcpSocket socket_;
  std::string received_;
};

class ServiceFaultsTest : public GatewayNodeTest {
 protected:
  static void Write(QTcpSocket* socket, const std::string& text) {
    socket->write(text.data(), static_cast<qint64>(text.size()));
  }
  static std::string MakeResponse(const std::string& id,
                                  const std::string& body) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
           "\r\nResponse-Seal: s\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  // For requests r-1 and r-2.
  static void WriteOwnResponse(const ScriptedEngine::Request& request) {
    const bool is_second = request.head.find("r-2") != std::string::npos;
    Write(request.socket, is_second ? MakeResponse("r-2", "second")
                                    : MakeResponse("r-1", "first"));
  }
  static std::string StreamHead(const std::string& id) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
           "\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
  }
  static std::string Event(int number) {
    return http1::EncodeChunk("id: " + std::to_string(number) +
                              "\ndata: t\n\n");
  }
};

// A server sent a response twice, the second time late on a connection that was
// in use again, and the next caller received a response that was not its own.
TEST_F(ServiceFaultsTest, LateDuplicateResponseIsNotDelivered) {
  kind_ = "non_idempotent";
  first_.on_request = [](const auto& request) {
    const bool is_second = request.head.find("r-2") != std::string::npos;
    if (is_second) Write(request.socket, MakeResponse("r-1", "first"));
    WriteOwnResponse(request);
  };
  Publish({&first_});
  Client first(client_port_);
  first.Send("r-1");
  ASSERT_TRUE(first.RunUntilReceived("first"));
  Client second(client_port_);
  second.Send("r-2");
  ASSERT_TRUE(second.RunUntilReceived("\r\n\r\n"));
  EXPECT_EQ(second.received().find("first"), std::string::npos);
  EXPECT_TRUE(second.received().starts_with("HTTP/1.1 502"))
      << second.received();
}

// The same while the connection is idle: it must not be reused.
TEST_F(ServiceFaultsTest, DuplicateResponseMakesIdleConnectionUnusable) {
  kind_ = "non_idempotent";
  QTcpSocket* used = nullptr;
  first_.on_request = [&](const auto& request) {
    used = request.socket;
    WriteOwnResponse(request);
  };
  Publish({&first_});
  Client first(client_port_);
  first.Send("r-1");
  ASSERT_TRUE(first.RunUntilReceived("first"));
  QTcpSocket* const idle = used;
  Write(idle, MakeResponse("r-1", "first"));
  ASSERT_TRUE(RunUntil(
      [&] { return idle->state() == QAbstractSocket::UnconnectedState; }));
  Client second(client_port_);
  second.Send("r-2");
  ASSERT_TRUE(second.RunUntilReceived("second"));
  EXPECT_NE(used, idle);
}

// During a planned stop under load, requests that had just been accepted were
// cut off without a response.
TEST_F(ServiceFaultsTest, PlannedStopAnswersAcceptedRequests) {
  // Shorter than the stop.
  timeout_ = std::chrono::milliseconds(5000);
  QTcpSocket* running = nullptr;
  first_.on_request = [&](const auto& request) { running = request.socket; };
  Publish({&first_});
  Client before(client_port_);
  before.Send("r-1");
  ASSERT_TRUE(RunUntil([&] { return running != nullptr; }));
  node_->BeginStop();
  QTcpSocket* const first = std::exchange(running, nullptr);
  // The load balancer does not know yet and sends another client.
  Client after(client_port_);
  after.Send("r-2");
  ASSERT_TRUE(RunUntil([&] { return running != nullptr; }));
  Write(first, MakeResponse("r-1", "first"));
  Write(running, MakeResponse("r-2", "second"));
  EXPECT_TRUE(before.RunUntilReceived("first"));
  EXPECT_TRUE(after.RunUntilReceived("second"));
  // Both clients are told that their connection will be closed.
  EXPECT_NE(before.received().find("Connection: close"), std::string::npos);
  EXPECT_NE(after.received().find("Connection: close"), std::string::npos);
}

// Slow but healthy streams were cut off. This one has gaps of several latency
// objectives of its route.
TEST_F(ServiceFaultsTest, SlowStreamIsRelayedCompletely) {
  kind_ = "stream";
  constexpr int kEvents = 8;
  objective_ = std::chrono::milliseconds(2);
  QTimer events;
  int sent = 0;
  first_.on_request = [&](const auto& request) {
    Write(request.socket, StreamHead("r-1"));
    QObject::connect(&events, &QTimer::timeout, request.socket,
                     [&, socket = request.socket] {
                       Write(socket, Event(++sent));
                       if (sent < kEvents) return;
                       events.stop();
                       Write(socket, kLastChunk);
                     });
    events.start(20);
  };
  Publish({&first_});
  Client client(client_port_);
  client.Send("r-1");
  ASSERT_TRUE(client.RunUntilReceived(kLastChunk));
  EXPECT_NE(client.received().find("id: " + std::to_string(kEvents)),
            std::string::npos);
}

// Stalled streams that sent a byte now and then never ended. This one sends
// bytes of an event that never ends for as long as it is read.
TEST_F(ServiceFaultsTest, StalledStreamEndsAtDeadline) {
  kind_ = "stream";
  timeout_ = std::chrono::milliseconds(400);
  QTimer drip;
  QTcpSocket* engine = nullptr;
  first_.on_request = [&](const auto& request) {
    engine = request.socket;
    Write(engine, StreamHead("r-1") + Event(1));
    QObject::connect(&drip, &QTimer::timeout, engine,
                     [&] { Write(engine, http1::EncodeChunk(".")); });
    drip.start(5);
  };
  Publish({&first_});
  Client client(client_port_);
  client.Send("r-1");
  ASSERT_TRUE(client.RunUntilClosed());
  EXPECT_NE(client.received().find("id: 1"), std::string::npos);
  EXPECT_EQ(client.received().find(kLastChunk), std::string::npos);
  // The engine must not keep running the request.
  EXPECT_TRUE(RunUntil(
      [&] { return engine->state() == QAbstractSocket::UnconnectedState; }));
}

// After a response was lost, work that had run was run again, or the caller was
// told that it had not run.
TEST_F(ServiceFaultsTest, LostResponseIsNeitherRetriedNorReportedAsNotRun) {
  kind_ = "non_idempotent";
  attempts_ = 3;
  const auto lose = [](const auto& request) { request.socket->abort(); };
  first_.on_request = lose;
  second_.on_request = lose;
  Publish({&first_, &second_});
  Client client(client_port_);
  client.Send("r-1");
  ASSERT_TRUE(client.RunUntilReceived("\r\n\r\n"));
  EXPECT_TRUE(client.received().starts_with("HTTP/1.1 502"))
      << client.received();
  EXPECT_EQ(first_.heads.size() + second_.heads.size(), 1U);
}

// A truncated response reached the caller as a complete success.
TEST_F(ServiceFaultsTest, TruncatedResponseIsNotSuccess) {
  kind_ = "non_idempotent";
  first_.on_request = [](const auto& request) {
    std::string half = MakeResponse("r-1", "the whole body");
    half.resize(half.size() - 5);
    Write(request.socket, half);
    request.socket->disconnectFromHost();
  };
  Publish({&first_});
  Client client(client_port_);
  client.Send("r-1");
  ASSERT_TRUE(client.RunUntilReceived("\r\n\r\n"));
  EXPECT_TRUE(client.received().starts_with("HTTP/1.1 502"))
      << client.received();
}

TEST_F(ServiceFaultsTest, BrokenStreamEndsIncomplete) {
  kind_ = "stream";
  first_.on_request = [](const auto& request) {
    Write(request.socket, StreamHead("r-1") + Event(1) + Event(2));
    request.socket->disconnectFromHost();
  };
  Publish({&first_});
  Client client(client_port_);
  client.Send("r-1");
  ASSERT_TRUE(client.RunUntilClosed());
  EXPECT_NE(client.received().find("id: 2"), std::string::npos);
  EXPECT_EQ(client.received().find(kLastChunk), std::string::npos);
}

// After one of the system's processes restarted, a server that had left, or a
// key that had been revoked, was used again. A gateway that has just started
// reads the store, and must ignore older changes from peers.
TEST_F(ServiceFaultsTest, OutdatedChangesFromPeersAreIgnored) {
  const revisions::RevisionedEntry old_server = EntryOf(0, first_, 1);
  revisions::RevisionedEntry old_configuration = ConfigurationEntry(1, true);
  const std::uint64_t old_revision = revision_;
  // In the store the server's entry has been removed, and the route needs a key
  // that nobody has.
  node_->OnStoreSnapshot({EntryOf(1, second_, 1), ConfigurationEntry(2, false)},
                         revision_);
  node_->OnStoreChanges({old_server, old_configuration}, old_revision);
  EXPECT_EQ(RequestStatus(), 401);
  node_->OnStoreChanges({ConfigurationEntry(3, true)}, revision_);
  constexpr int kRequests = 10;
  for (int i = 0; i < kRequests; ++i) EXPECT_EQ(RequestStatus(), 200);
  EXPECT_EQ(Requests(first_), 0U);
  EXPECT_EQ(Requests(second_), 10U);
}

}  // namespace
}  // namespace balsam::gateway
