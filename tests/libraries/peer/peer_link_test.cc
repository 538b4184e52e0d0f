// Tests of the contract between entry and sidecar on real sockets: what each
// StreamEnd says about whether the request was processed.
#include "libraries/peer/peer_link.h"

#include <gtest/gtest.h>

#include <QCoreApplication>
#include <QTcpServer>
#include <QTcpSocket>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libraries/peer/peer_server.h"
#include "tests/processes/forwarder.h"
#include "tests/processes/http_client.h"

namespace balsam::peer {
namespace {

using processes::Forwarder;
using processes::WaitUntil;
using std::chrono::milliseconds;
using std::chrono::seconds;

const QByteArray kKey = "0123456789abcdef";

ConnectionLimits QuickLimits() {
  ConnectionLimits limits;
  limits.ping_after_idle = milliseconds(100);
  limits.receive_timeout = milliseconds(400);
  return limits;
}

class PeerLinkTest : public testing::Test {
 protected:
  PeerLinkTest() : server_(std::make_unique<PeerServer>(kKey, QuickLimits())) {
    server_->on_request = [this](const ServerStream& stream, const Message&) {
      ++requests_;
      stream_ = stream;
      if (refuse_) stream.Refuse();
    };
    const bool listening = TryOr(
        [this]() -> Result<bool> {
          BOOST_LEAF_CHECK(server_->Listen(QHostAddress::LocalHost, 0));
          return true;
        },
        [](const Error&) { return false; });
    EXPECT_TRUE(listening);
    port_ = server_->port();
  }

  std::unique_ptr<PeerLink> MakeLink(std::uint16_t port,
                                     const QByteArray& key = kKey) {
    return std::make_unique<PeerLink>(
        PeerAddress{QHostAddress::LocalHost, port}, key, QuickLimits());
  }
  LinkStream Open(PeerLink& link) {
    end_.reset();
    return link.Open(kTicketPath, TicketRequest{"w"},
                     {[this](const Message&) { ++messages_; },
                      [this](StreamEnd end) { end_ = end; }});
  }
  StreamEnd WaitForEnd() {
    EXPECT_TRUE(WaitUntil([this] { return end_.has_value(); }, seconds(20)));
    return end_.value_or(StreamEnd::kComplete);
  }
  void WaitForRequest(int count = 1) {
    EXPECT_TRUE(WaitUntil([&] { return requests_ >= count; }, seconds(20)));
  }

