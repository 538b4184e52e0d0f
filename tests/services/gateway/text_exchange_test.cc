// Long texts between gateways: what crosses, and what is kept when a peer
// breaks off, refuses or sends something else.
#include "services/gateway/text_exchange.h"

#include <gtest/gtest.h>

#include <QCoreApplication>
#include <QTcpServer>
#include <QTcpSocket>
#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "libraries/http1/message_parser.h"
#include "tests/services/gateway/event_loop.h"

namespace balsam::gateway {
namespace {

using revisions::RevisionedEntry;
using revisions::RevisionedMap;
using std::chrono::milliseconds;

constexpr char kKey[] = "op/config";

// A configuration of about 80 KB that compresses to a few.
std::string MakeText(int version) {
  std::string text =
      "{\"version\":" + std::to_string(version) + ",\"routes\":[";
  for (int i = 0; i < 1000; ++i) {
    text += R"({"name":"route-)" + std::to_string(i * 7919) +
            R"(","prefix":"/p/","service":"s","timeoutMs":1500},)";
  }
  return text + "]}";
}

// Another gateway, whose responses can be broken off or replaced.
class Peer : public QObject {
 public:
  explicit Peer(std::string ip) : ip(std::move(ip)) {}

  bool Listen(std::uint16_t port, TextExchange::Limits limits) {
    texts = std::make_unique<TextExchange>(port, limits, replica);
    QObject::connect(&server_, &QTcpServer::newConnection, this, [this] {
      QTcpSocket* socket = server_.nextPendingConnection();
      QObject::connect(socket, &QTcpSocket::readyRead, this,
                       [this, socket] { Respond(socket); });
    });
    return server_.listen(QHostAddress(QString::fromStdString(ip)), port);
  }

  void Publish(std::uint64_t revision, const std::string& text) {
    replica.Apply({kKey, revision, text});
    replica.AdvanceTo(revision);
    texts->Keep(kKey);
  }

  std::string ip;
  RevisionedMap replica;
  std::unique_ptr<TextExchange> texts;
  // Bytes of each body after which the connection is closed.
  std::size_t max_body = std::string::npos;
  // Sends as much of each response, and then nothing more.
  bool stalls = false;
  bool is_corrupt = false;
  std::vector<HttpResponse> responses;

 private:
  void Respond(QTcpSocket* socket) {
    const std::string bytes = socket->readAll().toStdString();
    http1::RequestParser parser({16 << 10, 1 << 20});
    std::string body;
    parser.Consume(bytes, body);
    HttpResponse response = texts->Serve(parser.head());
    if (is_corrupt && !response.body.empty()) response.body.back() ^= 1;
    responses.push_back(response);
    http1::ResponseHead head;
    head.status = response.status;
    head.fields = response.fields;
    const std::string text =
        http1::Serialize(head, {response.body.size(), false}) +
        response.body.substr(0, max_body);
    socket->write(text.data(), static_cast<qint64>(text.size()));
    if (!stalls) socket->disconnectFromHost();
  }

  QTcpServer server_;
};

class TextExchangeTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(RetryWithOtherPorts([this] { return Start(); }));
  }

  bool Start() {
    const std::uint16_t port = FreePort();
    peers_.clear();
    for (const char* ip : {"127.0.0.2", "127.0.0.3"}) {
      peers_.push_back(std::make_unique<Peer>(ip));
      if (!peers_.back()->Listen(port, peer_limits_)) return false;
    }
    receiver_ = std::make_unique<TextExchange>(port, limits_, replica_);
    receiver_->sources = [this](std::uint64_t) {
      return std::vector<std::string>{peers_[0]->ip, peers_[1]->ip};
    };
    receiver_->on_text = [this](const RevisionedEntry& entry) {
      replica_.Apply(entry);
    };
    return true;
  }

  static TextExchange::Limits Limits() {
    TextExchange::Limits limits;
    limits.response_timeout = kTestLimit;
    limits.progress.silence = kTestLimit;
    limits.patience = kTestLimit;
    limits.retry_delay = milliseconds(1);
    return limits;
  }

  // Publishes the text at both peers.
  void Publish(std::uint64_t revision, const std::string& text) {
    for (const auto& peer : peers_) peer->Publish(revision, text);
  }
  // Fetches from the first peer until `text` is here.
  void FetchUntil(std::uint64_t revision, const std::string& text) {
    receiver_->Fetch({kKey, revision}, peers_[0]->ip);
    ASSERT_TRUE(RunUntil([&] {
      const std::string* known = replica_.Find(kKey);
      return known != nullptr && *known == text;
    }));
    EXPECT_FALSE(receiver_->IsFetching(kKey));
  }
  std::size_t BytesSentBy(std::size_t peer) const {
    std::size_t bytes = 0;
    for (const HttpResponse& response : peers_[peer]->responses) {
      bytes += std::min(response.body.size(), peers_[peer]->max_body);
    }
    return bytes;
  }

  TextExchange::Limits limits_ = Limits();
  TextExchange::Limits peer_limits_;
  std::vector<std::unique_ptr<Peer>> peers_;
  RevisionedMap replica_;
  std::unique_ptr<TextExchange> receiver_;
};

