// A whole gateway on loopback addresses, against engines that act by script:
// what an engine says of itself in an answer, to whatever it was asked, decides
// what it is sent afterwards.
#include "services/gateway/gateway_node.h"

#include <gtest/gtest.h>

#include <QTcpSocket>
#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/wire_dialect.h"
#include "tests/services/gateway/event_loop.h"
#include "tests/services/gateway/scripted_engine.h"

namespace balsam::gateway {
namespace {

using nlohmann::json;
using revisions::RevisionedEntry;

class GatewayNodeTest : public testing::Test {
 protected:
  // Another process may take a port between its choice and its use.
  void SetUp() override {
    constexpr int kTries = 20;
    for (int tries = 0; tries < kTries && !StartNode(); ++tries) {
    }
    ASSERT_NE(node_, nullptr);
    for (ScriptedEngine* engine : {&first_, &second_}) {
      engine->on_request = [](const auto& request) { Reply(request, ""); };
    }
  }

  bool StartNode() {
    GatewaySettings settings;
    settings.node = "entry-1";
    settings.ip = "127.0.0.1";
    settings.clients = {settings.ip, FreePort()};
    settings.readiness = {settings.ip, FreePort()};
    settings.peers = {settings.ip, FreePort()};
    settings.gossip_port = FreePort();
    settings.retry_slack = 50.0;
    client_port_ = settings.clients.port;
    node_ = std::make_unique<GatewayNode>(settings, dialect_);
    const bool started = TryOr(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(node_->Start());
          return true;
        },
        [](const Error&) { return false; });
    if (!started) node_.reset();
    return started;
  }

  // Writes a configuration with one plain route, and an entry for each engine.
  void Publish(const std::vector<const ScriptedEngine*>& engines) {
    const json configuration = {
        {"version", 1},
        {"routes",
         {{{"name", "r"},
           {"host", "h"},
           {"prefix", "/"},
           {"kind", "readonly"},
           {"service", "s"},
           {"timeoutMs", 15000},
           {"goalMs", 10000},
           {"attempts", 1}}}},
        {"services", {{{"name", "s"}, {"healthPath", "/health"}}}}};
    std::vector<RevisionedEntry> entries = {
        {"op/config", ++revision_, configuration.dump()}};
    for (std::size_t i = 0; i < engines.size(); ++i) {
      entries.push_back(EntryOf(i, *engines[i], 1));
    }
    node_->OnStoreSnapshot(entries, revision_);
  }

  // `born`: when the incarnation began.
  RevisionedEntry EntryOf(std::size_t number, const ScriptedEngine& engine,
                          int born) {
    const json entry = {{"service", "s"},
                        {"addr", "127.0.0.1:" + std::to_string(engine.port())},
                        {"zone", "z"},
                        {"slots", 8},
                        {"state", "ready"},
                        {"born", born}};
    return {"servers/i-" + std::to_string(number), ++revision_, entry.dump()};
  }

  static void Reply(const ScriptedEngine::Request& request,
                    const std::string& fields,
                    const std::string& status = "200 OK") {
    const std::string text = "HTTP/1.1 " + status +
                             "\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\n" +
                             fields + "Content-Length: 2\r\n\r\nok";
    request.socket->write(text.data(), static_cast<qint64>(text.size()));
  }

  // Sends a request and returns the head of its answer.
  std::string Ask() {
    QTcpSocket client;
    client.connectToHost("127.0.0.1", client_port_);
    client.write(
        "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r-1\r\n"
        "Connection: close\r\n\r\n");
    std::string answer;
    EXPECT_TRUE(RunUntil([&] {
      answer += client.readAll().toStdString();
      return client.state() == QAbstractSocket::UnconnectedState;
    }));
    return answer.substr(0, answer.find("\r\n\r\n"));
  }
  // The status line's code.
  int StatusOfAsk() { return std::stoi(Ask().substr(9, 3)); }

