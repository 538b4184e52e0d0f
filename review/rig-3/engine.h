// A model engine: prefills prompts one after another, then generates. One
// request at a time on a connection. It is one of those engines that don't drop
// a request when its connection closes, unless `drops_on_close` is set.
#pragma once

#include "rig.h"

namespace rig {

class Engine {
 public:
  struct Run {
    std::string id;
    double received = 0;
    double first_token = -1;
    double ended = -1;
    bool stopped = false;
    bool done() const { return ended >= 0; }
    int events = 0;
  };
  struct Options {
    int slots = 24;
    double prefill_tokens_per_ms = 14.0;
    double step_ms = 8.0;
    bool drops_on_close = false;
  };

  Engine(std::string name, std::string ip, Options options)
      : name_(std::move(name)),
        id_("i-" + name_),
        ip_(std::move(ip)),
        options_(options),
        born_(UnixMs()),
        listener_(ip_, 0, [this](auto c) { Serve(c); }) {}

  std::string address() const {
    return ip_ + ':' + std::to_string(listener_.port());
  }
  const std::string& id() const { return id_; }
  const std::string& name() const { return name_; }
  std::string Entry(const std::string& service, const std::string& zone,
                    const std::string& state = "ready") const {
    return ServerEntry(service, address(), zone, options_.slots, state, born_);
  }
  std::vector<Run> runs() {
    const std::lock_guard lock(mutex_);
    std::vector<Run> all;
    for (const auto& run : runs_) all.push_back(*run);
    return all;
  }

  // Requests that wait for their first token.
  int waiting() {
    const std::lock_guard lock(mutex_);
    int count = 0;
    for (const auto& run : runs_) {
      count += !run->done() && run->first_token < 0 ? 1 : 0;
    }
    return count;
  }

  // Called when a request has been read, before it waits for its turn; may
  // write to the connection. The second argument is the last answer there.
  std::function<void(Connection&, const std::string& last_answer,
                     const Message&)>
      on_request;
  // What becomes of a run that begins to write its answer.
  enum class Fate { kServed, kAnswerLost, kCrash };
  std::function<Fate(const Message&)> on_begin;
  // Called when a call of the engine's own interface has been read; returns
  // true if it has dealt with it.
  std::function<bool(Connection&, const Message&)> on_call;
  // Called with each new connection; returns false if it is not served.
  std::function<bool(Connection&)> on_connection;
  // Resets the connection of a request that runs; its run goes on.
  void ResetStream(const std::string& id) {
    const std::lock_guard lock(mutex_);
    connections_.at(id)->ResetQuietly();
  }
  // For so many runs there is no room for the last part of their copies, once
  // each.
  std::atomic<size_t> refused_last_copies = 0;
  // How much slower it works than it should.
  std::atomic<double> slower = 1.0;

 private:
  void Serve(const std::shared_ptr<Connection>& connection) {
    if (on_connection && !on_connection(*connection)) return;
    {
      const std::lock_guard lock(mutex_);
      all_.push_back(connection);
    }
    Message request;
    std::string last_answer;
    while (connection->ReadHead(request, 600000) &&
           connection->ReadBody(request, 5000)) {
      const bool goes_on = request.Field("request-id").empty()
                               ? Call(*connection, request)
                               : Generate(*connection, request, last_answer);
      if (!goes_on) return;
    }
  }

