// Requests come whose prompts share a part that crashes each engine when it
// begins to write an answer on it. Checks how many of them still reach engines
// once the fifth crash is longer ago than the rule allows.
#include <cstring>
#include <iostream>

#include "review/standin/client.h"
#include "review/standin/deployment.h"
#include "review/standin/gateway.h"
#include "review/standin/model_engine.h"
#include "review/standin/store.h"

namespace standin {
namespace {

constexpr int kNodes = 2;
constexpr int kEngines = 6;
constexpr double kSeconds = 45;
// RULES.md: `stableMs`, and the number of requests and crashes.
constexpr double kStable = 3.0;
constexpr int kAllowed = 3;
constexpr std::size_t kCrashes = 5;

int RunCase(int argc, char** argv) {
  if (argc < 3) return 2;
  const std::string folder = argv[1];
  Record record(argv[2]);
  const auto is_set = [](const char* name, const char* value) {
    const char* text = std::getenv(name);
    return text != nullptr && std::strcmp(text, value) == 0;
  };
  const bool trouble = !is_set("TROUBLE", "0");

  Store store("127.0.0.1");
  store.Put("op/config", Configuration(7));
  std::vector<std::unique_ptr<ModelEngine>> engines;
  for (int i = 1; i <= kEngines; ++i) {
    ModelEngine::Options options;
    options.id = "i-" + std::to_string(i);
    options.service = kModelService;
    options.deadly_part = "dead1";
    // To compare: with HEAD=1 the head of the response is out before.
    options.sends_head_before_crash = is_set("HEAD", "1");
    engines.push_back(std::make_unique<ModelEngine>(options, store, record));
    engines.back()->Announce("ready");
  }
  const int control = FreePort("127.0.0.1");
  const int gossip = FreePort("127.0.0.1");
  std::vector<std::unique_ptr<Gateway>> nodes;
  for (int i = 1; i <= kNodes; ++i) {
    nodes.push_back(std::make_unique<Gateway>(
        folder, "front-" + std::to_string(i), "127.0.0." + std::to_string(i),
        std::vector<std::string>{"127.0.0.1", "127.0.0.2"}, store.address(),
        control, gossip));
    nodes.back()->Start();
  }
  for (const auto& node : nodes) {
    if (!node->WaitUntilReady()) return 2;
  }
  std::this_thread::sleep_for(milliseconds(3000));

  std::mutex mutex;
  // When each request with the part was sent, by id.
  std::map<std::string, double> deadly;
  std::atomic<int> sound = 0;
  std::atomic<int> served = 0;
  std::atomic<int> broken_off = 0;
  std::vector<std::thread> threads;
  const double begin = record.Now();
  for (int i = 0; record.Now() < begin + kSeconds; ++i) {
    const bool is_deadly = trouble && i % 9 == 8;
    threads.emplace_back([&, i, is_deadly] {
      const std::string id = std::to_string(i) + (is_deadly ? "dd" : "aa");
      const Gateway& node = *nodes[static_cast<std::size_t>(i % kNodes)];
      record.Line("client sends " + id + " to " + node.name());
      if (is_deadly) {
        const std::scoped_lock lock(mutex);
        deadly[id] = record.Now();
      }
      // No two alike; sound ones share the caller and the other part.
      const Answer answer =
          Ask(node.ip(), node.front_port(),
              GenerationText("/guest/reply", id, 1500, 200, 39000,
                             is_deadly ? "a1:79,dead1:120," : "a1:79,c2:120,"),
              milliseconds(39000));
      record.Line("client has " + id + ": " + std::to_string(answer.status) +
                  (answer.is_complete ? ", complete" : ", broken off"));
      if (is_deadly) return;
      ++sound;
      served += answer.status == 200 && answer.is_complete ? 1 : 0;
      broken_off += answer.is_complete ? 0 : 1;
    });
    std::this_thread::sleep_for(milliseconds(150));
  }
  for (auto& thread : threads) thread.join();

  std::vector<double> crashes;
  std::vector<std::string> arrived;
  for (const auto& engine : engines) {
    for (const auto& period : engine->Periods()) {
      if (period.how == "crashed the engine") crashes.push_back(period.ended);
      if (deadly.contains(period.request)) arrived.push_back(period.request);
    }
  }
  std::ranges::sort(crashes);
  int late = 0;
  if (crashes.size() >= kCrashes) {
    const double limit = crashes[kCrashes - 1] + kStable;
    for (const auto& id : arrived) {
      if (deadly.at(id) <= limit) continue;
      ++late;
      record.Line("BUDGET " + id + " reached an engine, sent " +
                  std::to_string(deadly.at(id) - crashes[kCrashes - 1]) +
                  " s after the fifth crash");
    }
  }
  record.Line(
      "with the part: sent " + std::to_string(deadly.size()) + ", crashes " +
      std::to_string(crashes.size()) + ", reached engines too late " +
      std::to_string(late) + "; sound: " + std::to_string(sound) + ", served " +
      std::to_string(served) + ", broken off " + std::to_string(broken_off));
  for (const auto& node : nodes) node->Kill();
  std::_Exit(late > kAllowed ? 1 : 0);
}

}  // namespace
}  // namespace standin

int main(int argc, char** argv) { return standin::RunCase(argc, argv); }
