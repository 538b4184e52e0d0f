// How responses end: which are complete, which are broken, and when the
// connection can be reused.
#include "services/gateway/outbound_connection.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <QTimer>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "tests/services/gateway/event_loop.h"
#include "tests/services/gateway/scripted_engine.h"

namespace balsam::gateway {
namespace {

using EndReason = OutboundConnection::EndReason;
using std::chrono::milliseconds;

class OutboundConnectionTest : public testing::Test {
 protected:
  OutboundConnection::Response Call(
      std::uint16_t port, milliseconds response_timeout = kTestLimit) {
    connection_ = std::make_unique<OutboundConnection>(
        directory::Endpoint{"127.0.0.1", port},
        OutboundConnection::Timeouts{kTestLimit}, nullptr);
    QEventLoop loop;
    OutboundConnection::Response response;
    connection_->Call("GET / HTTP/1.1\r\nHost: x\r\n\r\n", response_timeout,
                      [&](const OutboundConnection::Response& received) {
                        response = received;
                        loop.quit();
                      });
    loop.exec();
    return response;
  }

  void Script(std::function<void(QTcpSocket*)> script) {
    engine_.on_request = [script = std::move(script)](const auto& request) {
      script(request.socket);
    };
  }

  ScriptedEngine engine_;
  std::unique_ptr<OutboundConnection> connection_;
};

TEST_F(OutboundConnectionTest, ConnectionIsReusableAfterCompleteResponse) {
  Script([](QTcpSocket* socket) {
    socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
  });
  const auto response = Call(engine_.port());
  EXPECT_EQ(response.end, EndReason::kComplete);
  EXPECT_EQ(response.head.status, 200);
  EXPECT_EQ(response.body, "ab");
  EXPECT_TRUE(connection_->reusable());
}

// The kernel takes a large body in parts, of which none may be lost, repeated
// or sent before the head.
TEST_F(OutboundConnectionTest, SharedBodyFollowsTheHeadUnchanged) {
  constexpr std::size_t kBodyBytes = 4 << 20;
  QTcpServer server;
  ASSERT_TRUE(server.listen(QHostAddress::LocalHost));
  std::string received;
  QObject::connect(&server, &QTcpServer::newConnection, &server, [&] {
    QTcpSocket* socket = server.nextPendingConnection();
    QObject::connect(socket, &QTcpSocket::readyRead, &server, [&, socket] {
      received += socket->readAll().toStdString();
    });
  });
  std::string body;
  for (int i = 0; body.size() < kBodyBytes; ++i) body += std::to_string(i);
  OutboundConnection::Request request;
  request.bytes = "POST / HTTP/1.1\r\n\r\n";
  request.body = std::make_shared<const std::string>(body);
  const std::string expected = request.bytes + body;
  const std::weak_ptr<const std::string> shared = request.body;
  OutboundConnection connection({"127.0.0.1", server.serverPort()},
                                {kTestLimit}, nullptr);
  connection.Send(std::move(request));
  ASSERT_TRUE(RunUntil([&] { return received.size() >= expected.size(); }));
  EXPECT_TRUE(received == expected);
  EXPECT_TRUE(shared.expired());
}

// The time overflowed in milliseconds and was negative, so that no connection
// to this server was used twice.
TEST_F(OutboundConnectionTest, BoundsKeepAliveTime) {
  const auto idle_limit = [this](const std::string& value) {
    Script([value](QTcpSocket* socket) {
      const std::string text = "HTTP/1.1 200 OK\r\nKeep-Alive: " + value +
                               "\r\nContent-Length: 2\r\n\r\nab";
      socket->write(text.data(), static_cast<qint64>(text.size()));
    });
    Call(engine_.port());
    return connection_->idle_limit();
  };
  EXPECT_EQ(idle_limit("timeout=5, max=100"), std::chrono::seconds(5));
  EXPECT_EQ(idle_limit("timeout=9223372036854775807"), std::chrono::hours(24));
  EXPECT_FALSE(idle_limit("timeout=99999999999999999999").has_value());
  EXPECT_FALSE(idle_limit("timeout=-5").has_value());
  EXPECT_FALSE(idle_limit("timeout=").has_value());
}

TEST_F(OutboundConnectionTest, OrderlyCloseEndsBodyWithoutLength) {
  Script([](QTcpSocket* socket) {
    socket->write("HTTP/1.1 200 OK\r\n\r\nab");
    socket->disconnectFromHost();
  });
  const auto response = Call(engine_.port());
  EXPECT_EQ(response.end, EndReason::kComplete);
  EXPECT_EQ(response.body, "ab");
  EXPECT_FALSE(connection_->reusable());
}

// A response without a length that a crashed engine reset used to be passed on
// as complete (seen on the bench).
TEST_F(OutboundConnectionTest, ResetBreaksBodyWithoutLength) {
  Script([this](QTcpSocket* socket) {
    socket->write("HTTP/1.1 200 OK\r\n\r\nab");
    socket->flush();
    // The reset must not overtake the bytes in the receiver's buffer.
    QTimer::singleShot(0, &engine_, [socket] {
      const linger reset{1, 0};
      setsockopt(static_cast<int>(socket->socketDescriptor()), SOL_SOCKET,
                 SO_LINGER, &reset, sizeof(reset));
      socket->abort();
    });
  });
  const auto response = Call(engine_.port());
  EXPECT_TRUE(response.end == EndReason::kBroken ||
              response.end == EndReason::kClosedWithoutResponse);
}

// Responses to an upload that the server has not read when it responds.
class ResponseDuringUploadTest : public OutboundConnectionTest {
 protected:
  static constexpr std::size_t kBodyBytes = 64 << 20;

