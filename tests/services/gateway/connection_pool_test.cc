// Which idle connections the pool hands out again.
#include "services/gateway/connection_pool.h"

#include <gtest/gtest.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <chrono>
#include <optional>
#include <string>

#include "tests/services/gateway/event_loop.h"
#include "tests/services/gateway/scripted_engine.h"

namespace balsam::gateway {
namespace {

class ConnectionPoolTest : public testing::Test {
 protected:
  ConnectionPoolTest() {
    pool_.names_request = [](const http1::ResponseHead& head) {
      return head.fields.Find("Request-Id") != nullptr;
    };
    engine_.on_request = [this](const auto& request) {
      socket_ = request.socket;
      socket_->write(response_.data(), static_cast<qint64>(response_.size()));
    };
  }

  OutboundConnection* Acquire() {
    return pool_.Acquire("i-1", {"127.0.0.1", engine_.port()},
                         ConnectionPool::Use::kRequest);
  }
  // Sends a request on `connection`, waits for its response and returns the
  // connection to the pool. Returns whether the response is complete.
  bool Exchange(OutboundConnection* connection) {
    std::optional<OutboundConnection::EndReason> ended;
    OutboundConnection::Request request;
    request.bytes = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    request.on_head = [](const http1::ResponseHead&) {};
    request.on_body = [&](std::string_view) {
      if (pauses_) connection->SetPaused(true);
    };
    request.on_end = [&](OutboundConnection::EndReason end) { ended = end; };
    connection->Send(std::move(request));
    const bool has_ended = RunUntil([&] { return ended.has_value(); });
    if (!has_ended) connection->Abort();
    pool_.Release("i-1", connection);
    return ended == OutboundConnection::EndReason::kComplete;
  }
  // Waits without the event loop until the other end's kernel has all bytes.
  static bool HaveArrived(QTcpSocket* socket) {
    const auto limit = std::chrono::steady_clock::now() + kTestLimit;
    int outstanding = 1;
    while (outstanding > 0 && std::chrono::steady_clock::now() < limit) {
      if (ioctl(static_cast<int>(socket->socketDescriptor()), SIOCOUTQ,
                &outstanding) != 0) {
        return false;
      }
    }
    return outstanding == 0;
  }

  const std::string response_ =
      "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nRequest-Id: r-1\r\n"
      "Content-Length: 2\r\n\r\nno";
  ScriptedEngine engine_;
  QTcpSocket* socket_ = nullptr;
  bool pauses_ = false;
  ConnectionPool pool_{{}};
};

TEST_F(ConnectionPoolTest, IdleConnectionIsReused) {
  OutboundConnection* const connection = Acquire();
  ASSERT_TRUE(Exchange(connection));
  EXPECT_EQ(Acquire(), connection);
}

// A refusal that the engine had written once more lay unread when the next
// request was sent, and was taken for the response to it.
TEST_F(ConnectionPoolTest, ConnectionWithUnreadBytesIsNotReused) {
  OutboundConnection* const connection = Acquire();
  ASSERT_TRUE(Exchange(connection));
  socket_->write(response_.data(), static_cast<qint64>(response_.size()));
  ASSERT_TRUE(socket_->flush());
  ASSERT_TRUE(HaveArrived(socket_));
  OutboundConnection* const next = Acquire();
  EXPECT_NE(next, connection);
  EXPECT_FALSE(next->written());
}

// The engine had closed the idle connection, and the request that was sent on
// it failed though it had not been read.
TEST_F(ConnectionPoolTest, ClosedConnectionIsNotReused) {
  OutboundConnection* const connection = Acquire();
  ASSERT_TRUE(Exchange(connection));
  ASSERT_EQ(::shutdown(static_cast<int>(socket_->socketDescriptor()), SHUT_WR),
            0);
  ASSERT_TRUE(HaveArrived(socket_));
  EXPECT_NE(Acquire(), connection);
}

// A slow client had the connection paused when the response was complete. The
// next response on it was never read.
TEST_F(ConnectionPoolTest, ConnectionIsNotLeftPaused) {
  pauses_ = true;
  OutboundConnection* const connection = Acquire();
  ASSERT_TRUE(Exchange(connection));
  ASSERT_EQ(Acquire(), connection);
  EXPECT_TRUE(Exchange(connection));
}

}  // namespace
}  // namespace balsam::gateway
