// Engines are cut off from the store, crash behind the cut and start again
// under the id that they had, while they are reached by the gateway. Checks
// that the gateway does not break off what the new incarnation runs.
#include <cstring>
#include <iostream>

#include "review/standin/client.h"
#include "review/standin/deployment.h"
#include "review/standin/gateway.h"
#include "review/standin/model_engine.h"
#include "review/standin/store.h"

namespace standin {
namespace {

constexpr int kEngines = 5;
// Of long generations, and of short ones.
constexpr int kGuests = 38;
constexpr int kDigests = 10;
constexpr int kCuts = 5;
// RULES.md, LOST: "more than three times".
constexpr int kAllowed = 3;

int RunCase(int argc, char** argv) {
  if (argc < 3) return 2;
  const std::string folder = argv[1];
  Record record(argv[2]);
  const char* trouble_text = std::getenv("TROUBLE");
  const bool trouble =
      trouble_text == nullptr || std::strcmp(trouble_text, "0") != 0;
  const std::string ip = "127.0.0.1";

  Store store(ip);
  store.Put("op/config", Configuration(7));
  std::vector<std::unique_ptr<ModelEngine>> engines;
  for (int i = 1; i <= kEngines; ++i) {
    ModelEngine::Options options;
    options.id = "i-" + std::to_string(i);
    options.service = kModelService;
    options.event_interval = milliseconds(30);
    engines.push_back(std::make_unique<ModelEngine>(options, store, record));
    engines.back()->Announce("ready");
  }
  Gateway gateway(folder, "front-1", ip, {ip}, store.address(), FreePort(ip),
                  FreePort(ip));
  gateway.Start();
  if (!gateway.WaitUntilReady()) return 2;
  std::this_thread::sleep_for(milliseconds(3000));

  // Requests on kept connections whose connection the gateway closed without
  // a whole answer, by request.
  std::mutex mutex;
  std::set<std::string> cut_on_kept;
  std::atomic<bool> stop = false;
  std::atomic<int> sent = 0;
  std::atomic<int> complete = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < kGuests + kDigests; ++i) {
    clients.emplace_back([&, is_long = i < kGuests] {
      while (!stop) {
        ClientConnection connection(ip, gateway.front_port());
        while (!stop && connection.is_open()) {
          const std::string id = "a" + std::to_string(++sent);
          const bool is_kept = connection.requests() > 0;
          record.Line("client sends " + id +
                      (is_kept ? ", kept connection" : ""));
          const Answer answer = connection.Ask(
              is_long ? GenerationText("/guest/reply", id, 3000, 400, 39000)
                      : GenerationText("/digest/day", id, 2200, 12, 6000),
              milliseconds(is_long ? 39000 : 6000));
          complete += answer.is_complete && answer.status == 200 ? 1 : 0;
          record.Line("client has " + id + ": " +
                      std::to_string(answer.status) +
                      (answer.is_complete ? ", complete" : ", broken off"));
          if (!answer.is_complete && is_kept) {
            const std::scoped_lock lock(mutex);
            cut_on_kept.insert(id);
          }
          std::this_thread::sleep_for(milliseconds(150));
        }
        std::this_thread::sleep_for(milliseconds(50));
      }
    });
    std::this_thread::sleep_for(milliseconds(80));
  }

  for (int i = 0; trouble && i < kCuts; ++i) {
    ModelEngine& engine = *engines[static_cast<std::size_t>(i % kEngines)];
    record.Line("engine " + engine.id() + " is cut off from the store");
    std::this_thread::sleep_for(milliseconds(200));
    engine.Crash();
    std::this_thread::sleep_for(milliseconds(500));
    engine.Restart();
    std::this_thread::sleep_for(milliseconds(2500));
    record.Line("engine " + engine.id() + " reaches the store");
    engine.Announce("ready");
    std::this_thread::sleep_for(milliseconds(4000));
  }
  if (!trouble) std::this_thread::sleep_for(std::chrono::seconds(40));
  stop = true;
  for (auto& client : clients) client.join();

  int lost = 0;
  for (const auto& engine : engines) {
    for (const auto& period : engine->Periods()) {
      if (period.how != "dropped" || !cut_on_kept.contains(period.request)) {
        continue;
      }
      ++lost;
      char text[32];
      std::snprintf(text, sizeof(text), "%.3f", period.ended);
      record.Line("LOST " + period.request + ": the gateway closed both its " +
                  "connections while " + period.engine + " ran it, at " + text);
    }
  }
  record.Line("requests: " + std::to_string(sent) +
              ", complete: " + std::to_string(complete) +
              ", lost at sound engines: " + std::to_string(lost));
  gateway.Kill();
  std::_Exit(lost > kAllowed ? 1 : 0);
}

}  // namespace
}  // namespace standin

int main(int argc, char** argv) { return standin::RunCase(argc, argv); }
