// Three of the five nodes of a zone are stopped and started in turn, while
// engines are crowded but on time. Checks that no node cuts off what it has
// accepted later than 3 s after its SIGTERM.
#include <cstring>
#include <iostream>

#include "review/standin/balancer.h"
#include "review/standin/client.h"
#include "review/standin/deployment.h"
#include "review/standin/gateway.h"
#include "review/standin/model_engine.h"
#include "review/standin/store.h"

namespace standin {
namespace {

constexpr int kNodes = 5;
constexpr int kEngines = 6;
// DEPLOY.md: SIGKILL follows SIGTERM after `graceS`.
constexpr double kGrace = 8.0;
// RULES.md: not counted is what was sent no later than this after the SIGTERM
// and ran in the last sixth of `graceS`.
constexpr double kExcused = 3.0;
constexpr double kRequestsPerSecond = 14;
constexpr double kSeconds = 40;

struct Sent {
  std::string id;
  std::size_t node = 0;
  double at = 0;
  double ended = 0;
  int status = 0;
  bool is_complete = false;
};

// When a node got SIGTERM, and when its process ended.
struct Stop {
  std::size_t node = 0;
  double at = 0;
  double ended = 0;
};

int RunCase(int argc, char** argv) {
  if (argc < 3) return 2;
  const std::string folder = argv[1];
  Record record(argv[2]);
  const char* trouble_text = std::getenv("TROUBLE");
  const bool trouble =
      trouble_text == nullptr || std::strcmp(trouble_text, "0") != 0;

  Store store("127.0.0.1");
  store.Put("op/config", Configuration(7));
  std::vector<std::unique_ptr<ModelEngine>> engines;
  for (int i = 1; i <= kEngines; ++i) {
    ModelEngine::Options options;
    options.id = "i-" + std::to_string(i);
    options.service = kModelService;
    // An event of 4 tokens. Pauses of 180 ms are on time.
    options.event_interval = milliseconds(120);
    engines.push_back(std::make_unique<ModelEngine>(options, store, record));
    engines.back()->Announce("ready");
  }
  const int control = FreePort("127.0.0.1");
  const int gossip = FreePort("127.0.0.1");
  std::vector<std::unique_ptr<Gateway>> nodes;
  for (int i = 1; i <= kNodes; ++i) {
    nodes.push_back(std::make_unique<Gateway>(
        folder, "front-" + std::to_string(i), "127.0.0." + std::to_string(i),
        std::vector<std::string>{"127.0.0.1", "127.0.0.2", "127.0.0.3"},
        store.address(), control, gossip));
    nodes.back()->Start();
  }
  for (const auto& node : nodes) {
    if (!node->WaitUntilReady()) return 2;
  }
  Balancer balancer(nodes, record);
  std::this_thread::sleep_for(milliseconds(3000));

  std::mutex mutex;
  std::vector<Sent> requests;
  std::vector<Stop> stops;
  std::vector<std::thread> threads;
  if (trouble) {
    threads.emplace_back([&] {
      std::this_thread::sleep_for(milliseconds(6000));
      std::vector<std::thread> supervisors;
      for (std::size_t i = 0; i < 3; ++i) {
        supervisors.emplace_back([&, i] {
          Stop stop{i, record.Now(), 0};
          record.Line("SIGTERM for " + nodes[i]->name());
          nodes[i]->Signal(SIGTERM);
          int status = 0;
          bool has_ended = false;
          while (!has_ended && record.Now() < stop.at + kGrace) {
            std::this_thread::sleep_for(milliseconds(10));
            has_ended = nodes[i]->HasEnded(status);
          }
          if (!has_ended) nodes[i]->Kill();
          stop.ended = record.Now();
          record.Line(nodes[i]->name() +
                      (has_ended ? " has ended" : " was killed after graceS"));
          std::this_thread::sleep_for(milliseconds(300));
          nodes[i]->Start();
          const std::scoped_lock lock(mutex);
          stops.push_back(stop);
        });
        std::this_thread::sleep_for(milliseconds(1000));
      }
      for (auto& supervisor : supervisors) supervisor.join();
    });
  }
  std::minstd_rand random(1);
  const double begin = record.Now();
  for (int i = 0; record.Now() < begin + kSeconds; ++i) {
    const int tokens_out = 20 + static_cast<int>(random() % 180);
    threads.emplace_back([&, i, tokens_out] {
      // A client repeats once after a refusal, when it was told to.
      for (int attempt = 0; attempt < 2; ++attempt) {
        Sent sent;
        sent.id = std::to_string(i) + "d" + std::to_string(attempt);
        sent.node = balancer.Choose();
        sent.at = record.Now();
        record.Line("client sends " + sent.id + " to " +
                    nodes[sent.node]->name() + ", at most " +
                    std::to_string(tokens_out) + " tokens");
        const Answer answer = Ask(
            nodes[sent.node]->ip(), nodes[sent.node]->front_port(),
            GenerationText("/guest/reply", sent.id, 1500, tokens_out, 39000),
            milliseconds(39000));
        sent.ended = record.Now();
        sent.status = answer.status;
        sent.is_complete = answer.is_complete;
        record.Line("client has " + sent.id + ": " +
                    std::to_string(answer.status) +
                    (answer.is_complete ? ", complete" : ", broken off"));
        {
          const std::scoped_lock lock(mutex);
          requests.push_back(sent);
        }
        const std::string wait = answer.head.Header("Retry-After");
        if (answer.status != 503 || wait.empty()) return;
        std::this_thread::sleep_for(std::chrono::duration<double>(
            std::min(std::atof(wait.c_str()), 13.0)));
      }
    });
    std::this_thread::sleep_for(
        std::chrono::duration<double>(1 / kRequestsPerSecond));
  }
  for (auto& thread : threads) thread.join();

  std::map<std::string, ModelEngine::Period> periods;
  for (const auto& engine : engines) {
    for (const auto& period : engine->Periods()) {
      periods[period.request] = period;
    }
  }
  int complete = 0;
  int refused = 0;
  int excused = 0;
  int lost = 0;
  for (const Sent& sent : requests) {
    complete += sent.status == 200 && sent.is_complete ? 1 : 0;
    refused += sent.status == 503 ? 1 : 0;
    const auto run = periods.find(sent.id);
    const bool is_cut = !sent.is_complete && run != periods.end() &&
                        run->second.how == "dropped";
    if (!is_cut) continue;
    for (const Stop& stop : stops) {
      const double after = sent.at - stop.at;
      if (stop.node != sent.node || after > kGrace + 1 ||
          sent.ended < stop.at || sent.ended > stop.ended + 0.2) {
        continue;
      }
      if (after <= kExcused) {
        ++excused;
        continue;
      }
      ++lost;
      char text[160];
      std::snprintf(text, sizeof(text),
                    "LOST %s: sent %.3f s after the SIGTERM of %s, run by %s, "
                    "cut %.3f s after the SIGTERM",
                    sent.id.c_str(), after, nodes[sent.node]->name().c_str(),
                    run->second.engine.c_str(), sent.ended - stop.at);
      record.Line(text);
    }
  }
  record.Line("requests: " + std::to_string(requests.size()) +
              ", complete: " + std::to_string(complete) +
              ", refused: " + std::to_string(refused) + ", cut and excused: " +
              std::to_string(excused) + ", lost: " + std::to_string(lost));
  for (const auto& node : nodes) node->Kill();
  std::_Exit(lost > 0 ? 1 : 0);
}

}  // namespace
}  // namespace standin

int main(int argc, char** argv) { return standin::RunCase(argc, argv); }
