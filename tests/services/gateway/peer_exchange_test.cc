// What a gateway learns from its peers, on loopback addresses.
#include "services/gateway/peer_exchange.h"

#include <gtest/gtest.h>

#include <QCoreApplication>
#include <QTcpServer>
#include <QTcpSocket>
#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "libraries/revisions/revision.h"
#include "platform/wire_dialect.h"
#include "tests/services/gateway/event_loop.h"

namespace balsam::gateway {
namespace {

using revisions::RevisionedEntry;
using std::chrono::milliseconds;

// One of the two gateways.
struct Gateway {
  Gateway(const std::string& ip, std::uint16_t changes, std::uint16_t gossip)
      : ip(ip),
        context(dialect, {}, {0.2, 50.0, milliseconds(10000)}, 1),
        exchange({ip, {ip, changes}, gossip}, context, replica,
                 std::hash<std::string>()(ip)) {
    exchange.reaches_store = [this] { return reaches_store; };
    exchange.on_evidence = [this](const quarantine::Change& change,
                                  const std::string&) {
      if (change.is_news) exchange.AnnounceEvidence();
    };
    exchange.on_leaving = [this](const gossip::LeavingServer& server) {
      leaving = server;
    };
    exchange.on_changes = [this](const auto& changes, std::uint64_t revision) {
      for (const RevisionedEntry& entry : changes) replica.Apply(entry);
      if (revision <= replica.revision()) return;
      replica.AdvanceTo(revision);
      exchange.AnnounceRevision();
    };
    exchange.on_snapshot = [this](const auto& entries, std::uint64_t revision) {
      replica.ApplySnapshot({}, entries, revision);
      exchange.AnnounceRevision();
    };
  }

  std::string ip;
  platform::WireDialect dialect;
  GatewayContext context;
  revisions::RevisionedMap replica;
  PeerExchange exchange;
  bool reaches_store = false;
  gossip::LeavingServer leaving;
};

class PeerExchangeTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(RetryWithOtherPorts([this] { return StartBoth(); }));
    second_->exchange.SetSeeds({"127.0.0.1"});
  }

  bool StartBoth() {
    const std::uint16_t changes = changes_port_ = FreePort();
    const std::uint16_t gossip = gossip_port_ = FreePort();
    first_ = std::make_unique<Gateway>("127.0.0.1", changes, gossip);
    second_ = std::make_unique<Gateway>("127.0.0.2", changes, gossip);
    if (Start(*first_) && Start(*second_)) return true;
    second_.reset();
    return false;
  }

  static bool Start(Gateway& gateway) {
    return TryOr(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(gateway.exchange.Start());
          return true;
        },
        [](const Error&) { return false; });
  }

  // Runs until the second gateway has all changes that the first one has.
  void RunUntilChangesArrive() {
    ASSERT_TRUE(RunUntil([this] {
      return second_->replica.revision() == first_->replica.revision();
    }));
  }

  std::uint16_t changes_port_ = 0;
  std::uint16_t gossip_port_ = 0;
  std::unique_ptr<Gateway> first_;
  std::unique_ptr<Gateway> second_;
};

TEST_F(PeerExchangeTest, FetchesMissingChanges) {
  first_->replica.Apply({"k", 7, "value"});
  first_->replica.Apply({"gone", 8, std::nullopt});
  first_->replica.AdvanceTo(8);
  RunUntilChangesArrive();
  ASSERT_NE(second_->replica.Find("k"), nullptr);
  EXPECT_EQ(*second_->replica.Find("k"), "value");
  EXPECT_EQ(second_->replica.revision(), 8U);
}

// A gateway that has just started knows from the store what exists, but not
// what was deleted before. A peer that fetched changes from it used to keep a
// server that had left.
TEST_F(PeerExchangeTest, RestartedPeerDoesNotHideDeletions) {
  second_->replica.Apply({"left", 5, "server"});
  second_->replica.Apply({"stays", 6, "server"});
  second_->replica.AdvanceTo(8);
  // The store deleted "left" at revision 9.
  first_->replica.ApplySnapshot({}, {{"stays", 6, "server"}}, 10);
  RunUntilChangesArrive();
  EXPECT_EQ(second_->replica.Find("left"), nullptr);
  EXPECT_NE(second_->replica.Find("stays"), nullptr);
}

// The store was restored from an older copy, as only one of them has seen.
TEST_F(PeerExchangeTest, RestoredStateReplacesWhatPeersKnewBefore) {
  second_->replica.ApplySnapshot({}, {{"lost", 90, "server"}}, 100);
  const std::uint64_t restored = *revisions::MakeRevision(1, 40);
  first_->replica.ApplySnapshot({}, {{"kept", restored, "server"}}, restored);
  RunUntilChangesArrive();
  EXPECT_EQ(second_->replica.Find("lost"), nullptr);
  EXPECT_NE(second_->replica.Find("kept"), nullptr);
}