  static std::size_t Requests(const ScriptedEngine& engine) {
    return static_cast<std::size_t>(std::ranges::count_if(
        engine.heads,
        [](const std::string& head) { return head.starts_with("GET /x"); }));
  }

  platform::WireDialect dialect_;
  ScriptedEngine first_;
  ScriptedEngine second_;
  std::unique_ptr<GatewayNode> node_;
  std::uint16_t client_port_ = 0;
  std::uint64_t revision_ = 0;
};

struct LeavingAnswer {
  const char* name;
  const char* status;
};

class LeavingAnswerTest : public GatewayNodeTest,
                          public testing::WithParamInterface<LeavingAnswer> {};

// The store lists the engine as ready all the while.
TEST_P(LeavingAnswerTest, AnEngineThatSaysThatItLeavesGetsNothingNew) {
  first_.on_request = [](const auto& request) {
    Reply(request, "Server-Leaving: 1\r\n", GetParam().status);
  };
  Publish({&first_});
  Ask();
  ASSERT_EQ(Requests(first_), 1U);
  EXPECT_EQ(StatusOfAsk(), 503);
  EXPECT_EQ(Requests(first_), 1U);
  // An entry that the engine had written before changes nothing.
  node_->OnStoreChanges({EntryOf(0, first_, 1)}, revision_);
  EXPECT_EQ(StatusOfAsk(), 503);
  EXPECT_EQ(Requests(first_), 1U);
}

TEST_P(LeavingAnswerTest, ANewIncarnationIsNotLeaving) {
  first_.on_request = [](const auto& request) {
    Reply(request, "Server-Leaving: 1\r\n", GetParam().status);
  };
  Publish({&first_});
  Ask();
  first_.on_request = [](const auto& request) { Reply(request, ""); };
  node_->OnStoreChanges({EntryOf(0, first_, 2)}, revision_);
  EXPECT_EQ(StatusOfAsk(), 200);
}

INSTANTIATE_TEST_SUITE_P(
    Answers, LeavingAnswerTest,
    testing::Values(LeavingAnswer{"Success", "200 OK"},
                    LeavingAnswer{"Failure", "500 Failed"},
                    LeavingAnswer{"NotFound", "404 Not Found"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST_F(GatewayNodeTest, AnEngineThatAsksForTimeGetsNothing) {
  first_.on_request = [](const auto& request) {
    Reply(request, "Not-Run: 1\r\nRetry-After: 30\r\n", "503 Full");
  };
  Publish({&first_});
  EXPECT_EQ(StatusOfAsk(), 503);
  const std::string refusal = Ask();
  EXPECT_EQ(Requests(first_), 1U);
  // Refused at once, and told when to come back: no sooner than a third of the
  // time that the route allows, which is less than what the engine asks for.
  EXPECT_NE(refusal.find("503"), std::string::npos);
  EXPECT_NE(refusal.find("Retry-After: 4."), std::string::npos) << refusal;
}

TEST_F(GatewayNodeTest, TheOthersServeWhileOneEngineRests) {
  const auto rest = [](const auto& request) {
    Reply(request, "Retry-After: 30\r\n", "503 Full");
  };
  first_.on_request = rest;
  Publish({&first_, &second_});
  constexpr int kRequests = 20;
  for (int i = 0; i < kRequests; ++i) Ask();
  EXPECT_LE(Requests(first_), 1U);
  EXPECT_GE(Requests(second_), kRequests - 1U);
}

TEST_F(GatewayNodeTest, ANewIncarnationDoesNotRest) {
  first_.on_request = [](const auto& request) {
    Reply(request, "Retry-After: 30\r\n", "503 Full");
  };
  Publish({&first_});
  Ask();
  first_.on_request = [](const auto& request) { Reply(request, ""); };
  node_->OnStoreChanges({EntryOf(0, first_, 2)}, revision_);
  EXPECT_EQ(StatusOfAsk(), 200);
}

}  // namespace
}  // namespace balsam::gateway