  std::unique_ptr<PeerServer> server_;
  std::uint16_t port_ = 0;
  ServerStream stream_;
  bool refuse_ = false;
  int requests_ = 0;
  int messages_ = 0;
  std::optional<StreamEnd> end_;
};

TEST_F(PeerLinkTest, LastMessageCompletesTheStream) {
  auto link = MakeLink(port_);
  Open(*link);
  WaitForRequest();
  stream_.Send(TicketReply{"t"}, false);
  stream_.Send(TicketReply{"t"}, true);
  EXPECT_EQ(WaitForEnd(), StreamEnd::kComplete);
  EXPECT_EQ(messages_, 2);
}

TEST_F(PeerLinkTest, RefusedStreamIsNotProcessed) {
  refuse_ = true;
  auto link = MakeLink(port_);
  Open(*link);
  EXPECT_EQ(WaitForEnd(), StreamEnd::kNotProcessed);
}

TEST_F(PeerLinkTest, FailedConnectionMeansNotProcessed) {
  server_.reset();
  auto link = MakeLink(port_);
  Open(*link);
  EXPECT_EQ(WaitForEnd(), StreamEnd::kNotProcessed);
  EXPECT_TRUE(link->ShouldAvoid());
}

TEST_F(PeerLinkTest, StreamIsBrokenWhenPeerDies) {
  auto link = MakeLink(port_);
  Open(*link);
  WaitForRequest();
  server_.reset();
  EXPECT_EQ(WaitForEnd(), StreamEnd::kBroken);
}

TEST_F(PeerLinkTest, UnresponsiveConnectionIsClosedAndReplaced) {
  Forwarder forwarder(port_);
  auto link = MakeLink(forwarder.port());
  Open(*link);
  WaitForRequest();
  forwarder.BlackholeOpenConnections();
  EXPECT_EQ(WaitForEnd(), StreamEnd::kBroken);
  Open(*link);
  WaitForRequest(2);
  stream_.Send(TicketReply{"t"}, true);
  EXPECT_EQ(WaitForEnd(), StreamEnd::kComplete);
}

TEST_F(PeerLinkTest, StreamIsBrokenWhenPeerNeverResponds) {
  // The connection is accepted but nothing is read. The request was sent, so
  // the peer may have processed it.
  QTcpServer blackhole;
  blackhole.listen(QHostAddress::LocalHost);
  auto link = MakeLink(blackhole.serverPort());
  Open(*link);
  EXPECT_EQ(WaitForEnd(), StreamEnd::kBroken);
}

TEST_F(PeerLinkTest, AfterGoawayOpenStreamsFinishAndNewOnesAreNotProcessed) {
  auto link = MakeLink(port_);
  std::optional<StreamEnd> first;
  link->Open(kTicketPath, TicketRequest{"w"},
             {nullptr, [&](StreamEnd end) { first = end; }});
  WaitForRequest();
  const ServerStream open = stream_;
  server_->BeginShutdown();
  WaitUntil([] { return false; }, milliseconds(50));
  EXPECT_TRUE(link->ShouldAvoid());
  Open(*link);
  EXPECT_EQ(WaitForEnd(), StreamEnd::kNotProcessed);
  open.Send(TicketReply{"t"}, true);
  EXPECT_TRUE(WaitUntil([&] { return first.has_value(); }, seconds(20)));
  EXPECT_EQ(first, StreamEnd::kComplete);
  EXPECT_EQ(requests_, 1);
}

TEST_F(PeerLinkTest, WrongPeerKeyIsRefused) {
  auto link = MakeLink(port_, "another-key-0123");
  Open(*link);
  EXPECT_EQ(WaitForEnd(), StreamEnd::kNotProcessed);
  EXPECT_EQ(requests_, 0);
}

TEST_F(PeerLinkTest, CancelledStreamIsReportedToPeerOnly) {
  bool cancelled = false;
  server_->on_end = [&](const ServerStream&, bool by_peer) {
    cancelled = by_peer;
  };
  auto link = MakeLink(port_);
  const LinkStream stream = Open(*link);
  WaitForRequest();
  link->Cancel(stream);
  EXPECT_TRUE(WaitUntil([&] { return cancelled; }, seconds(20)));
  EXPECT_FALSE(end_.has_value());
}

// A peer writes the reply to a request once more, in the same read and later,
// when the next request on the connection has taken its place.
TEST_F(PeerLinkTest, ARepeatedReplyReachesNoLaterStream) {
  std::vector<std::string> replies;
  std::optional<ServerStream> first;
  server_->on_request = [&](const ServerStream& stream, const Message&) {
    const bool is_first = !first.has_value();
    if (is_first) first = stream;
    first->Send(TicketReply{"first"}, false);
    first->Send(TicketReply{"first"}, false);
    if (!is_first) stream.Send(TicketReply{"second"}, true);
  };
  auto link = MakeLink(port_);
  LinkStream opened = 0;
  bool has_ended = false;
  const auto receive = [&](const Message& reply) {
    replies.push_back(std::get<TicketReply>(reply).ticket);
  };
  opened = link->Open(kTicketPath, TicketRequest{"w"},
                      {[&](const Message& reply) {
                         receive(reply);
                         link->Cancel(opened);
                         link->Open(kTicketPath, TicketRequest{"w"},
                                    {receive, [&](StreamEnd end) {
                                       EXPECT_EQ(end, StreamEnd::kComplete);
                                       has_ended = true;
                                     }});
                       },
                       [](StreamEnd) { FAIL() << "cancelled before"; }});
  EXPECT_TRUE(WaitUntil([&] { return has_ended; }, seconds(20)));
  EXPECT_EQ(replies, (std::vector<std::string>{"first", "second"}));
}

TEST_F(PeerLinkTest, PausedReaderSlowsDownTheSender) {
  auto link = MakeLink(port_);
  const LinkStream stream = Open(*link);
  WaitForRequest();
  link->PauseReading(stream, true);
  const TicketReply large{std::string(40000, 'x')};
  for (int i = 0; i < 20; ++i) stream_.Send(large, false);
  WaitUntil([] { return false; }, milliseconds(300));
  EXPECT_LT(messages_, 5);
  EXPECT_GT(stream_.QueuedBytes(), 0);
  link->PauseReading(stream, false);
  EXPECT_TRUE(WaitUntil([this] { return messages_ == 20; }, seconds(20)));
}

// Half a message of a stream that broke must not precede the next stream's.
TEST_F(PeerLinkTest, PartOfAMessageEndsWithItsStream) {
  Forwarder forwarder(port_);
  auto link = MakeLink(forwarder.port());
  const LinkStream stream = Open(*link);
  WaitForRequest();
  // The window lets a part of the message through.
  link->PauseReading(stream, true);
  stream_.Send(TicketReply{std::string(1 << 20, 'x')}, true);
  EXPECT_TRUE(
      WaitUntil([&] { return link->bytes() > (32 << 10); }, seconds(20)));
  forwarder.BlackholeOpenConnections();
  EXPECT_EQ(WaitForEnd(), StreamEnd::kBroken);
  EXPECT_EQ(messages_, 0);
  std::string ticket;
  end_.reset();
  link->Open(kTicketPath, TicketRequest{"w"},
             {[&ticket](const Message& message) {
                ticket = std::get<TicketReply>(message).ticket;
              },
              [this](StreamEnd end) { end_ = end; }});
  WaitForRequest(2);
  stream_.Send(TicketReply{"t"}, true);
  EXPECT_EQ(WaitForEnd(), StreamEnd::kComplete);
  EXPECT_EQ(ticket, "t");
}

// The peer cannot tell a stream that ends in a message from a complete one.
TEST_F(PeerLinkTest, MessageThatCannotBeReadBreaksItsStream) {
  auto link = MakeLink(port_);
  Open(*link);
  WaitForRequest();
  bool other_ended = false;
  link->Open(kTicketPath, TicketRequest{"w"},
             {nullptr, [&](StreamEnd) { other_ended = true; }});
  const ServerStream first = stream_;
  WaitForRequest(2);
  // No result code has this number.
  FinishedReply invalid;
  invalid.outcome.code = static_cast<ResultCode>(9999);
  first.Send(TicketReply{"t"}, false);
  first.Send(invalid, false);
  first.Send(TicketReply{"t"}, true);
  EXPECT_EQ(WaitForEnd(), StreamEnd::kBroken);
  EXPECT_EQ(messages_, 1);
  EXPECT_FALSE(other_ended);
}

TEST_F(PeerLinkTest, InvalidBytesOnPeerPortDoNotAffectOtherConnections) {
  auto link = MakeLink(port_);
  Open(*link);
  WaitForRequest();
  const std::vector<QByteArray> garbage = {
      "GET / HTTP/1.1\r\n\r\n", QByteArray(100000, '\xff'),
      "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + QByteArray(50, '\0')};
  for (const QByteArray& bytes : garbage) {
    QTcpSocket socket;
    socket.connectToHost(QHostAddress::LocalHost, port_);
    socket.waitForConnected(5000);
    socket.write(bytes);
    WaitUntil([] { return false; }, milliseconds(50));
  }
  stream_.Send(TicketReply{"t"}, true);
  EXPECT_EQ(WaitForEnd(), StreamEnd::kComplete);
}

}  // namespace
}  // namespace balsam::peer
