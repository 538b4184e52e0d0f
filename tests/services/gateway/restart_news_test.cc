// An engine that has crashed and started again under its id is in use before
// the store tells of it. What is known of its new incarnation, and what it
// runs, must outlive the news; what is known of the former one must not.
#include <gtest/gtest.h>

#include <QNetworkDatagram>
#include <QUdpSocket>
#include <chrono>
#include <cstdint>
#include <string>

#include "libraries/gossip/digest.h"
#include "tests/services/gateway/gateway_node_fixture.h"

namespace balsam::gateway {
namespace {

using std::chrono::milliseconds;

class RestartNewsTest : public GatewayNodeTest {
 protected:
  // Time since the new incarnation started when the store tells of it.
  static constexpr milliseconds kAge{5000};

  // The store tells that the first engine has restarted.
  void TellRestart() {
    node_->OnStoreChanges({EntryOf(0, first_, UnixTime() - kAge)}, revision_);
  }

  // Another gateway says that the first engine is leaving.
  void SayLeaving(std::chrono::milliseconds born) {
    while (peer_.hasPendingDatagrams()) peer_.receiveDatagram();
    gossip::Digest digest;
    digest.incarnation = 5;
    digest.leaving_servers = {{"i-0", born}};
    digest.sequence = ++sequence_;
    const std::string bytes = gossip::Encode(digest);
    peer_.bind(QHostAddress("127.0.0.2"), gossip_port_);
    peer_.writeDatagram(bytes.data(), static_cast<qint64>(bytes.size()),
                        QHostAddress("127.0.0.1"), gossip_port_);
    // The gateway replies to a digest that requests it, in order.
    digest.leaving_servers.clear();
    digest.sequence = ++sequence_;
    digest.reply_requested = true;
    const std::string request = gossip::Encode(digest);
    peer_.writeDatagram(request.data(), static_cast<qint64>(request.size()),
                        QHostAddress("127.0.0.1"), gossip_port_);
    ASSERT_TRUE(RunUntil([this] { return peer_.hasPendingDatagrams(); }));
  }

  QUdpSocket peer_;
  std::uint64_t sequence_ = 0;
};

// Guards against requests that are cut though their engine runs them
// (review/2).
TEST_F(RestartNewsTest, RequestsOfNewIncarnationGoOn) {
  kind_ = "non_idempotent";
  Publish({&first_});
  bool broke_off = false;
  first_.on_request = [&](const auto& request) {
    TellRestart();
    broke_off = request.socket->state() != QAbstractSocket::ConnectedState;
    Reply(request, "");
  };
  EXPECT_EQ(RequestStatus(), 200);
  EXPECT_FALSE(broke_off);
}

// At another address, nothing can run on the new incarnation.
TEST_F(RestartNewsTest, RequestsAtFormerAddressEnd) {
  kind_ = "non_idempotent";
  Publish({&first_});
  first_.on_request = [&](const auto&) {
    node_->OnStoreChanges({EntryOf(0, second_, UnixTime() - kAge)}, revision_);
  };
  EXPECT_EQ(RequestStatus(), 502);
}

// Guards against requests that are cut because an entry of the incarnation
// before, at another address, is written last.
TEST_F(RestartNewsTest, RequestsOutliveLateEntryOfFormerIncarnation) {
  kind_ = "non_idempotent";
  Publish({&first_});
  node_->OnStoreChanges({EntryOf(0, second_, UnixTime() - kAge)}, revision_);
  second_.on_request = [&](const auto& request) {
    node_->OnStoreChanges({EntryOf(0, first_, started_at_)}, revision_);
    Reply(request, "");
  };
  EXPECT_EQ(RequestStatus(), 200);
  EXPECT_EQ(RequestStatus(), 200);
  EXPECT_EQ(Requests(first_), 0U);
}

TEST_F(RestartNewsTest, BackoffOfNewIncarnationHolds) {
  first_.on_request = [](const auto& request) {
    Reply(request, "Not-Run: 1\r\nRetry-After: 30\r\n", "503 Full");
  };
  Publish({&first_});
  SendRequest();
  TellRestart();
  EXPECT_EQ(RequestStatus(), 503);
  EXPECT_EQ(Requests(first_), 1U);
}

TEST_F(RestartNewsTest, LeavingOfNewIncarnationHolds) {
  first_.on_request = [](const auto& request) {
    Reply(request, "Server-Leaving: 1\r\n");
  };
  Publish({&first_});
  SendRequest();
  TellRestart();
  EXPECT_EQ(RequestStatus(), 503);
  EXPECT_EQ(Requests(first_), 1U);
}

// Guards against a new incarnation that gets no requests because a peer's
// notice about the former one arrives late.
TEST_F(RestartNewsTest, LateNoticeAboutFormerIncarnationIsIgnored) {
  Publish({&first_});
  TellRestart();
  SayLeaving(started_at_);
  EXPECT_EQ(RequestStatus(), 200);
  SayLeaving(UnixTime());
  EXPECT_EQ(RequestStatus(), 503);
}

}  // namespace
}  // namespace balsam::gateway
