// A complete gateway on loopback addresses, with scripted engines and clients
// that write and read raw bytes.
#pragma once

#include <gtest/gtest.h>

#include <QTcpSocket>
#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/wire_dialect.h"
#include "services/gateway/gateway_node.h"
#include "tests/services/gateway/event_loop.h"
#include "tests/services/gateway/scripted_engine.h"

namespace balsam::gateway {

class GatewayNodeTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(RetryWithOtherPorts([this] { return StartNode(); }));
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
    settings.stop_grace = stop_grace_;
    client_port_ = settings.clients.port;
    peer_port_ = settings.peers.port;
    gossip_port_ = settings.gossip_port;
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

  // Publishes a configuration with one plain route, and an entry for each
  // engine.
  void Publish(const std::vector<const ScriptedEngine*>& engines) {
    std::vector<revisions::RevisionedEntry> entries = {
        ConfigurationEntry(1, true)};
    for (std::size_t i = 0; i < engines.size(); ++i) {
      entries.push_back(EntryOf(i, *engines[i], 1));
    }
    node_->OnStoreSnapshot(entries, revision_);
  }

  // If `is_public`, the route needs no key; otherwise it needs one that nobody
  // has.
  revisions::RevisionedEntry ConfigurationEntry(int version, bool is_public) {
    const nlohmann::json configuration = {
        {"version", version},
        {"routes",
         {{{"name", "r"},
           {"host", "h"},
           {"prefix", "/"},
           {"kind", kind_},
           {"service", "s"},
           {"timeoutMs", timeout_.count()},
           {"goalMs", objective_.count()},
           {"attempts", attempts_},
           {"public", is_public}}}},
        {"tenants",
         {{{"name", "w"}, {"apiKeys", {"k-" + std::to_string(version)}}}}},
        {"services", {{{"name", "s"}, {"healthPath", "/health"}}}}};
    return {"op/config", ++revision_, configuration.dump()};
  }

  // The entry of an incarnation. The first one started before the test, each
  // further one starts now.
  revisions::RevisionedEntry EntryOf(std::size_t number,
                                     const ScriptedEngine& engine,
                                     int incarnation) {
    return EntryOf(number, engine,
                   incarnation == 1
                       ? started_at_
                       : UnixTime() + std::chrono::milliseconds(1));
  }
  // `born`: when the incarnation started, in Unix time.
  revisions::RevisionedEntry EntryOf(std::size_t number,
                                     const ScriptedEngine& engine,
                                     std::chrono::milliseconds born) {
    const nlohmann::json entry = {
        {"service", "s"},
        {"addr", "127.0.0.1:" + std::to_string(engine.port())},
        {"zone", "z"},
        {"slots", 8},
        {"state", "ready"},
        {"born", born.count()}};
    return {"servers/i-" + std::to_string(number), ++revision_, entry.dump()};
  }

  static std::chrono::milliseconds UnixTime() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
  }

  static void Reply(const ScriptedEngine::Request& request,
                    const std::string& fields,
                    const std::string& status = "200 OK") {
    const std::string text = "HTTP/1.1 " + status +
                             "\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\n" +
                             fields + "Content-Length: 2\r\n\r\nok";
    request.socket->write(text.data(), static_cast<qint64>(text.size()));
  }

  // Sends a request and returns the head of the response.
  std::string SendRequest() {
    QTcpSocket client;
    client.connectToHost("127.0.0.1", client_port_);
    client.write(
        "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r-1\r\n"
        "Connection: close\r\n\r\n");
    std::string response;
    EXPECT_TRUE(RunUntil([&] {
      response += client.readAll().toStdString();
      return client.state() == QAbstractSocket::UnconnectedState;
    }));
    return response.substr(0, response.find("\r\n\r\n"));
  }
  // Sends a request and returns the status of the response.
  int RequestStatus() { return std::stoi(SendRequest().substr(9, 3)); }

  static std::size_t Requests(const ScriptedEngine& engine) {
    return static_cast<std::size_t>(std::ranges::count_if(
        engine.heads,
        [](const std::string& head) { return head.starts_with("GET /x"); }));
  }

  // Time from the request to stop until the process is terminated.
  std::chrono::milliseconds stop_grace_{8000};
  // Properties of the published route.
  std::string kind_ = "readonly";
  int attempts_ = 1;
  std::chrono::milliseconds timeout_{15000};
  std::chrono::milliseconds objective_{10000};
  // When the first incarnations of the engines started, in Unix time.
  std::chrono::milliseconds started_at_{UnixTime() - std::chrono::hours(1)};
  platform::WireDialect dialect_;
  ScriptedEngine first_;
  ScriptedEngine second_;
  std::unique_ptr<GatewayNode> node_;
  std::uint16_t client_port_ = 0;
  // Where other gateways fetch changes.
  std::uint16_t peer_port_ = 0;
  // Where other gateways send datagrams.
  std::uint16_t gossip_port_ = 0;
  std::uint64_t revision_ = 0;
};

}  // namespace balsam::gateway