// A configuration of a megabyte.
const std::string kLongText(1 << 20, 'x');

TEST_F(PeerExchangeTest, FetchesLongTextWithChanges) {
  first_->replica.Apply({"k", 7, "value"});
  first_->replica.Apply({"op/config", 8, kLongText});
  first_->replica.AdvanceTo(8);
  RunUntilChangesArrive();
  ASSERT_NE(second_->replica.Find("op/config"), nullptr);
  EXPECT_TRUE(*second_->replica.Find("op/config") == kLongText);
  EXPECT_NE(second_->replica.Find("k"), nullptr);
  EXPECT_TRUE(second_->exchange.newer_texts().empty());
  EXPECT_EQ(second_->exchange.Lag(BootClock::now()), milliseconds(0));
}

TEST_F(PeerExchangeTest, FetchesLongTextOfSnapshot) {
  second_->replica.Apply({"left", 5, "server"});
  second_->replica.AdvanceTo(8);
  first_->replica.ApplySnapshot({}, {{"op/config", 9, kLongText}}, 10);
  RunUntilChangesArrive();
  ASSERT_NE(second_->replica.Find("op/config"), nullptr);
  EXPECT_EQ(second_->replica.Find("left"), nullptr);
}

// Responds to all requests for changes, as a gateway of another version or one
// that is too slow.
class ScriptedPeer : public QObject {
 public:
  // Announces `set` to the gateway, from an address of its own.
  bool Start(const Gateway& gateway, std::uint16_t changes,
             std::uint16_t gossip, const gossip::ChangeSet& set) {
    const QHostAddress address("127.0.0.3");
    QObject::connect(&server_, &QTcpServer::newConnection, this, [this] {
      QTcpSocket* socket = server_.nextPendingConnection();
      QObject::connect(socket, &QTcpSocket::readyRead, this, [this, socket] {
        const std::string head = socket->readAll().toStdString();
        targets.push_back(head.substr(0, head.find("\r\n")));
        if (head.find("/changes") == std::string::npos) return;
        const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: " +
                                 std::to_string(bytes_.size()) + "\r\n\r\n" +
                                 bytes_;
        socket->write(text.data(), static_cast<qint64>(text.size()));
      });
    });
    bytes_ = gossip::Encode(set);
    if (!server_.listen(address, changes) || !socket_.bind(address, gossip)) {
      return false;
    }
    gossip::Digest digest;
    digest.incarnation = 1;
    digest.sequence = 1;
    digest.state_version = 1;
    digest.revision = set.revision;
    const std::string message = gossip::Encode(digest);
    socket_.writeDatagram(message.data(), static_cast<qint64>(message.size()),
                          QHostAddress(QString::fromStdString(gateway.ip)),
                          gossip);
    return true;
  }

  std::vector<std::string> targets;

 private:
  QTcpServer server_;
  QUdpSocket socket_;
  std::string bytes_;
};

// Guards against a server that leaves while a long text is on its way: nothing
// was known of it until the text had arrived.
TEST_F(PeerExchangeTest, ShortChangesDoNotWaitForLongText) {
  second_->replica.Apply({"left", 5, "server"});
  second_->replica.AdvanceTo(8);
  ScriptedPeer peer;
  ASSERT_TRUE(peer.Start(
      *second_, changes_port_, gossip_port_,
      {12, {{"left", 11, std::nullopt}}, false, {{"op/config", 12}}}));
  ASSERT_TRUE(
      RunUntil([this] { return second_->replica.Find("left") == nullptr; }));
  // Not all changes up to there are known.
  EXPECT_EQ(second_->replica.revision(), 8U);
  EXPECT_TRUE(second_->exchange.newer_texts().contains("op/config"));
  EXPECT_GT(second_->exchange.Lag(BootClock::now() + milliseconds(1)),
            milliseconds(0));
  // The store has it, too.
  second_->replica.Apply({"op/config", 12, kLongText});
  second_->replica.AdvanceTo(12);
  second_->exchange.AnnounceRevision();
  EXPECT_TRUE(second_->exchange.newer_texts().empty());
  EXPECT_EQ(second_->exchange.Lag(BootClock::now()), milliseconds(0));
}

// A gateway of an earlier version, during a rolling restart.
TEST_F(PeerExchangeTest, WholeTextAmongChangesIsApplied) {
  ScriptedPeer peer;
  ASSERT_TRUE(peer.Start(*second_, changes_port_, gossip_port_,
                         {12, {{"op/config", 12, kLongText}}, false, {}}));
  ASSERT_TRUE(RunUntil([this] { return second_->replica.revision() == 12U; }));
  EXPECT_TRUE(*second_->replica.Find("op/config") == kLongText);
}

