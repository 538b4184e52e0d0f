// Case: a stream without length or chunks, whose slow engine is asked to stop
// it just as its first event is under way, ends as complete.
//
// Four of 24 engines work four times as long (`srv_slow`). A gateway leaves
// an engine that has not begun to answer within the objective of the route: it
// asks the engine to stop the run. With TROUBLE=0 no engine is slow.
#include "engine.h"
#include "platform.h"

namespace review {
namespace {

constexpr int kEngines = 24;
// The share .15 of `srv_slow`, rounded up.
constexpr int kSlowEngines = 4;
constexpr int kGateways = 10;
constexpr double kSlowFactor = 4.0;
constexpr int kRequests = 1800;

const char kConfiguration[] =
    "{\"version\":1,\"routes\":[{\"name\":\"daily-digest\",\"host\":"
    "\"towns.example\",\"prefix\":\"/digest/\",\"kind\":\"stream\","
    "\"timeoutMs\":6000,\"goalMs\":1500,\"priority\":0,\"service\":\"llm\","
    "\"attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,"
    "\"gapGoalMs\":180}],\"services\":[{\"name\":\"llm\",\"healthPath\":"
    "\"/health\",\"maxConns\":312,\"engine\":{\"slots\":32,"
    "\"kvCapacity\":34316,\"kvBytes\":163840,\"linkMbps\":24000.0,"
    "\"moves\":true,\"backups\":true,\"stride\":4,\"handleS\":5.0,"
    "\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"maxHeaderBytes\":16384,"
    "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
    "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"town\","
    "\"apiKeys\":[\"key-1\"]}]}";

}  // namespace

int Run(int argc, char** argv) {
  if (argc != 4) return 2;
  const std::string root = argv[1];
  const std::string folder = argv[2];
  record.Open(argv[3]);
  const char* trouble_text = std::getenv("TROUBLE");
  const bool trouble =
      trouble_text == nullptr || std::string(trouble_text) != "0";

  Store store("127.0.0.1");
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 0; i < kEngines; ++i) {
    engines.push_back(std::make_unique<Engine>(
        "127.0.0.1",
        EngineOptions{.id = "i-" + std::to_string(i), .framed = false}));
    store.Put("servers/" + engines.back()->id(), engines.back()->Entry("llm"));
  }
  store.Put("op/config", kConfiguration);
  std::vector<std::string> ips;
  ips.reserve(kGateways);
  for (int i = 0; i < kGateways; ++i) {
    ips.push_back("127.0.0." + std::to_string(11 + i));
  }
  const int port = FreePort(ips[0]);
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (const std::string& ip : ips) {
    gateways.push_back(std::make_unique<Gateway>(
        root, folder, ip, port, store.address(),
        std::vector<std::string>(ips.begin(), ips.begin() + 3)));
    if (!gateways.back()->Start()) return 2;
  }
  for (const auto& gateway : gateways) {
    if (!gateway->WaitUntilReady(15'000)) return 2;
  }
  SleepMs(3000);
  if (trouble) {
    for (int i = 0; i < kSlowEngines; ++i) {
      engines[static_cast<std::size_t>(i)]->SetSlow(kSlowFactor);
      record.Line("engine i-" + std::to_string(i) + " turns slow");
    }
  }

  std::atomic<int> whole{0};
  std::atomic<int> broken{0};
  std::atomic<int> refused{0};
  std::atomic<int> violations{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kRequests; ++i) {
    clients.emplace_back([&, i] {
      StreamRequest request;
      char id[17];
      std::snprintf(id, sizeof(id), "%016x", 0x1000 + i);
      request.id = id;
      request.path = "/digest/a";
      // Within the sheet: 2,200 on average, 6,000 at most.
      request.prompt_tokens = 4600 + 22 * (i % 30);
      request.pieces = 5 + i % 6;
      request.deadline_ms = 6000;
      const auto result = SendStream(
          gateways[static_cast<std::size_t>(i) % gateways.size()]->clients(),
          request);
      const bool is_whole = result.pieces == request.pieces;
      const bool violated = !result.in_order || (result.complete && !is_whole);
      ++(result.status != 200 ? refused
         : violated           ? violations
         : result.complete    ? whole
                              : broken);
      record.Line("client " + request.id + ": status " +
                  std::to_string(result.status) + ", " +
                  std::to_string(result.pieces) + " of " +
                  std::to_string(request.pieces) + " events, " +
                  (result.complete ? "ended as complete" : "broken off") +
                  ", first event after " + std::to_string(result.first_ms) +
                  " ms, took " + std::to_string(result.took_ms) + " ms" +
                  (violated ? "  <-- ORDER" : ""));
    });
    SleepMs(45);
  }
  for (std::thread& client : clients) client.join();
  gateways.clear();
  int stops = 0;
  for (const auto& engine : engines) stops += engine->stops();
  const std::string sum =
      "whole " + std::to_string(whole) + ", broken off " +
      std::to_string(broken) + ", refused " + std::to_string(refused) +
      ", runs stopped by a call " + std::to_string(stops) +
      ", ended as complete before the last piece " + std::to_string(violations);
  record.Line(sum);
  std::printf("%s\n", sum.c_str());
  std::fflush(stdout);
  std::_Exit(violations > 0 ? 1 : 0);
}

}  // namespace review

int main(int argc, char** argv) { return review::Run(argc, argv); }
