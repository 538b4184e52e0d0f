// A model engine: runs requests as streams of events, copies their memory to
// other engines and goes on from copies, as PROTOCOL.md tells it.
#pragma once

#include <condition_variable>
#include <memory>

#include "net.h"
#include "record.h"
#include "store.h"

namespace standin {

class ModelEngine {
 public:
  struct Options {
    std::string id;
    std::string ip = "127.0.0.1";
    std::string service;
    // Whether a run ends when the connection of its request closes.
    bool drops_on_close = true;
    // An event holds 4 tokens; a step takes 7 ms and more.
    milliseconds event_interval{40};
    int slots = 32;
    // A part of prompts that crashes the engine when it begins to write an
    // answer on it; empty if there is none. It is back after `crash_time`.
    std::string deadly_part;
    milliseconds crash_time{2000};
    // Whether the head of the response is out by then.
    bool sends_head_before_crash = false;
  };

  // What one engine did for one request. A run goes on at another engine as
  // another period.
  struct Period {
    std::string request;
    std::string engine;
    // It goes on from the memory of a run at another engine, or of its own.
    bool is_resumed = false;
    double began = 0;
    // As `Record::Now`; zero while it lasts.
    double ended = 0;
    std::string how;
  };

  ModelEngine(Options options, Store& store, Record& record)
      : options_(std::move(options)), store_(store), record_(record) {
    Listen(0);
    const std::scoped_lock lock(FleetMutex());
    Fleet()[address()] = this;
  }