TEST_F(PeerExchangeTest, EarlierVersionIsSentWholeText) {
  first_->replica.Apply({"op/config", 8, kLongText});
  first_->replica.AdvanceTo(8);
  OutboundConnection connection({"127.0.0.1", changes_port_}, {kTestLimit},
                                nullptr);
  connection.AllowBulkResponses({});
  std::string body;
  connection.Call("GET /changes?after=0 HTTP/1.1\r\nHost: h\r\n\r\n",
                  kTestLimit,
                  [&](const OutboundConnection::Response& response) {
                    body = response.body;
                  });
  ASSERT_TRUE(RunUntil([&] { return !body.empty(); }));
  const auto set = TryOr([&] { return gossip::DecodeChangeSet(body); },
                         [](const Error&) { return gossip::ChangeSet{}; });
  ASSERT_EQ(set.changes.size(), 1U);
  EXPECT_TRUE(set.changes[0].value == kLongText);
  EXPECT_TRUE(set.texts.empty());
}

// Incident inc-3489: gateways that the store refused mistook the removal of an
// engine, which their peers had seen while the store was available, for an
// expired entry, and did not migrate its runs.
TEST_F(PeerExchangeTest, PeerReportsStoreAccess) {
  first_->replica.Apply({"gone", 8, std::nullopt});
  first_->replica.AdvanceTo(8);
  first_->reaches_store = true;
  RunUntilChangesArrive();
  EXPECT_TRUE(second_->exchange.AnyReachesStore());
  EXPECT_FALSE(first_->exchange.AnyReachesStore());
}

TEST_F(PeerExchangeTest, DetectsOutageForAllGateways) {
  first_->replica.Apply({"gone", 8, std::nullopt});
  first_->replica.AdvanceTo(8);
  RunUntilChangesArrive();
  EXPECT_FALSE(second_->exchange.AnyReachesStore());
}

TEST_F(PeerExchangeTest, LoadChangesAreSent) {
  dispatch::Demand demand;
  demand.prompt_tokens = 3200;
  first_->context.selector.OnStart("i-1", demand);
  const auto known = [this] {
    return second_->context.selector.UsageOf("i-1", BootClock::now()).requests;
  };
  EXPECT_TRUE(RunUntil([&] { return known() == 1; }));
  first_->context.selector.OnEnd("i-1", demand, false);
  EXPECT_TRUE(RunUntil([&] { return known() == 0; }));
}

// With two gateways each aggregates every server, as soon as it knows of the
// other.
TEST_F(PeerExchangeTest, AggregatorNeedsNoQuery) {
  dispatch::Demand demand;
  demand.prompt_tokens = 3200;
  first_->context.selector.OnStart("i-1", demand);
  ASSERT_TRUE(RunUntil([this] {
    return second_->context.selector.UsageOf("i-1", BootClock::now())
               .requests == 1;
  }));
  bool was_called = false;
  EXPECT_FALSE(second_->context.query_loads(
      {"i-1"}, [&](const std::set<std::uint32_t>&) { was_called = true; }));
  EXPECT_FALSE(was_called);
}

// Guards against a limit that each gateway keeps for itself.
TEST_F(PeerExchangeTest, GatewaysShareOneLimit) {
  constexpr double kLimit = 20.0;
  const std::uint32_t server = dispatch::ServerKey("i-1");
  first_->context.limits.OnResponse(server, kLimit, BootClock::now());
  // The other one learns of it without a response of its own.
  ASSERT_TRUE(RunUntil(
      [&] { return second_->context.limits.LimitOf(server).has_value(); }));
  std::map<Gateway*, int> granted;
  std::map<Gateway*, int> replies;
  const auto ask = [&](Gateway& gateway) {
    const auto result =
        gateway.context.request_permit("i-1", [&](bool is_granted) {
          ++replies[&gateway];
          if (is_granted) ++granted[&gateway];
        });
    if (result == PermitResult::kGranted) ++granted[&gateway];
    return result;
  };
  const BootTime start = BootClock::now();
  ASSERT_TRUE(RunUntil([&] {
    ask(*first_);
    ask(*second_);
    return granted[first_.get()] >= 3 && granted[second_.get()] >= 3;
  }));
  // One of them decided for both.
  EXPECT_FALSE(replies.empty());
  const std::chrono::duration<double> time = BootClock::now() - start;
  constexpr double kBurst = 1.0 + kLimit * 0.5;
  EXPECT_LE(granted[first_.get()] + granted[second_.get()],
            kLimit * time.count() + kBurst);
}

class CrashEvidencePeerTest : public PeerExchangeTest {
 protected:
  static constexpr quarantine::Trait kDeadlyPart = 3;

