// Case: a stream without length or chunks that its engine stops at the time
// that the gateway gave it ends as complete.
//
// An operator shortens the time-out of a route, as versions of the
// configuration do. Generations that take longer are stopped by their engines
// at `Deadline-Ms`. With TROUBLE=0 the time-out stays as it was.
#include "engine.h"
#include "platform.h"

namespace review {
namespace {

constexpr int kLongTimeoutMs = 39'000;
constexpr int kShortTimeoutMs = 3'000;
constexpr int kRequests = 120;

std::string Configuration(int version, int timeout_ms) {
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":[{\"name\":\"guest-reply\",\"host\":\"towns.example\","
         "\"prefix\":\"/reply/\",\"kind\":\"stream\",\"timeoutMs\":" +
         std::to_string(timeout_ms) +
         ",\"goalMs\":1800,\"priority\":1,\"service\":\"llm\",\"attempts\":1,"
         "\"public\":false,\"sticky\":true,\"resumable\":false,"
         "\"gapGoalMs\":180}],\"services\":[{\"name\":\"llm\",\"healthPath\":"
         "\"/health\",\"maxConns\":312,\"engine\":{\"slots\":32,"
         "\"kvCapacity\":34316,\"kvBytes\":163840,\"linkMbps\":24000.0,"
         "\"moves\":true,\"backups\":true,\"stride\":4,\"handleS\":5.0,"
         "\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"maxHeaderBytes\":"
         "16384,"
         "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
         "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"town\","
         "\"apiKeys\":[\"key-1\"]}]}";
}

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
  for (int i = 0; i < 6; ++i) {
    engines.push_back(std::make_unique<Engine>(
        "127.0.0.1",
        EngineOptions{.id = "i-" + std::to_string(i), .framed = false}));
    store.Put("servers/" + engines.back()->id(), engines.back()->Entry("llm"));
  }
  store.Put("op/config", Configuration(1, kLongTimeoutMs));
  const std::vector<std::string> ips = {"127.0.0.11", "127.0.0.12"};
  const int port = FreePort(ips[0]);
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (const std::string& ip : ips) {
    gateways.push_back(std::make_unique<Gateway>(root, folder, ip, port,
                                                 store.address(), ips));
    if (!gateways.back()->Start()) return 2;
  }
  for (const auto& gateway : gateways) {
    if (!gateway->WaitUntilReady(15'000)) return 2;
  }
  SleepMs(3000);
  if (trouble) {
    store.Put("op/config", Configuration(2, kShortTimeoutMs));
    record.Line("operator: version 2, timeoutMs 3000");
  }
  SleepMs(2500);

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
      request.path = "/reply/a";
      request.prompt_tokens = 1500 + 37 * (i % 10);
      // 4.2 s and more at 28 ms each.
      request.pieces = 150 + i % 17;
      const auto result = SendStream(
          gateways[static_cast<std::size_t>(i) % 2]->clients(), request);
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
                  ", took " + std::to_string(result.took_ms) + " ms" +
                  (violated ? "  <-- ORDER" : ""));
    });
    SleepMs(311);
  }
  for (std::thread& client : clients) client.join();
  gateways.clear();
  const std::string sum =
      "whole " + std::to_string(whole) + ", broken off " +
      std::to_string(broken) + ", refused " + std::to_string(refused) +
      ", ended as complete before the last piece " + std::to_string(violations);
  record.Line(sum);
  std::printf("%s\n", sum.c_str());
  std::fflush(stdout);
  if (violations > 0) std::_Exit(1);
  // Without the disruption all are to be whole.
  std::_Exit(!trouble && whole != kRequests ? 2 : 0);
}

}  // namespace review

int main(int argc, char** argv) { return review::Run(argc, argv); }