  void Announce(const std::string& state) {
    if (state == "draining") leaving_ = true;
    record_.Line("engine " + options_.id + " is " + state);
    store_.Put("servers/" + options_.id,
               R"({"service":")" + options_.service + R"(","addr":")" +
                   address() + R"(","zone":"zone-a","version":"v1","slots":)" +
                   std::to_string(options_.slots) + R"(,"state":")" + state +
                   R"(","coldLeftMs":0,"stage":"hybrid","models":[{"name":"m",)"
                   R"("version":1,"adapters":[]}],"seq":1,"born":)" +
                   std::to_string(born_) + "}");
  }
  // The process is gone: its entry is removed and its connections are reset.
  void Exit() {
    Crash();
    store_.Delete("servers/" + options_.id);
  }
  // The process ends, its connections are reset. Its entry stays.
  void Crash() {
    record_.Line("engine " + options_.id + " ends");
    exited_ = true;
    ++incarnation_;
    server_->Stop();
  }
  // Starts again under the id and at the address that it had. It knows nothing
  // of before.
  void Restart() {
    {
      const std::scoped_lock lock(mutex_);
      runs_.clear();
      copies_.clear();
      handles_ = 0;
    }
    born_ = NowMs();
    exited_ = false;
    Listen(server_->port());
    record_.Line("engine " + options_.id + " has started again");
  }
  const std::string& id() const { return options_.id; }
  std::string address() const { return server_->address(); }
  std::vector<Period> Periods() {
    const std::scoped_lock lock(mutex_);
    return periods_;
  }

 private:
  struct Run {
    std::string request;
    // Of the engine.
    int incarnation = 0;
    int tokens_in = 0;
    int events = 0;
    // Number of the last event that was made.
    std::atomic<int> made = 0;
    // Asked to stop by a call with `last`.
    std::atomic<bool> stop = false;
    // No longer at work.
    std::atomic<bool> ended = false;
    // Whether this engine still holds the memory after a stop.
    std::atomic<bool> stopped = false;
    std::string handle;
    int copied_events = -1;
  };
  struct Copy {
    int made = 0;
    std::string request;
  };

  static std::mutex& FleetMutex() {
    static std::mutex mutex;
    return mutex;
  }
  // All engines by address: copies go from one to the other.
  static std::map<std::string, ModelEngine*>& Fleet() {
    static std::map<std::string, ModelEngine*> fleet;
    return fleet;
  }
  static std::string JsonText(const std::string& json,
                              const std::string& name) {
    const auto at = json.find('"' + name + "\":\"");
    if (at == std::string::npos) return {};
    const auto begin = at + name.size() + 4;
    return json.substr(begin, json.find('"', begin) - begin);
  }

  static long long NowMs() {
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }
  void Listen(int port) {
    // A server that was stopped stays for the threads of its connections.
    servers_.push_back(std::make_unique<Server>(
        options_.ip,
        [this](Socket& socket, const Message& request) {
          return Handle(socket, request);
        },
        port));
    server_ = servers_.back().get();
  }

  bool Handle(Socket& socket, const Message& request) {
    const std::string target = request.Target();
    if (target == "/report") return Report(socket);
    if (target == "/health") {
      return socket.Write(Response(leaving_ ? "503 Leaving" : "200 OK",
                                   "Instance-Id: " + options_.id + "\r\n", ""));
    }
    if (target == "/kv-move") return Move(socket, request);
    if (target.starts_with("/kv-handle/")) {
      return socket.Write(Response("200 OK", "", ""));
    }
    return Generate(socket, request);
  }

  bool Report(Socket& socket) {
    int running = 0;
    {
      const std::scoped_lock lock(mutex_);
      for (const auto& run : runs_) running += run->ended ? 0 : 1;
    }
    const std::string body =
        R"({"stage":"hybrid","models":[{"name":"m","version":1,"adapters":[]}],)"
        R"("busy":false,"seq":0,"waiting":0,"running":)" +
        std::to_string(running) +
        R"(,"kvUsed":0,"kvTotal":34316,"handles":0,"born":)" +
        std::to_string(born_) + R"(,"state":")" +
        (leaving_ ? "draining" : "ready") + R"(","runs":[]})";
    return socket.Write(
        Response("200 OK", "Content-Type: application/json\r\n", body));
  }

  std::shared_ptr<Run> FindRun(const std::string& request) {
    const std::scoped_lock lock(mutex_);
    for (const auto& run : runs_) {
      if (run->request == request && !run->ended) return run;
    }
    return nullptr;
  }

  // Time on the link: 163,840 bytes a token over 24 Gbit/s.
  static milliseconds CopyTime(int tokens) {
    return milliseconds(static_cast<int>(tokens * 163840.0 * 8 / 24e9 * 1000));
  }

  bool Move(Socket& socket, const Message& request) {
    const std::string id = JsonText(request.body, "id");
    const std::string target = JsonText(request.body, "target");
    const bool last = request.body.find("\"last\":true") != std::string::npos;
    const auto run = FindRun(id);
    if (run == nullptr) {
      return socket.Write(Response("404 Not Found", "", "{}"));
    }
    if (last) {
      run->stop = true;
      while (!run->ended) std::this_thread::sleep_for(milliseconds(1));
    }
    {
      // Copies queue on the link.
      const std::scoped_lock link(link_mutex_);
      const int made = run->made;
      const int tokens = run->copied_events < 0
                             ? run->tokens_in + 4 * made
                             : 4 * (made - run->copied_events);
      std::this_thread::sleep_for(milliseconds(1) + CopyTime(tokens));
      run->copied_events = made;
      if (run->handle.empty()) run->handle = "h" + std::to_string(++handles_);
    }
    ModelEngine* other = nullptr;
    {
      const std::scoped_lock lock(FleetMutex());
      const auto found = Fleet().find(target);
      if (found != Fleet().end() && !found->second->exited_) {
        other = found->second;
      }
    }
    if (other == nullptr) {
      return socket.Write(Response("503 Service Unavailable", "",
                                   R"({"handle":")" + run->handle + "\"}"));
    }
    {
      const std::scoped_lock lock(other->mutex_);
      other->copies_[address() + "/" + run->handle] = {run->copied_events,
                                                       run->request};
    }
    record_.Line("engine " + options_.id + " copied " + id + " to " +
                 other->id() + (last ? ", stopped" : ", which goes on"));
    return socket.Write(Response("200 OK", "Content-Type: application/json\r\n",
                                 R"({"handle":")" + run->handle +
                                     R"(","created":)" +
                                     std::to_string(run->copied_events) + "}"));
  }

  // Takes the copy or the stopped run that `from` names; each serves once.
  std::optional<Copy> TakeMemory(const std::string& from) {
    const std::scoped_lock lock(mutex_);
    if (const auto found = copies_.find(from); found != copies_.end()) {
      const Copy copy = found->second;
      copies_.erase(found);
      return copy;
    }
    for (const auto& run : runs_) {
      const bool is_meant =
          !run->handle.empty() && from == address() + "/" + run->handle;
      if (is_meant && run->stopped.exchange(false)) {
        return Copy{run->made, run->request};
      }
    }
    return std::nullopt;
  }

  bool Generate(Socket& socket, const Message& request) {
    const std::string id = request.Header("Request-Id");
    const std::string name = "Request-Id: " + id + "\r\n";
    if (request.Header("Expect-Instance") != options_.id) {
      return socket.Write(Response("421 Misdirected Request",
                                   "Instance-Id: " + options_.id + "\r\n", ""));
    }
    auto run = std::make_shared<Run>();
    run->request = id;
    run->incarnation = incarnation_;
    const std::string usage = request.Header("Token-Usage");
    run->tokens_in = std::atoi(usage.c_str());
    run->events = std::atoi(usage.c_str() + usage.find(',') + 1) / 4;
    const std::string from = request.Header("Kv-From");
    if (!from.empty()) {
      const auto memory = TakeMemory(from);
      if (!memory.has_value() || memory->request != id) {
        return socket.Write(
            Response("503 Service Unavailable", name + "Not-Run: 1\r\n", ""));
      }
      run->made = memory->made;
    }
    const std::size_t period = Begin(run, !from.empty());
    // Reading the prompt: 14 tokens a ms.
    if (from.empty()) {
      std::this_thread::sleep_for(milliseconds(run->tokens_in / 14));
    }
    const bool is_deadly =
        !options_.deadly_part.empty() &&
        request.Header("Prefix-Hash").find(options_.deadly_part + ":") !=
            std::string::npos;
    if (is_deadly && run->incarnation == incarnation_) {
      if (options_.sends_head_before_crash) {
        socket.Write(HeadText(name));
        std::this_thread::sleep_for(milliseconds(5));
      }
      CrashOn(period);
      return false;
    }
    const std::string last = request.Header("Last-Event-Id");
    const bool is_whole =
        Stream(socket, *run, name, last.empty() ? 0 : std::atoi(last.c_str()));
    const bool is_done = run->made >= run->events;
    run->stopped = run->stop && !is_done;
    run->ended = true;
    End(period, is_done                            ? "done"
                : run->stop                        ? "stopped for a move"
                : run->incarnation != incarnation_ ? "crashed"
                                                   : "dropped");
    return is_whole;
  }

  static std::string Chunk(const std::string& bytes) {
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
  }
  std::string HeadText(const std::string& name) const {
    return "HTTP/1.1 200 OK\r\n" + name +
           "Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
           "Content-Type: text/event-stream\r\n" +
           (leaving_ ? "Server-Leaving: 1\r\n" : "") +
           "Transfer-Encoding: chunked\r\n\r\n";
  }

  // The run of this period crashes the engine, which starts again later.
  void CrashOn(std::size_t period) {
    End(period, "crashed the engine");
    Crash();
    std::thread([this] {
      std::this_thread::sleep_for(options_.crash_time);
      Restart();
      Announce("ready");
    }).detach();
  }

  // Makes the events, and sends those after `last` as long as the connection
  // is there. Returns whether the response is complete.
  bool Stream(Socket& socket, Run& run, const std::string& name, int last) {
    bool is_connected = socket.Write(HeadText(name));
    int sent = last;
    while (run.made < run.events && !run.stop &&
           run.incarnation == incarnation_) {
      std::this_thread::sleep_for(options_.event_interval);
      ++run.made;
      if (is_connected && socket.IsClosedByPeer()) {
        is_connected = false;
        record_.Line("engine " + options_.id + " sees that " + run.request +
                     " was closed");
      }
      if (!is_connected && options_.drops_on_close) return false;
      std::string events;
      for (; sent < run.made; ++sent) {
        events += "id: " + std::to_string(sent + 1) + "\ndata: " + run.request +
                  "." + std::to_string(sent + 1) + "\n\n";
      }
      if (is_connected && !events.empty()) {
        is_connected = socket.Write(Chunk(events));
      }
    }
    if (run.made < run.events || !is_connected) return false;
    return socket.Write("0\r\n\r\n");
  }

  std::size_t Begin(const std::shared_ptr<Run>& run, bool is_resumed) {
    record_.Line(
        "engine " + options_.id + " runs " + run->request +
        (is_resumed ? ", from a copy, after event " : " after event ") +
        std::to_string(run->made));
    const std::scoped_lock lock(mutex_);
    runs_.push_back(run);
    periods_.push_back(
        {run->request, options_.id, is_resumed, record_.Now(), 0, {}});
    return periods_.size() - 1;
  }
  void End(std::size_t period, const std::string& how) {
    const std::scoped_lock lock(mutex_);
    periods_[period].ended = record_.Now();
    periods_[period].how = how;
    record_.Line("engine " + options_.id + " ends " + periods_[period].request +
                 ": " + how);
  }

  const Options options_;
  Store& store_;
  Record& record_;
  std::atomic<long long> born_ = NowMs();
  // Number of times that it has ended.
  std::atomic<int> incarnation_ = 0;
  std::atomic<bool> leaving_ = false;
  std::atomic<bool> exited_ = false;
  std::mutex mutex_;
  std::mutex link_mutex_;
  std::vector<std::shared_ptr<Run>> runs_;
  std::vector<Period> periods_;
  std::map<std::string, Copy> copies_;
  int handles_ = 0;
  std::vector<std::unique_ptr<Server>> servers_;
  Server* server_ = nullptr;
};

}  // namespace standin
