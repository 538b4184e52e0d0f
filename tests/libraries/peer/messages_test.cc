// Tests of the encoding of peer messages: messages round-trip, and arbitrary
// input does not crash the decoder.
#include "libraries/peer/messages.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>
#include <optional>

namespace balsam::peer {
namespace {

std::optional<Message> TryDecode(const QByteArray& frame) {
  return TryOr(
      [&]() -> Result<std::optional<Message>> {
        BOOST_LEAF_AUTO(message, Decode(frame));
        return std::optional<Message>(std::move(message));
      },
      [](const Error& error) {
        EXPECT_EQ(error.code, ResultCode::kInvalidPeerMessage);
        EXPECT_FALSE(error.detail.empty());
        return std::optional<Message>();
      });
}

TEST(MessagesTest, WorkRoundTrips) {
  execution::WorkItem work;
  work.request_id = "r";
  work.workspace = "w";
  work.kind = execution::WorkKind::kCall;
  work.idempotent = false;
  work.fingerprint = ~std::uint64_t{0};
  work.weight = 2.5;
  work.queue_deadline = std::chrono::milliseconds(77);
  work.body = std::string("\0\xff", 2);
  work.key = TryOr([] { return execution::IdempotencyKey::Parse("key-1"); },
                   [](const Error&) { return execution::IdempotencyKey{}; });
  const auto message = TryDecode(Encode(ExecuteRequest{work}));
  ASSERT_TRUE(message.has_value());
  const auto& read = std::get<ExecuteRequest>(*message).work;
  EXPECT_EQ(read.fingerprint, work.fingerprint);
  EXPECT_EQ(read.kind, work.kind);
  EXPECT_EQ(read.idempotent, false);
  EXPECT_EQ(read.key, work.key);
  EXPECT_EQ(read.body, work.body);
  EXPECT_EQ(read.weight, work.weight);
  EXPECT_EQ(read.queue_deadline, work.queue_deadline);
}

TEST(MessagesTest, OutcomeRoundTrips) {
  FinishedReply reply;
  reply.generation = "a~1~1";
  reply.outcome = Outcome::NotRun(ResultCode::kQueueFull, "full",
                                  std::chrono::milliseconds(250));
  reply.load.peak_load = 0.5;
  reply.load.draining = true;
  reply.is_suspected = true;
  reply.crash_age = std::chrono::milliseconds(3);
  reply.run_age = std::chrono::milliseconds(70);
  const auto message = TryDecode(Encode(reply));
  ASSERT_TRUE(message.has_value());
  EXPECT_EQ(std::get<FinishedReply>(*message).outcome, reply.outcome);
  EXPECT_EQ(std::get<FinishedReply>(*message).load, reply.load);
  EXPECT_TRUE(std::get<FinishedReply>(*message).is_suspected);
  EXPECT_EQ(std::get<FinishedReply>(*message).crash_age, reply.crash_age);
  EXPECT_EQ(std::get<FinishedReply>(*message).run_age, reply.run_age);
}

TEST(MessagesTest, GossipCarriesCrashEvidence) {
  GossipRequest request;
  request.crash_evidence = std::string("\0bytes", 6);
  const auto message = TryDecode(Encode(request));
  ASSERT_TRUE(message.has_value());
  EXPECT_EQ(std::get<GossipRequest>(*message).crash_evidence,
            request.crash_evidence);
}

TEST(MessagesTest, InvalidFramesAreRejectedWithReason) {
  const std::vector<QByteArray> frames = {
      {},
      "x",
      QCborValue(5).toCbor(),
      QCborValue(QCborArray{1}).toCbor(),
      QCborValue(QCborArray{99, QCborMap()}).toCbor(),
      QCborValue(QCborArray{-1, QCborMap()}).toCbor(),
      // A run state and a result code that do not exist.
      QCborValue(QCborArray{10, QCborMap{{2, QCborMap{{2, 7}}}}}).toCbor(),
      QCborValue(QCborArray{10, QCborMap{{2, QCborMap{{1, 7}}}}}).toCbor(),
      // A negative duration, a weight of zero, a string instead of a number.
      QCborValue(QCborArray{0, QCborMap{{1, QCborMap{{20, -1}}}}}).toCbor(),
      QCborValue(QCborArray{0, QCborMap{{1, QCborMap{{17, 0}}}}}).toCbor(),
      QCborValue(QCborArray{0, QCborMap{{1, QCborMap{{14, "9"}}}}}).toCbor(),
  };
  for (const QByteArray& frame : frames) {
    EXPECT_FALSE(TryDecode(frame).has_value()) << frame.toHex().toStdString();
  }
}

// Gateways ended when a peer's message was nested so deeply that the decoder,
// another one, exhausted the stack (issue 30). Qt's decoder has a limit.
TEST(MessagesTest, DeeplyNestedFramesAreRejected) {
  constexpr qsizetype kBytes = 8 << 20;
  for (const char nesting :
       {'\x81', '\x9f', '\xa1', '\xbf', '\x7f', '\x5f', '\xc1', '\xd9'}) {
    EXPECT_FALSE(TryDecode(QByteArray(kBytes, nesting)).has_value());
    // The field of a message, also of one that it does not have.
    for (const char field : {'\x01', '\x17'}) {
      const QByteArray frame =
          QByteArray("\x82\x00\xa1", 3) + field + QByteArray(kBytes, nesting);
      EXPECT_FALSE(TryDecode(frame).has_value());
    }
  }
}

TEST(MessagesTest, HugeLengthsAreRejected) {
  for (const char kind : {'\x9b', '\xbb', '\x7b', '\x5b'}) {
    for (const char length : {'\x00', '\x10', '\x7f', '\xff'}) {
      const QByteArray head =
          QByteArray(1, kind) + QByteArray(1, length) + QByteArray(7, '\xff');
      EXPECT_FALSE(TryDecode(head).has_value());
      EXPECT_FALSE(
          TryDecode(QByteArray("\x82\x00\xa1\x01", 4) + head).has_value());
    }
  }
}

TEST(MessagesTest, UnknownFieldsAreIgnored) {
  const QCborArray frame{9, QCborMap{{1, QByteArray("a~1~1")}, {77, 1}}};
  const auto message = TryDecode(QCborValue(frame).toCbor());
  ASSERT_TRUE(message.has_value());
  EXPECT_EQ(std::get<TokensReply>(*message).generation, "a~1~1");
}

RC_GTEST_PROP(MessagesPropertyTest, TruncatedFrameIsRejected, ()) {
  TokensReply reply{"a~1~1", 3, {"x", "yy", "zzz"}};
  const QByteArray whole = Encode(reply);
  const auto size = *rc::gen::inRange<qsizetype>(0, whole.size());
  RC_ASSERT(!TryDecode(whole.left(size)).has_value());
}

RC_GTEST_PROP(MessagesPropertyTest, ArbitraryBytesDoNotCrashTheDecoder,
              (const std::string& bytes)) {
  TryDecode(QByteArray::fromStdString(bytes));
}

}  // namespace
}  // namespace balsam::peer