  static std::string Text(int status, const std::string& fields,
                          const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  bool Call(Connection& connection, const Message& request) {
    if (on_call && on_call(connection, request)) return true;
    const std::string& target = request.second;
    const std::string json = "Content-Type: application/json\r\n";
    if (target == "/report") {
      return connection.Write(
          Text(200, json,
               "{\"stage\":\"hybrid\",\"models\":[],\"busy\":false,\"seq\":1,"
               "\"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":34161,"
               "\"handles\":0,\"state\":\"ready\",\"born\":" +
                   std::to_string(born_) + "}"));
    }
    if (target == "/kv-move" &&
        request.body.find("\"last\":false") != std::string::npos) {
      const std::lock_guard lock(mutex_);
      record->Line("engine %s: copies a run to another engine", name_.c_str());
      return connection.Write(Text(
          200, json,
          "{\"handle\":\"h" + std::to_string(++handles_) + "\",\"created\":" +
              std::to_string(runs_.empty() ? 0 : runs_.back()->events) + "}"));
    }
    if (target == "/kv-move") {
      const size_t begin = request.body.find("\"id\":\"") + 6;
      const std::string id =
          request.body.substr(begin, request.body.find('"', begin) - begin);
      const std::lock_guard lock(mutex_);
      for (const auto& run : runs_) {
        // A request starts to run with its first token.
        if (run->id != id || run->done() || run->first_token < 0) continue;
        run->stopped = true;
        run->ended = record->Now();
        record->Line("engine %s: the run of %s is stopped", name_.c_str(),
                     id.c_str());
        // Nothing listens where a call that only stops a run copies it to.
        const bool to_nowhere =
            request.body.find("127.0.0.1:9\"") != std::string::npos;
        const bool is_refused =
            refused_.size() < refused_last_copies && refused_.insert(id).second;
        return connection.Write(
            Text(to_nowhere || is_refused ? 503 : 200, json,
                 "{\"handle\":\"h" + std::to_string(++handles_) +
                     "\",\"created\":" + std::to_string(run->events) + "}"));
      }
      record->Line("engine %s: asked to stop %s, answers 404, no such run",
                   name_.c_str(), id.c_str());
      return connection.Write(Text(404, json, "{}"));
    }
    return connection.Write(Text(200, "Instance-Id: " + id_ + "\r\n", ""));
  }

  // Resets all connections; the engine is back after two seconds.
  void Crash() {
    const std::lock_guard lock(mutex_);
    listener_.Close();
    for (const auto& connection : all_) {
      if (const auto open = connection.lock()) open->ResetQuietly();
    }
    all_.clear();
    for (const auto& run : runs_) {
      if (run->done()) continue;
      run->stopped = true;
      run->ended = record->Now();
    }
    std::thread([this] {
      Sleep(2000);
      listener_.Open();
      record->Line("engine %s: is back", name_.c_str());
    }).detach();
  }

  bool Generate(Connection& connection, const Message& request,
                std::string& last_answer) {
    const std::string id = request.Field("request-id");
    if (request.Field("expect-instance") != id_) {
      return connection.Write(
          Text(421, "Request-Id: " + id + "\r\nNot-Run: 1\r\n", ""));
    }
    auto run = std::make_shared<Run>();
    run->id = id;
    run->received = record->Now();
    {
      const std::lock_guard lock(mutex_);
      runs_.push_back(run);
    }
    record->Line("engine %s: request %s arrives (last event: %s, copy: %s)",
                 name_.c_str(), id.c_str(),
                 request.Field("last-event-id").c_str(),
                 request.Field("kv-from").c_str());
    {
      const std::lock_guard lock(mutex_);
      connections_[id] = &connection;
    }
    if (on_request) on_request(connection, last_answer, request);
    const std::string usage = request.Field("token-usage");
    // What a copy of the run's memory holds is not prefilled again.
    const double prompt =
        request.Field("kv-from").empty() ? atof(usage.c_str()) : 0.0;
    const int events = atoi(usage.c_str() + usage.find(',') + 1) / 4;
    const int after = atoi(request.Field("last-event-id").c_str());
    {
      const std::lock_guard turn(prefill_);
      Sleep(static_cast<int>(prompt / options_.prefill_tokens_per_ms * slower));
    }
    if (options_.drops_on_close && connection.PeerGone()) {
      const std::lock_guard lock(mutex_);
      run->ended = record->Now();
      return false;
    }
    {
      const std::lock_guard lock(mutex_);
      run->first_token = record->Now();
    }
    record->Line("engine %s: the run of %s begins", name_.c_str(), id.c_str());
    const Fate fate = on_begin ? on_begin(request) : Fate::kServed;
    if (fate == Fate::kCrash) {
      record->Line("engine %s: crashes, as it begins to answer %s",
                   name_.c_str(), id.c_str());
      Crash();
      return false;
    }
    std::string answer = "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                         "\r\nResponse-Seal: seal." + name_ + "." + id +
                         "\r\nContent-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n";
    bool open = fate == Fate::kServed && connection.Write(answer);
    for (int event = after + 1; event <= events; ++event) {
      Sleep(static_cast<int>(4 * options_.step_ms * slower));
      const std::string text = "id: " + std::to_string(event) +
                               "\ndata: " + name_ + " " + id + " " +
                               std::to_string(event) + "\n\n";
      char size[16];
      snprintf(size, sizeof(size), "%zx\r\n", text.size());
      const std::string chunk = size + text + "\r\n";
      {
        const std::lock_guard lock(mutex_);
        if (run->stopped) break;
        ++run->events;
      }
      answer += chunk;
      open = open && connection.Write(chunk);
      if (!open && options_.drops_on_close) break;
    }
    bool stopped = false;
    {
      const std::lock_guard lock(mutex_);
      stopped = run->stopped;
      if (!stopped) run->ended = record->Now();
    }
    if (stopped) return false;
    record->Line("engine %s: the run of %s ends after %d events", name_.c_str(),
                 id.c_str(), run->events);
    if (fate == Fate::kAnswerLost) {
      record->Line("engine %s: the answer to %s is lost, the connection reset",
                   name_.c_str(), id.c_str());
      connection.ResetQuietly();
      return false;
    }
    answer += "0\r\n\r\n";
    last_answer = answer;
    return open && connection.Write("0\r\n\r\n");
  }

  std::string name_, id_, ip_;
  Options options_;
  long born_;
  std::mutex mutex_;
  std::mutex prefill_;
  std::vector<std::shared_ptr<Run>> runs_;
  int handles_ = 0;
  std::set<std::string> refused_;
  std::vector<std::weak_ptr<Connection>> all_;
  // By request.
  std::map<std::string, Connection*> connections_;
  Listener listener_;
};

}  // namespace rig
