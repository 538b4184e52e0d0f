// Faulty servers that send bytes without end. Each case must end in bounded
// memory because this side closes the connection, not because of a timeout.
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>

#include "tests/services/gateway/exchange_fixture.h"

namespace balsam::gateway {
namespace {

// Bytes that the sockets of both sides may hold in addition to what the gateway
// has read.
constexpr std::uint64_t kSocketBytes = 16 << 20;

// Writes `begin` once and then `repeated` until the peer closes the connection.
class EndlessWriter : public QObject {
 public:
  EndlessWriter(QTcpSocket* socket, const std::string& begin,
                const std::string& repeated)
      : QObject(socket), socket_(socket) {
    // Writing one byte at a time would test the same, only slower.
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

std::uint64_t EndlessWriter::written = 0;

struct EndlessCase {
  const char* name;
  // `begin` is written once, `repeated` without end.
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
    {"NotHttp", "", "x"},
    {"NotHttpLines", "", "x\r\n"},
    {"StatusLine", "HTTP/1.1 200 ", "O"},
    {"Fields", kSigned, "A: b\r\n"},
    {"OneField", "HTTP/1.1 200 OK\r\nA: ", "b"},
    {"InterimAnswers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"ChunkSize", kSize.c_str(), "0"},
    {"ChunkExtension", kExtension.c_str(), "b"},
    {"Trailers", kTrailers.c_str(), "A: b\r\n"},
    {"ErrorBody", kFailure.c_str(), "x"},
};

class EndlessResponseTest : public ExchangeTest,
                            public testing::WithParamInterface<EndlessCase> {
 protected:
  EndlessResponseTest() {
    EndlessWriter::written = 0;
    first_.on_request = [](const auto& request) {
      new EndlessWriter(request.socket, GetParam().begin, GetParam().repeated);
    };
    // Long enough that only the gateway's size limits can end the response.
    route_timeout_ = 2 * kTestLimit;
  }
};

TEST_P(EndlessResponseTest, NonIdempotentRequestFailsWithoutRetry) {
  Send(routing::RequestKind::kNonIdempotent, 3);
  RunUntilDone();
  EXPECT_EQ(sink_.status, 502);
  EXPECT_EQ(first_.heads.size() + second_.heads.size(), 1U);
  EXPECT_LE(EndlessWriter::written, kSocketBytes);
}

TEST_P(EndlessResponseTest, IdempotentRequestIsRetriedElsewhere) {
  second_.on_request = ReplyingOk("page");
  Send(routing::RequestKind::kIdempotent, 2);
  RunUntilDone();
  EXPECT_EQ(sink_.status, 200);
  EXPECT_EQ(sink_.text, "page");
  EXPECT_GT(context_.selector.FailureRate("i-1", BootClock::now()), 0.0);
}

TEST_P(EndlessResponseTest, BackendCallEndsAsBroken) {
  OutboundConnection connection({"127.0.0.1", first_.port()}, {}, nullptr);
  std::optional<OutboundConnection::EndReason> end;
  connection.Call("GET /report HTTP/1.1\r\nHost: x\r\n\r\n", 2 * kTestLimit,
                  [&](const OutboundConnection::Response& response) {
                    end = response.end;
                  });
  ASSERT_TRUE(RunUntil([&] { return end.has_value(); }));
  EXPECT_EQ(end, OutboundConnection::EndReason::kBroken);
  EXPECT_FALSE(connection.reusable());
  EXPECT_LE(EndlessWriter::written,
            OutboundConnection::kMaxCallResponse + kSocketBytes);
}

INSTANTIATE_TEST_SUITE_P(Bytes, EndlessResponseTest, testing::ValuesIn(kCases),
                         [](const auto& info) {
                           return std::string(info.param.name);
                         });

using EndlessStreamTest = ExchangeTest;

// The engine sends invalid data where events of a run are expected.
TEST_F(EndlessStreamTest, InvalidEventDataEndsStream) {
  EndlessWriter::written = 0;
  first_.on_request = [](const auto& request) {
    BeginStream(request.socket, 1, 2);
    new EndlessWriter(request.socket, "", http1::EncodeChunk("data"));
  };
  Send(routing::RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.complete, false);
  EXPECT_LE(EndlessWriter::written, kSocketBytes);
}

TEST_F(EndlessStreamTest, InvalidDataBeforeFirstEventFails) {
  first_.on_request = [](const auto& request) {
    BeginStream(request.socket, 1, 0);
    new EndlessWriter(request.socket, "", http1::EncodeChunk("data"));
  };
  Send(routing::RequestKind::kStream, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.status, 502);
}

// An endless body is relayed as fast as the client reads, and is cut off at the
// request's deadline so that the client detects the truncation.
TEST_F(EndlessStreamTest, EndlessSuccessIsCutOffAtDeadline) {
  route_timeout_ = std::chrono::milliseconds(500);
  first_.on_request = [](const auto& request) {
    new EndlessWriter(request.socket, kChunkedHead, http1::EncodeChunk("data"));
  };
  Send(routing::RequestKind::kNonIdempotent, 1);
  RunUntilDone();
  EXPECT_EQ(sink_.status, 200);
  EXPECT_EQ(sink_.complete, false);
}

}  // namespace
}  // namespace balsam::gateway
