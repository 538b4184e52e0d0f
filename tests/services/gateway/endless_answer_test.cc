// Servers in trouble that send bytes without end: each kind ends in bounded
// memory, by this side's close, and not by a time-out.
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>

#include "tests/services/gateway/exchange_fixture.h"

namespace balsam::gateway {
namespace {

// What the sockets of both sides may hold beside what the gateway reads.
constexpr std::uint64_t kSocketBytes = 16 << 20;

// Writes one text, and then another again and again until the peer closes.
class Flood : public QObject {
 public:
  Flood(QTcpSocket* socket, const std::string& begin,
        const std::string& repeated)
      : QObject(socket), socket_(socket) {
    // One byte at a time is a slow test of the same.
    constexpr std::size_t kBlock = 16 << 10;
    while (block_.size() < kBlock) block_ += repeated;
    socket->write(begin.data(), static_cast<qint64>(begin.size()));
    connect(socket, &QTcpSocket::bytesWritten, this, [this] { Write(); });
    Write();
  }

  static std::uint64_t written;

 private:
  void Write() {
    if (socket_->state() != QAbstractSocket::ConnectedState) return;
    if (socket_->bytesToWrite() > 0) return;
    written += block_.size();
    socket_->write(block_.data(), static_cast<qint64>(block_.size()));
  }

  QTcpSocket* socket_;
  std::string block_;
};

std::uint64_t Flood::written = 0;

struct EndlessCase {
  const char* name;
  // Written once, and then without end.
  const char* begin;
  const char* repeated;
};

constexpr char kSigned[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\n";

const std::string kChunkedHead =
    std::string(kSigned) + "Transfer-Encoding: chunked\r\n\r\n";
const std::string kSize = kChunkedHead + "1";
const std::string kExtension = kChunkedHead + "1;a=";
const std::string kTrailers = kChunkedHead + "1\r\na\r\n0\r\n";
const std::string kFailure = "HTTP/1.1 500 Failed\r\nRequest-Id: r-1\r\n\r\n";

const EndlessCase kCases[] = {
    {"NoAnswerAtAll", "", "x"},
    {"NoAnswerInLines", "", "x\r\n"},
    {"StatusLine", "HTTP/1.1 200 ", "O"},
    {"Fields", kSigned, "A: b\r\n"},
    {"OneField", "HTTP/1.1 200 OK\r\nA: ", "b"},
    {"InterimAnswers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"ChunkSize", kSize.c_str(), "0"},
    {"ChunkExtension", kExtension.c_str(), "b"},
    {"Trailers", kTrailers.c_str(), "A: b\r\n"},
    {"BodyOfAFailure", kFailure.c_str(), "x"},
};

class EndlessAnswerTest : public ExchangeTest,
                          public testing::WithParamInterface<EndlessCase> {
 protected:
  EndlessAnswerTest() {
    Flood::written = 0;
    first_.on_request = [](const auto& request) {
      new Flood(request.socket, GetParam().begin, GetParam().repeated);
    };
    // Only this side's bounds end it, not its time.
    route_timeout_ = 2 * kTestLimit;
  }
};

TEST_P(EndlessAnswerTest, FailsAndIsNotRepeatedIfItMayNotRunTwice) {
  Send(routing::RequestKind::kNonIdempotent, 3);
  RunUntilEnd();
  EXPECT_EQ(sink_.status, 502);
  EXPECT_EQ(first_.heads.size() + second_.heads.size(), 1U);
  EXPECT_LE(Flood::written, kSocketBytes);
}

TEST_P(EndlessAnswerTest, IsRepeatedElsewhereIfItMayBe) {
  second_.on_request = RepliesOk("page");
  Send(routing::RequestKind::kIdempotent, 2);
  RunUntilEnd();
  EXPECT_EQ(sink_.status, 200);
  EXPECT_EQ(sink_.text, "page");
  EXPECT_GT(context_.selector.FailureRate("i-1", BootClock::now()), 0.0);
}

TEST_P(EndlessAnswerTest, EndsACallToTheServersOwnInterface) {
  OutboundConnection connection({"127.0.0.1", first_.port()}, {}, nullptr);
  std::optional<OutboundConnection::End> end;
  connection.Call(
      "GET /report HTTP/1.1\r\nHost: x\r\n\r\n", 2 * kTestLimit,
      [&](const OutboundConnection::Answer& answer) { end = answer.end; });
  ASSERT_TRUE(RunUntil([&] { return end.has_value(); }));
  EXPECT_EQ(end, OutboundConnection::End::kBroken);
  EXPECT_FALSE(connection.reusable());
  EXPECT_LE(Flood::written, OutboundConnection::kMaxCallAnswer + kSocketBytes);
}

INSTANTIATE_TEST_SUITE_P(Bytes, EndlessAnswerTest, testing::ValuesIn(kCases),
                         [](const auto& info) {
                           return std::string(info.param.name);
                         });

using EndlessStreamTest = ExchangeTest;

// The engine sends what is no event where the events of a run are due.
TEST_F(EndlessStreamTest, WhatIsNoEventEndsAStream) {
  Flood::written = 0;
  first_.on_request = [](const auto& request) {
    BeginStream(request.socket, 1, 2);
    new Flood(request.socket, "", http1::EncodeChunk("data"));
  };
  Send(routing::RequestKind::kStream, 1);
  RunUntilEnd();
  EXPECT_EQ(sink_.complete, false);
  EXPECT_LE(Flood::written, kSocketBytes);
}

TEST_F(EndlessStreamTest, WhatIsNoEventBeforeTheFirstOneIsAFailure) {
  first_.on_request = [](const auto& request) {
    BeginStream(request.socket, 1, 0);
    new Flood(request.socket, "", http1::EncodeChunk("data"));
  };
  Send(routing::RequestKind::kStream, 1);
  RunUntilEnd();
  EXPECT_EQ(sink_.status, 502);
}

// A body without end is relayed as far as the client reads, and ends with the
// request's time, seen to be incomplete.
TEST_F(EndlessStreamTest, ASuccessWithoutEndIsBrokenOffAtItsDeadline) {
  route_timeout_ = std::chrono::milliseconds(500);
  first_.on_request = [](const auto& request) {
    new Flood(request.socket, kChunkedHead, http1::EncodeChunk("data"));
  };
  Send(routing::RequestKind::kNonIdempotent, 1);
  RunUntilEnd();
  EXPECT_EQ(sink_.status, 200);
  EXPECT_EQ(sink_.complete, false);
}

}  // namespace
}  // namespace balsam::gateway
