// Case: streams without length or chunks end as complete when their engine
// crashes.
//
// Two of twelve engines are killed by SIGKILL, as `srv_crash` says, and
// do not come back. The kernel closes the connections of a process that is
// killed in order. With TROUBLE=0 no engine is killed.
#include "engine.h"
#include "platform.h"

namespace review {
namespace {

constexpr int kEngines = 12;
// The share .15 of `srv_crash`, rounded up.
constexpr int kCrashes = 2;
constexpr int kRequests = 100;
constexpr double kIntervalMs = 217;

const char kConfiguration[] =
    "{\"version\":1,\"routes\":[{\"name\":\"guest-reply\",\"host\":"
    "\"towns.example\",\"prefix\":\"/reply/\",\"kind\":\"stream\","
    "\"timeoutMs\":39000,\"goalMs\":1800,\"priority\":1,\"service\":\"llm\","
    "\"attempts\":1,\"public\":false,\"sticky\":true,\"resumable\":false,"
    "\"gapGoalMs\":180}],\"services\":[{\"name\":\"llm\",\"healthPath\":"
    "\"/health\",\"maxConns\":312,\"engine\":{\"slots\":32,"
    "\"kvCapacity\":34316,\"kvBytes\":163840,\"linkMbps\":24000.0,"
    "\"moves\":true,\"backups\":true,\"stride\":4,\"handleS\":5.0,"
    "\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"maxHeaderBytes\":16384,"
    "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
    "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"town\","
    "\"apiKeys\":[\"key-1\"]}]}";

// An engine in a process of its own.
class EngineProcess {
 public:
  EngineProcess(const std::string& folder, const std::string& id) : id_(id) {
    const std::string entry_file = folder + "/" + id + ".entry";
    std::string program = "/proc/self/exe";
    std::string role = "--engine";
    std::string name = id;
    std::string file = entry_file;
    char* arguments[] = {program.data(), role.data(), name.data(), file.data(),
                         nullptr};
    if (::posix_spawn(&pid_, program.c_str(), nullptr, nullptr, arguments,
                      environ) != 0) {
      std::_Exit(2);
    }
    std::ofstream(folder + "/engine-pids", std::ios::app) << pid_ << '\n';
    while (entry_.empty() || entry_.back() != '}') {
      SleepMs(5);
      std::ifstream stream(entry_file);
      std::getline(stream, entry_);
    }
  }
  ~EngineProcess() { Kill(); }
  const std::string& id() const { return id_; }
  const std::string& entry() const { return entry_; }
  void Kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

 private:
  std::string id_;
  std::string entry_;
  pid_t pid_ = -1;
};

int RunEngine(const std::string& id, const std::string& entry_file) {
  record.Open(entry_file + ".runs");
  record.Line("start " + std::to_string(kStart.time_since_epoch().count()));
  Engine engine("127.0.0.1", EngineOptions{.id = id, .framed = false});
  std::ofstream(entry_file) << engine.Entry("llm");
  // It ends with the case.
  for (const pid_t parent = ::getppid(); ::getppid() == parent;) SleepMs(100);
  std::_Exit(0);
}

// Copies what an engine recorded, with the times of this process.
void CopyRuns(const std::string& runs_file) {
  std::ifstream file(runs_file);
  double time = 0;
  double offset = 0;
  std::string text;
  while (file >> time && std::getline(file, text)) {
    if (text.starts_with(" start ")) {
      const Clock::duration start(std::stoll(text.substr(7)));
      offset = Ms(start - kStart.time_since_epoch()).count();
      continue;
    }
    record.Line("at " + std::to_string(time + offset) + text);
  }
}

}  // namespace

int Run(int argc, char** argv) {
  if (argc != 4) return 2;
  if (std::string(argv[1]) == "--engine") return RunEngine(argv[2], argv[3]);
  const std::string root = argv[1];
  const std::string folder = argv[2];
  record.Open(argv[3]);
  const char* trouble_text = std::getenv("TROUBLE");
  const bool trouble =
      trouble_text == nullptr || std::string(trouble_text) != "0";

  Store store("127.0.0.1");
  std::vector<std::unique_ptr<EngineProcess>> engines;
  for (int i = 0; i < kEngines; ++i) {
    engines.push_back(
        std::make_unique<EngineProcess>(folder, "i-" + std::to_string(i)));
    store.Put("servers/" + engines.back()->id(), engines.back()->entry());
  }
  store.Put("op/config", kConfiguration);
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

  std::atomic<int> whole{0};
  std::atomic<int> broken{0};
  std::atomic<int> refused{0};
  std::atomic<int> violations{0};
  std::vector<std::thread> clients;
  double expire_at = 0;
  for (int i = 0; i < kRequests; ++i) {
    clients.emplace_back([&, i] {
      StreamRequest request;
      char id[17];
      std::snprintf(id, sizeof(id), "%016x", 0x1000 + i);
      request.id = id;
      request.path = "/reply/a";
      request.prompt_tokens = 2000 + 37 * (i % 10);
      request.pieces = 200 + i % 40;
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
    SleepMs(kIntervalMs);
    if (trouble && i == 40) {
      for (int j = 0; j < kCrashes; ++j) {
        engines[static_cast<std::size_t>(j)]->Kill();
        record.Line("engine i-" + std::to_string(j) + " crashes");
      }
      // Three intervals of silence, 1,200 ms each.
      expire_at = NowMs() + 3600;
    }
    if (expire_at > 0 && NowMs() > expire_at) {
      expire_at = 0;
      for (int j = 0; j < kCrashes; ++j) {
        store.Remove("servers/i-" + std::to_string(j));
        record.Line("store: the entry of i-" + std::to_string(j) + " expires");
      }
    }
  }
  for (std::thread& client : clients) client.join();
  gateways.clear();
  engines.clear();
  for (int i = 0; i < kEngines; ++i) {
    CopyRuns(folder + "/i-" + std::to_string(i) + ".entry.runs");
  }
  const std::string sum =
      "whole " + std::to_string(whole) + ", broken off " +
      std::to_string(broken) + ", refused " + std::to_string(refused) +
      ", ended as complete before the last piece " + std::to_string(violations);
  record.Line(sum);
  std::printf("%s\n", sum.c_str());
  std::fflush(stdout);
  std::_Exit(violations > 0 ? 1 : 0);
}

}  // namespace review

int main(int argc, char** argv) { return review::Run(argc, argv); }