TEST_F(TextExchangeTest, WholeTextCrossesCompressed) {
  Publish(5, MakeText(1));
  FetchUntil(5, MakeText(1));
  EXPECT_LT(BytesSentBy(0), MakeText(1).size() / 5);
}

TEST_F(TextExchangeTest, OnlyTheChangeOfKnownTextCrosses) {
  Publish(5, MakeText(1));
  FetchUntil(5, MakeText(1));
  const std::size_t before = BytesSentBy(0);
  Publish(9, MakeText(2));
  FetchUntil(9, MakeText(2));
  EXPECT_LT(BytesSentBy(0) - before, 200U);
}

// Guards against a fetch that begins from nothing each time that it ends
// (review/10): no response of a peer was ever complete.
TEST_F(TextExchangeTest, NextPeerGoesOnWhereTheLastOneBrokeOff) {
  for (const auto& peer : peers_) peer->max_body = 1000;
  Publish(5, MakeText(1));
  FetchUntil(5, MakeText(1));
  const std::size_t frame_bytes = peers_[0]->responses[0].body.size();
  ASSERT_GT(frame_bytes, 3000U);
  EXPECT_FALSE(peers_[1]->responses.empty());
  EXPECT_LT(BytesSentBy(0) + BytesSentBy(1), frame_bytes + 1000);
}

// Guards against a wait for a peer that is too slow while another one could
// send the rest.
TEST_F(TextExchangeTest, RestComesFromAnotherPeerIfOneStalls) {
  limits_.patience = milliseconds(1);
  ASSERT_TRUE(RetryWithOtherPorts([this] { return Start(); }));
  peers_[0]->stalls = true;
  peers_[0]->max_body = 1000;
  Publish(5, MakeText(1));
  FetchUntil(5, MakeText(1));
}

// Guards against many gateways at one peer, whose link they share with its
// clients.
TEST_F(TextExchangeTest, GatewayThatHasSentEnoughRefersToOthers) {
  peer_limits_.sent_bytes_per_second = 1.0;
  ASSERT_TRUE(RetryWithOtherPorts([this] { return Start(); }));
  Publish(5, MakeText(1));
  // Another gateway has just got it from the first one.
  http1::RequestHead head;
  head.target = "/text?key=op%2Fconfig&base=0";
  EXPECT_EQ(peers_[0]->texts->Serve(head).status, 200);
  EXPECT_EQ(peers_[0]->texts->Serve(head).status, 503);
  FetchUntil(5, MakeText(1));
  EXPECT_EQ(BytesSentBy(0), 0U);
}

TEST_F(TextExchangeTest, CorruptFrameIsRefusedAndFetchedElsewhere) {
  peers_[0]->is_corrupt = true;
  Publish(5, MakeText(1));
  FetchUntil(5, MakeText(1));
  EXPECT_EQ(peers_[1]->responses.size(), 1U);
}

// A gateway that was cut off has a text that nobody keeps any more.
TEST_F(TextExchangeTest, UnknownBaseIsSentTheWholeText) {
  replica_.Apply({kKey, 2, MakeText(0)});
  Publish(5, MakeText(1));
  FetchUntil(5, MakeText(1));
}

// Guards against a change that is applied to another text than it was made of.
TEST_F(TextExchangeTest, ChangeOfAnotherTextIsRefused) {
  replica_.Apply({kKey, 5, MakeText(7)});
  Publish(5, MakeText(1));
  Publish(9, MakeText(2));
  FetchUntil(9, MakeText(2));
}

TEST_F(TextExchangeTest, TextThatArrivedOtherwiseIsNoLongerFetched) {
  peers_[0]->stalls = true;
  peers_[0]->max_body = 1000;
  Publish(5, MakeText(1));
  receiver_->Fetch({kKey, 5}, peers_[0]->ip);
  ASSERT_TRUE(RunUntil([this] { return !peers_[0]->responses.empty(); }));
  replica_.Apply({kKey, 5, MakeText(1)});
  receiver_->DropKnown();
  EXPECT_FALSE(receiver_->IsFetching(kKey));
}

}  // namespace
}  // namespace balsam::gateway
