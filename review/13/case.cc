// A leaving engine fails the calls that stop a run, and then the stream of the
// run: the run, which may not be repeated, goes on at another engine while the
// first one still works on it.
#include "../rig-3/engine.h"

namespace rig {
namespace {

// What the stand-ins' threads use lives until the process ends.
int Run() {
  record = std::make_unique<Record>("review/13/record.txt");
  const bool trouble = WithTrouble();
  record->Line("trouble: %d", trouble ? 1 : 0);
  const std::string host = "127.13.0.";
  Store& store = *new Store(host + "9");
  static std::vector<std::unique_ptr<Engine>> engines;
  static std::atomic<int> stop_calls = 0;
  for (const char* name : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
    // None of these drops a request when its connection closes.
    engines.push_back(std::make_unique<Engine>(
        name, host + std::to_string(20 + engines.size()), Engine::Options{}));
    store.Put("servers/" + engines.back()->id(),
              engines.back()->Entry("gen", "osijek-a"));
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

  const std::string id = "abc100";
  std::thread client([&] {
    const auto connection = Connection::Open(gateway.ip(), gateway.front());
    const Answer answer = Ask(
        *connection,
        "POST /d/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
            "\r\nCredential: k1\r\nModel: m\r\nToken-Usage: 3000,932\r\n"
            "Prefix-Hash: 5c1e07a2:79," +
            id + ":2921\r\nDeadline-Ms: 39000\r\nContent-Length: 2\r\n\r\nhi",
        15000);
    record->Line("client: %s is answered %d, %s, seal %s", id.c_str(),
                 answer.status, answer.complete ? "whole" : "cut",
                 answer.message.Field("response-seal").c_str());
  });
  Sleep(1200);
  Engine* source = nullptr;
  for (const auto& engine : engines) {
    if (!engine->runs().empty()) source = engine.get();
  }
  if (source == nullptr) return 2;
  if (trouble) {
    // It fails two calls that stop a run, and the stream between them. What
    // others send it, it serves.
    source->on_call = [source, id](Connection& connection,
                                   const Message& call) {
      if (call.second != "/kv-move" || stop_calls == 2 ||
          call.body.find("\"last\":true") == std::string::npos) {
        return false;
      }
      record->Line("engine %s: resets a call that stops a run",
                   source->name().c_str());
      connection.Reset();
      if (++stop_calls == 1) {
        std::thread([source, id] {
          Sleep(20);
          record->Line("engine %s: resets the stream", source->name().c_str());
          source->ResetStream(id);
        }).detach();
      }
      return true;
    };
  }
  store.Put("servers/" + source->id(),
            source->Entry("gen", "osijek-a", "draining"));
  // Requests of other machines to the same engine.
  for (int i = 0; i < 6; ++i) {
    const size_t colon = source->address().find(':');
    const auto connection =
        Connection::Open(source->address().substr(0, colon),
                         stoi(source->address().substr(colon + 1)));
    const std::string other = "def10" + std::to_string(i);
    const Answer answer =
        Ask(*connection,
            "POST /d/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + other +
                "\r\nExpect-Instance: " + source->id() +
                "\r\nModel: m\r\nToken-Usage: 300,8\r\nContent-Length: "
                "2\r\n\r\nhi",
            5000);
    record->Line("another machine: %s is answered %d, %s", other.c_str(),
                 answer.status, answer.complete ? "whole" : "cut");
  }
  client.join();
  Sleep(3000);

  bool broken = false;
  bool moved = false;
  const Engine::Run before = source->runs().front();
  for (const auto& engine : engines) {
    if (engine.get() == source) continue;
    for (const auto& run : engine->runs()) {
      moved = true;
      const double overlap = before.ended - run.received;
      record->Line(
          "%s went on at engine %s at %.1f ms; engine %s worked on it "
          "until %.1f ms, %.1f ms later",
          id.c_str(), engine->name().c_str(), run.received,
          source->name().c_str(), before.ended, overlap);
      broken = broken || overlap > 400;
    }
  }
  record->Line("TWICE %s", broken ? "is broken" : "holds");
  if (!trouble && !moved) return 2;
  return broken ? 1 : 0;
}

}  // namespace
}  // namespace rig

int main() { rig::End(rig::Run()); }