  // A run at this gateway crashes a server.
  static void Crash(Gateway& gateway, std::uint32_t server) {
    const BootTime now = BootClock::now();
    gateway.context.crash_ledger.OnCrash(
        {server, milliseconds(0), milliseconds(0), {kDeadlyPart, server}}, now);
    gateway.exchange.AnnounceEvidence();
  }
  static bool IsQuarantined(const Gateway& gateway) {
    return gateway.context.crash_ledger
        .FindQuarantined(std::vector{kDeadlyPart})
        .has_value();
  }
};

TEST_F(CrashEvidencePeerTest, CrashesOfAllGatewaysCount) {
  Crash(*first_, 1);
  Crash(*second_, 2);
  ASSERT_TRUE(RunUntil([this] {
    return first_->context.crash_ledger.CrashesOf(kDeadlyPart) == 2 &&
           second_->context.crash_ledger.CrashesOf(kDeadlyPart) == 2;
  }));
  Crash(*second_, 3);
  EXPECT_TRUE(IsQuarantined(*second_));
  EXPECT_TRUE(RunUntil([this] { return IsQuarantined(*first_); }));
}

// Evidence is passed on for a few seconds only, but a quarantine for as long as
// it lasts.
TEST_F(CrashEvidencePeerTest, QuarantineIsPassedOnAsLongAsItLasts) {
  quarantine::Evidence evidence;
  evidence.quarantined = {{{kDeadlyPart}, milliseconds(60000), 1}};
  first_->context.crash_ledger.Merge(evidence, BootClock::now());
  EXPECT_TRUE(RunUntil([this] { return IsQuarantined(*second_); }));
}

// Forwards connections to another gateway, and cuts each one after a part of
// the response: what a slow link carries until a limit is reached.
class CuttingProxy : public QObject {
 public:
  bool Listen(const std::string& ip, std::uint16_t port,
              const std::string& target_ip, std::size_t max_bytes) {
    QObject::connect(&server_, &QTcpServer::newConnection, this, [=, this] {
      QTcpSocket* client = server_.nextPendingConnection();
      auto* target = new QTcpSocket(client);
      target->connectToHost(QString::fromStdString(target_ip), port);
      auto sent = std::make_shared<std::size_t>(0);
      QObject::connect(client, &QTcpSocket::readyRead, target, [=] {
        const QByteArray request = client->readAll();
        // A list would name the target, which is then asked
        // directly.
        if (!request.contains("/gateways")) {
          target->write(request);
        }
      });
      QObject::connect(target, &QTcpSocket::readyRead, client, [=] {
        const QByteArray part =
            target->readAll().left(static_cast<qsizetype>(max_bytes - *sent));
        *sent += static_cast<std::size_t>(part.size());
        client->write(part);
        if (*sent >= max_bytes) client->disconnectFromHost();
      });
      QObject::connect(target, &QTcpSocket::disconnected, client,
                       [=] { client->disconnectFromHost(); });
    });
    return server_.listen(QHostAddress(QString::fromStdString(ip)), port);
  }

 private:
  QTcpServer server_;
};

// Guards against a long text of which no fetch ever gets the whole, since each
// one ends before and begins from nothing (review/10).
TEST_F(PeerExchangeTest, LongTextArrivesThoughEachFetchIsCutOff) {
  constexpr std::size_t kTextBytes = 64 << 10;
  constexpr std::size_t kFetchedBytes = 16 << 10;
  std::minstd_rand random(1);
  std::string text(kTextBytes, ' ');
  std::ranges::generate(text,
                        [&] { return static_cast<char>('!' + random() % 90); });
  Gateway origin("127.0.0.4", changes_port_, gossip_port_);
  ASSERT_TRUE(Start(origin));
  origin.replica.Apply({"op/config", 12, text});
  origin.replica.AdvanceTo(12);
  CuttingProxy proxy;
  ASSERT_TRUE(
      proxy.Listen("127.0.0.3", changes_port_, "127.0.0.4", kFetchedBytes));
  QUdpSocket socket;
  ASSERT_TRUE(socket.bind(QHostAddress("127.0.0.3"), gossip_port_));
  gossip::Digest digest;
  digest.incarnation = 1;
  digest.state_version = 1;
  digest.revision = 12;
  ASSERT_TRUE(RunUntil([&] {
    ++digest.sequence;
    const std::string message = gossip::Encode(digest);
    socket.writeDatagram(message.data(), static_cast<qint64>(message.size()),
                         QHostAddress("127.0.0.2"), gossip_port_);
    return second_->replica.revision() == 12U;
  }));
  EXPECT_TRUE(*second_->replica.Find("op/config") == text);
}

TEST_F(PeerExchangeTest, LeavingServerIsAnnounced) {
  const gossip::LeavingServer server{"i-1", milliseconds(1700)};
  first_->exchange.AnnounceLeaving(server);
  EXPECT_TRUE(RunUntil([&] { return second_->leaving == server; }));
}

}  // namespace
}  // namespace balsam::gateway