  // Uploads to a server that responds to the head of the request.
  OutboundConnection::Response Upload(std::function<void(QTcpSocket*)> script) {
    Script(std::move(script));
    connection_ = std::make_unique<OutboundConnection>(
        directory::Endpoint{"127.0.0.1", engine_.port()},
        OutboundConnection::Timeouts{kTestLimit}, nullptr);
    OutboundConnection::Response response;
    std::optional<EndReason> end;
    OutboundConnection::Request request;
    request.bytes = "POST / HTTP/1.1\r\nHost: x\r\n\r\n";
    request.body = std::make_shared<const std::string>(kBodyBytes, 'a');
    request.on_head = [&](const http1::ResponseHead& head) {
      response.head = head;
    };
    request.on_body = [&](std::string_view body) { response.body += body; };
    request.on_end = [&](EndReason reason) { end = reason; };
    connection_->Send(std::move(request));
    EXPECT_TRUE(RunUntil([&] { return end.has_value(); }));
    response.end = end.value_or(EndReason::kTimedOut);
    return response;
  }

  // Sends what is written and resets the connection at once, so that both are
  // there when this side continues.
  static void Reset(QTcpSocket* socket) {
    socket->flush();
    const linger reset{1, 0};
    setsockopt(static_cast<int>(socket->socketDescriptor()), SOL_SOCKET,
               SO_LINGER, &reset, sizeof(reset));
    socket->abort();
  }
};

// Guards against a part of a response that is passed on as complete: a failed
// write took the reset that followed it for itself, so that the next read saw
// an orderly close.
TEST_F(ResponseDuringUploadTest, ResetBreaksBodyWithoutLength) {
  const auto response = Upload([](QTcpSocket* socket) {
    socket->write("HTTP/1.1 200 OK\r\n\r\npart");
    Reset(socket);
  });
  EXPECT_NE(response.end, EndReason::kComplete);
  EXPECT_FALSE(connection_->reusable());
}

TEST_F(ResponseDuringUploadTest, ResetWithoutResponseIsNoResponse) {
  const auto response = Upload([](QTcpSocket* socket) { Reset(socket); });
  EXPECT_EQ(response.end, EndReason::kClosedWithoutResponse);
}

TEST_F(ResponseDuringUploadTest, ResetBreaksIncompleteBody) {
  const auto response = Upload([](QTcpSocket* socket) {
    socket->write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
    Reset(socket);
  });
  EXPECT_NE(response.end, EndReason::kComplete);
}

// What has arrived in full counts, whatever happens to the connection next.
TEST_F(ResponseDuringUploadTest, CompleteResponseCountsBeforeReset) {
  const auto response = Upload([](QTcpSocket* socket) {
    socket->write("HTTP/1.1 413 Large\r\nContent-Length: 4\r\n\r\nstop");
    Reset(socket);
  });
  EXPECT_EQ(response.end, EndReason::kComplete);
  EXPECT_EQ(response.head.status, 413);
  EXPECT_EQ(response.body, "stop");
}

// The server closes its side only, and reads on.
TEST_F(ResponseDuringUploadTest, HalfCloseEndsBodyWithoutLength) {
  const auto response = Upload([](QTcpSocket* socket) {
    socket->write("HTTP/1.1 200 OK\r\n\r\nwhole");
    socket->flush();
    ::shutdown(static_cast<int>(socket->socketDescriptor()), SHUT_WR);
  });
  EXPECT_EQ(response.end, EndReason::kComplete);
  EXPECT_EQ(response.body, "whole");
}

// The server closes its side, and resets the connection before it has read the
// request: it may have been about to write more.
TEST_F(ResponseDuringUploadTest, ResetAfterHalfCloseBreaksBodyWithoutLength) {
  const auto response = Upload([](QTcpSocket* socket) {
    socket->write("HTTP/1.1 200 OK\r\n\r\npart");
    socket->flush();
    ::shutdown(static_cast<int>(socket->socketDescriptor()), SHUT_WR);
    Reset(socket);
  });
  EXPECT_EQ(response.end, EndReason::kBroken);
}

TEST_F(OutboundConnectionTest, TruncatedResponseIsBroken) {
  Script([](QTcpSocket* socket) {
    socket->write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab");
    socket->disconnectFromHost();
  });
  EXPECT_EQ(Call(engine_.port()).end, EndReason::kBroken);
}

TEST_F(OutboundConnectionTest, ExtraBytesPreventReuse) {
  Script([](QTcpSocket* socket) {
    socket->write(
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\n");
  });
  const auto response = Call(engine_.port());
  EXPECT_EQ(response.end, EndReason::kComplete);
  EXPECT_EQ(response.body, "ab");
  EXPECT_FALSE(connection_->reusable());
}

TEST_F(OutboundConnectionTest, InvalidResponseIsBroken) {
  Script([](QTcpSocket* socket) { socket->write("220 hello\r\n\r\n"); });
  EXPECT_EQ(Call(engine_.port()).end, EndReason::kBroken);
}

// Guards against heads that are no response in the protocol. Engines, health
// checks, reports, copies, peers and the store are all read by this class.
TEST_F(OutboundConnectionTest, HeadThatBreaksTheRulesIsBroken) {
  for (const std::string head :
       {"HTTP/1.1 000 None\r\n", "HTTP/1.1 099 Odd\r\n",
        "HTTP/1.1 101 Switching\r\n", "HTTP/1.1 200 OK\r\nA B: c\r\n",
        "HTTP/1.1 200 OK\r\nA\x01: c\r\n",
        "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n"}) {
    Script([head](QTcpSocket* socket) {
      const std::string text = head + "Content-Length: 1\r\n\r\na";
      socket->write(text.data(), static_cast<qint64>(text.size()));
    });
    EXPECT_EQ(Call(engine_.port()).end, EndReason::kBroken) << head;
    EXPECT_FALSE(connection_->reusable());
  }
}

TEST_F(OutboundConnectionTest, InterimResponseIsFollowedByFinalOne) {
  Script([](QTcpSocket* socket) {
    socket->write(
        "HTTP/1.1 100 Continue\r\n\r\n"
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
  });
  const auto response = Call(engine_.port());
  EXPECT_EQ(response.head.status, 200);
  EXPECT_EQ(response.body, "a");
}

TEST_F(OutboundConnectionTest, UnresponsivePeerTimesOut) {
  Script([](QTcpSocket*) {});
  EXPECT_EQ(Call(engine_.port(), milliseconds(20)).end, EndReason::kTimedOut);
  EXPECT_FALSE(connection_->reusable());
}

TEST_F(OutboundConnectionTest, RefusedConnectionSendsNothing) {
  std::uint16_t port = 0;
  {
    // Its port is free after its destruction.
    ScriptedEngine gone;
    port = gone.port();
  }
  EXPECT_EQ(Call(port).end, EndReason::kNotConnected);
  EXPECT_FALSE(connection_->written());
}

// Guards against a response whose head the server broke off, taken for a
// success with an empty or short body. Each possible length is tried, also
// after an interim response.
TEST_F(OutboundConnectionTest, HeadThatIsBrokenOffIsBrokenResponse) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Length: 6\r\n\r\n";
  for (const std::string before : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
    for (std::size_t size = 1; size < head.size(); ++size) {
      Script([&](QTcpSocket* socket) {
        const std::string text = before + head.substr(0, size);
        socket->write(text.data(), static_cast<qint64>(text.size()));
        socket->disconnectFromHost();
      });
      EXPECT_EQ(Call(engine_.port()).end, EndReason::kBroken)
          << size << " bytes after \"" << before << '"';
    }
  }
}

}  // namespace
}  // namespace balsam::gateway
