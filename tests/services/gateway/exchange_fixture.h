// Single requests through the gateway, against scripted engines. Tests wait for
// the response, never for a fixed time.
#pragma once

#include <gtest/gtest.h>

#include <QCoreApplication>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "platform/wire_dialect.h"
#include "services/gateway/exchange.h"
#include "tests/services/gateway/event_loop.h"
#include "tests/services/gateway/scripted_engine.h"

namespace balsam::gateway {

// Null if the configuration is invalid.
inline std::shared_ptr<const routing::RouteTable> BuildRoutes(
    routing::Configuration configuration) {
  return TryOr(
      [&] { return routing::RouteTable::Build(std::move(configuration)); },
      [](const Error&) {
        return std::shared_ptr<const routing::RouteTable>();
      });
}

class RecordingSink : public ResponseSink {
 public:
  void SendComplete(http1::ResponseHead head, std::string body) override {
    status = head.status;
    text = std::move(body);
    End(true);
  }
  void BeginBody(http1::ResponseHead head) override { status = head.status; }
  void WriteBody(std::string_view bytes) override {
    text += bytes;
    if (on_text) on_text();
  }
  void EndBody() override { End(true); }
  void BreakOff() override { End(false); }
  bool IsFull() const override { return false; }

  std::function<void()> on_text;
  int status = 0;
  std::string text;
  std::optional<bool> complete;

 private:
  void End(bool whole) { complete = whole; }
};

class ExchangeTest : public testing::Test {
 protected:
  ExchangeTest()
      : context_(dialect_, {}, {0.2, 50.0, std::chrono::milliseconds(10000)},
                 1) {
    Announce("i-1", first_);
    Announce("i-2", second_);
  }

  void Announce(const std::string& id, const ScriptedEngine& engine,
                bool leaving = false) {
    directory::BackendServer server;
    server.id = id;
    server.service = "s";
    server.endpoint = {"127.0.0.1", engine.port()};
    server.data_center = id;
    server.slots = 8;
    server.leaving = leaving;
    context_.directory.OnAnnounced(server, BootClock::now());
  }

  // Sets up a route of this kind and sends a request on it. The first engine is
  // preferred by load, since the second already has work.
  void Send(routing::RequestKind kind, int attempts) {
    Offer(kind, attempts);
    SendRequest();
  }

  void Offer(routing::RequestKind kind, int attempts, bool resumable = false) {
    routing::Route route;
    route.name = "r";
    route.host = "h";
    route.prefix = "/";
    route.kind = kind;
    route.timeout = route_timeout_;
    route.latency_objective = latency_objective_;
    route.max_attempts = attempts;
    route.resumable = resumable;
    route.services = {{"s", 1.0}};
    routing::Configuration configuration;
    configuration.version = 1;
    configuration.routes = {routing::Share(route)};
    routing::Service service;
    service.name = "s";
    if (kind == routing::RequestKind::kStream) {
      service.engine = routing::EngineTraits{8, 100000, true, true};
    }
    configuration.services = {service};
    context_.routes = BuildRoutes(std::move(configuration));
    dispatch::Demand busy;
    context_.selector.OnStart("i-2", busy);
    context_.selector.OnStart("i-2", busy);
  }

  void SendRequest() { SendRequestFor(sink_); }

  void SendRequestFor(ResponseSink& sink) {
    http1::RequestHead head;
    head.method = "POST";
    head.target = "/x";
    head.fields.Add("Host", "h");
    head.fields.Add("Request-Id", "r-1");
    head.fields.Add("Token-Usage", "100," + std::to_string(max_tokens_));
    head.fields.Add("Length-Hint", std::to_string(expected_tokens_));
    if (client_time_left_.has_value()) {
      head.fields.Add("Deadline-Ms",
                      std::to_string(client_time_left_->count()));
    }
    if (client_last_event_.has_value()) {
      head.fields.Add("Last-Event-Id", std::to_string(*client_last_event_));
    }
    exchange_ = std::make_unique<Exchange>(context_, sink, std::move(head),
                                           "body", BootClock::now());
    exchange_->Start();
  }

  void RunUntilDone() {
    ASSERT_TRUE(RunUntil([this] { return sink_.complete.has_value(); }));
  }

  // Both engines crash on each request.
  void CrashOnRequests() {
    for (ScriptedEngine* engine : {&first_, &second_}) {
      engine->on_request = [engine](const auto&) { engine->Crash(); };
    }
  }
  // Engines that crashed are back once that is known.
  void RestartEngines() {
    ASSERT_TRUE(
        RunUntil([this] { return context_.crash_detector.checks() == 0; }));
    first_.Restart();
    second_.Restart();
    // What the node does for an engine that is back after a crash.
    context_.selector.Forget("i-1");
    context_.selector.Forget("i-2");
  }

  static void Reply(QTcpSocket* socket, const std::string& status,
                    const std::string& fields, const std::string& body) {
    const std::string text = "HTTP/1.1 " + status + "\r\n" + fields +
                             "Content-Length: " + std::to_string(body.size()) +
                             "\r\n\r\n" + body;
    socket->write(text.data(), static_cast<qint64>(text.size()));
  }
  static void ReplyOk(QTcpSocket* socket, const std::string& body) {
    Reply(socket, "200 OK", "Request-Id: r-1\r\nResponse-Seal: s\r\n", body);
  }
  // Returns a handler for an engine that answers every request successfully.
  static auto ReplyingOk(const std::string& body) {
    return [body](const ScriptedEngine::Request& request) {
      ReplyOk(request.socket, body);
    };
  }
  // Starts a stream of unknown length and sends its first events.
  static void BeginStream(QTcpSocket* socket, int first, int last) {
    std::string text =
        "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\n"
        "Transfer-Encoding: chunked\r\n\r\n";
    for (int number = first; number <= last; ++number) {
      text +=
          http1::EncodeChunk("id: " + std::to_string(number) + "\ndata: t\n\n");
    }
    socket->write(text.data(), static_cast<qint64>(text.size()));
  }
  static void EndStream(QTcpSocket* socket) { socket->write("0\r\n\r\n"); }

  std::chrono::milliseconds route_timeout_{15000};
  std::chrono::milliseconds latency_objective_{10000};
  // Output tokens of a request, as it states them.
  int max_tokens_ = 100;
  int expected_tokens_ = 100;
  // How long the client waits; unlimited if unset.
  std::optional<std::chrono::milliseconds> client_time_left_;
  // The last event that the client has from an earlier connection.
  std::optional<int> client_last_event_;
  platform::WireDialect dialect_;
  ScriptedEngine first_;
  ScriptedEngine second_;
  RecordingSink sink_;
  GatewayContext context_;
  std::unique_ptr<Exchange> exchange_;
};

}  // namespace balsam::gateway
