// A part of prompts crashes the engines that answer it, and two answers beside
// it are lost: the gateway refuses all requests that share the first part.
#include "../rig-3/engine.h"

namespace rig {
namespace {

constexpr int kStableMs = 3000;
constexpr char kDeadlyPart[] = "dead01";
constexpr char kFormerPart[] = "aaaa01";
constexpr char kNewPart[] = "bbbb01";

struct Client {
  std::string id;
  std::string part;
  bool deadly = false;
  double sent = 0;
  int status = 0;
};

std::mutex clients_mutex;
std::vector<std::unique_ptr<Client>> clients;

// Sends a dossier whose prompt begins with `part`, and reads its answer.
void Send(Gateway& gateway, const std::string& id, const std::string& part,
          bool deadly) {
  Client* client = nullptr;
  {
    const std::lock_guard lock(clients_mutex);
    clients.push_back(
        std::make_unique<Client>(Client{id, part, deadly, record->Now(), 0}));
    client = clients.back().get();
  }
  const auto connection = Connection::Open(gateway.ip(), gateway.front());
  const std::string second = deadly ? kDeadlyPart : "cc" + id;
  const Answer answer =
      Ask(*connection,
          "POST /d/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
              "\r\nCredential: k1\r\nModel: m\r\nToken-Usage: 1400,48\r\n"
              "Prefix-Hash: " +
              part + ":79," + second + ":100," + id +
              ":1221\r\nDeadline-Ms: 39000\r\nContent-Length: " +
              std::to_string(id.size()) + "\r\n\r\n" + id,
          8000);
  client->status = answer.status;
  record->Line("client: %s (first part %s%s) is answered %d, %s", id.c_str(),
               part.c_str(), deadly ? ", deadly" : "", answer.status,
               answer.complete ? "whole" : "cut");
}

// What the stand-ins' threads use lives until the process ends.
int Run() {
  record = std::make_unique<Record>("review/12/record.txt");
  const bool trouble = WithTrouble();
  // To see what each of the two does alone.
  const bool with_deadly = trouble && getenv("NO_DEADLY") == nullptr;
  const bool with_lost = trouble && getenv("NO_LOST") == nullptr;
  record->Line("trouble: %d", trouble ? 1 : 0);
  const std::string host = "127.12.0.";
  Store& store = *new Store(host + "9");
  static std::vector<std::unique_ptr<Engine>> engines;
  static std::mutex lost_mutex;
  static std::set<std::string> lost;
  for (const char* name : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
    engines.push_back(std::make_unique<Engine>(
        name, host + std::to_string(20 + engines.size()),
        Engine::Options{.drops_on_close = true}));
    Engine& engine = *engines.back();
    engine.on_begin = [](const Message& request) {
      if (request.Field("prefix-hash").find(kDeadlyPart) != std::string::npos) {
        return Engine::Fate::kCrash;
      }
      const std::lock_guard lock(lost_mutex);
      return lost.erase(request.Field("request-id")) > 0
                 ? Engine::Fate::kAnswerLost
                 : Engine::Fate::kServed;
    };
    store.Put("servers/" + engine.id(), engine.Entry("gen", "osijek-a"));
  }
  store.Put("op/config",
            "{\"version\":3,\"routes\":[{\"name\":\"dossier-draft\",\"host\":"
            "\"h.example\",\"prefix\":\"/d/\",\"kind\":\"stream\",\"service\":"
            "\"gen\",\"attempts\":1,\"resumable\":false,\"sticky\":true,"
            "\"timeoutMs\":39000,\"goalMs\":1800,\"gapGoalMs\":180,"
            "\"priority\":1}],\"services\":[{\"name\":\"gen\",\"healthPath\":"
            "\"/health\",\"maxConns\":232,\"engine\":{\"slots\":24,"
            "\"kvCapacity\":34161,\"moves\":true,\"backups\":true}}],"
            "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{"
            "\"name\":\"t1\",\"apiKeys\":[\"k1\"]}]}");
  Gateway& gateway =
      *new Gateway(host + "1", store.address(), "osijek-a", Folder());
  gateway.Start();
  if (!gateway.WaitReady(8000)) return 2;
  Sleep(1000);

  std::vector<std::thread> threads;
  int count = 100;
  const auto send = [&](const std::string& part, bool deadly) {
    const std::string id = (deadly ? "dd" : "ab") + std::to_string(++count);
    threads.emplace_back(
        [&gateway, id, part, deadly] { Send(gateway, id, part, deadly); });
  };
  // Calm.
  for (int i = 0; i < 30; ++i, Sleep(100)) send(kFormerPart, false);
  Sleep(1500);
  // Prompts begin with another part from here on. Others with the former part
  // still come for the 4 s in which answers are lost.
  const double calm_until = record->Now();
  std::thread former([&gateway] {
    std::vector<std::thread> own;
    for (int i = 0; i < 100; ++i, Sleep(40)) {
      own.emplace_back([&gateway, id = "fe" + std::to_string(100 + i)] {
        Send(gateway, id, kFormerPart, false);
      });
    }
    for (auto& thread : own) thread.join();
  });
  double last_crash = record->Now();
  if (with_deadly) Send(gateway, "dd001", kNewPart, true);
  last_crash = record->Now();
  for (const char* id : {"ab001", "ab002"}) {
    if (with_lost) {
      const std::lock_guard lock(lost_mutex);
      lost.insert(id);
    }
    Send(gateway, id, kNewPart, false);
  }
  former.join();
  // One deadly request a second, and ten sound ones.
  for (int i = 0; i < 120; ++i, Sleep(100)) {
    send(kNewPart, false);
    if (with_deadly && i % 10 == 5) send(kNewPart, true);
  }
  for (auto& thread : threads) thread.join();

  std::set<std::string> begun;
  int crashes = 0;
  for (const auto& engine : engines) {
    for (const auto& run : engine->runs()) {
      if (run.first_token < 0) continue;
      begun.insert(run.id);
      if (run.id.starts_with("dd")) {
        ++crashes;
        if (crashes <= 5) last_crash = std::max(last_crash, run.first_token);
      }
    }
  }
  int calm = 0, calm_begun = 0, late = 0, late_begun = 0;
  for (const auto& client : clients) {
    if (client->deadly) continue;
    const bool has_begun = begun.contains(client->id);
    if (client->sent < calm_until) {
      ++calm;
      calm_begun += has_begun ? 1 : 0;
    } else if (client->sent > last_crash + 2 * kStableMs) {
      ++late;
      late_begun += has_begun ? 1 : 0;
    }
  }
  record->Line(
      "%d crashes; in calm %d of %d sound requests began; later than "
      "%d ms after the last crash %d of %d",
      crashes, calm_begun, calm, 2 * kStableMs, late_begun, late);
  const bool broken = calm >= 20 && late >= 20 &&
                      2.0 * late_begun / late < 1.0 * calm_begun / calm;
  record->Line("LOST %s", broken ? "is broken" : "holds");
  return broken ? 1 : 0;
}

}  // namespace
}  // namespace rig

int main() { rig::End(rig::Run()); }
