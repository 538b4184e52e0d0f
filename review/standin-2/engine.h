// A model engine as PROTOCOL.md describes it, and a client of streams.
//
// The engine reads a prompt at `prompt_tokens_per_ms`, makes a token in each
// step and sends an event for each four tokens. It takes up calls between two
// steps. Its responses to streams have chunks, or neither a length nor chunks.
#pragma once

#include <condition_variable>
#include <memory>
#include <set>

#include "net.h"

namespace review {

struct EngineOptions {
  std::string id;
  // Chunks, or a response that ends with its connection.
  bool framed = true;
  double step_ms = 7.0;
  double prompt_tokens_per_ms = 14.0;
  int slots = 32;
};

inline constexpr int kTokensPerEvent = 4;

// The bytes of an event, which client and engine agree on.
inline std::string EventText(const std::string& request, int number) {
  return "id: " + std::to_string(number) + "\ndata: " + request + " piece " +
         std::to_string(number) + "\n\n";
}

class Engine {
 public:
  Engine(const std::string& ip, EngineOptions options)
      : options_(std::move(options)),
        server_(ip, [this](Connection& connection) { Serve(connection); }) {}

  const Address& address() const { return server_.address(); }
  const std::string& id() const { return options_.id; }
  // All work takes `factor` times as long.
  void SetSlow(double factor) { factor_ = factor; }
  int stops() const { return stops_; }

  std::string Entry(const std::string& service) const {
    return "{\"service\":\"" + service + "\",\"addr\":\"" +
           address().ToString() +
           "\",\"zone\":\"hall-tywi\",\"version\":\"v1\",\"slots\":" +
           std::to_string(options_.slots) +
           ",\"state\":\"ready\",\"coldLeftMs\":0,\"born\":1700000000000,"
           "\"seq\":1}";
  }

 private:
  struct Run {
    bool began = false;
    bool stop = false;
    bool over = false;
  };

  double step() const { return options_.step_ms * factor_; }

  void Serve(Connection& connection) {
    while (const auto head = connection.ReadHead(NowMs() + 15'000)) {
      const std::string body = ReadBody(connection, *head, NowMs() + 5000);
      const std::string target = head->target();
      if (target == "/report") {
        connection.Write(Response(
            200, "OK", "Content-Type: application/json\r\n",
            "{\"born\":1700000000000,\"stage\":\"hybrid\",\"models\":[],"
            "\"busy\":false,\"seq\":1,\"waiting\":0,\"running\":" +
                std::to_string(running_) +
                ",\"kvUsed\":0,\"kvTotal\":34316,\"handles\":0}"));
      } else if (target == "/health") {
        connection.Write(
            Response(200, "OK", "Instance-Id: " + options_.id + "\r\n", ""));
      } else if (target == "/kv-move") {
        connection.Write(Move(body));
      } else if (target.starts_with("/kv-handle/")) {
        connection.Write(Response(200, "OK", "", "{}"));
      } else if (!RunRequest(connection, *head)) {
        return;
      }
    }
  }

  // The call is taken up after the present step. The target is no engine, so
  // that a run is stopped and stays here.
  std::string Move(const std::string& body) {
    const std::size_t at = body.find("\"id\":\"") + 6;
    const std::string request = body.substr(at, body.find('"', at) - at);
    SleepUntil((static_cast<double>(static_cast<long>(NowMs() / step())) + 1) *
               step());
    const std::scoped_lock lock(mutex_);
    const auto run = runs_.find(request);
    const bool runs =
        run != runs_.end() && run->second->began && !run->second->over;
    record.Line("engine " + options_.id + " is asked to stop " + request +
                (runs ? ": stops" : ": does not run it"));
    if (!runs) return Response(404, "Not Found", "", "{}");
    run->second->stop = true;
    ++stops_;
    return Response(503, "Service Unavailable",
                    "Content-Type: application/json\r\n",
                    "{\"handle\":\"h" + std::to_string(++handles_) + "\"}");
  }

  bool IsStopped(const Run& run) {
    const std::scoped_lock lock(mutex_);
    return run.stop;
  }

  // Returns whether the connection may be used again.
  bool RunRequest(Connection& connection, const Head& head) {
    const double arrived = NowMs();
    const std::string id = head.Get("Request-Id");
    if (head.Get("Expect-Instance") != options_.id) {
      return connection.Write(Response(421, "Misdirected Request",
                                       "Instance-Id: " + options_.id + "\r\n",
                                       ""));
    }
    const double deadline =
        arrived + std::atof(head.Get("Deadline-Ms").c_str());
    const std::string usage = head.Get("Token-Usage");
    const int prompt = std::atoi(usage.c_str());
    const int pieces =
        std::atoi(usage.c_str() + usage.find(',') + 1) / kTokensPerEvent;
    const int from = std::atoi(head.Get("Last-Event-Id").c_str());
    const auto run = std::make_shared<Run>();
    {
      const std::scoped_lock lock(mutex_);
      runs_[id] = run;
    }
    ++running_;
    record.Line("engine " + options_.id + " gets " + id + ", deadline in " +
                head.Get("Deadline-Ms") + " ms, after event " +
                std::to_string(from));
    const int sent = Generate(
        connection, id, *run, deadline,
        prompt / (options_.prompt_tokens_per_ms / factor_), from, pieces);
    {
      const std::scoped_lock lock(mutex_);
      run->over = true;
    }
    --running_;
    record.Line("engine " + options_.id + " ends " + id + " after event " +
                std::to_string(sent) + " of " + std::to_string(pieces));
    if (sent == pieces && options_.framed) return connection.Write("0\r\n\r\n");
    // Both at the end of a run without a length and where one is stopped: an
    // orderly close.
    connection.Close();
    return false;
  }

  // Returns the number of the last event that was sent.
  int Generate(Connection& connection, const std::string& id, Run& run,
               double deadline, double reading_ms, int from, int pieces) {
    const auto wait_until = [&](double time) {
      while (NowMs() < std::min(time, deadline)) {
        SleepUntil(std::min({NowMs() + 5, time, deadline}));
        // Most engines drop a request when its connection closes.
        if (connection.HasNews() || IsStopped(run)) return false;
      }
      return NowMs() < deadline;
    };
    double next = NowMs() + reading_ms;
    if (!wait_until(next)) return from;
    {
      const std::scoped_lock lock(mutex_);
      run.began = true;
    }
    int sent = from;
    while (sent < pieces) {
      next += kTokensPerEvent * step();
      if (!wait_until(next)) return sent;
      std::string bytes = EventText(id, sent + 1);
      if (options_.framed) {
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
        bytes = size + bytes + "\r\n";
      }
      if (sent == from) {
        bytes =
            "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
            "\r\nResponse-Seal: seal-" + id +
            "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n" +
            (options_.framed ? "Transfer-Encoding: chunked\r\n\r\n"
                             : "Connection: close\r\n\r\n") +
            bytes;
      }
      if (!connection.Write(bytes)) return sent;
      ++sent;
    }
    return sent;
  }

  EngineOptions options_;
  std::atomic<double> factor_{1.0};
  std::atomic<int> running_{0};
  std::atomic<int> stops_{0};
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<Run>> runs_;
  int handles_ = 0;
  Server server_;
};

struct StreamRequest {
  std::string id;
  std::string path;
  int prompt_tokens = 3000;
  int pieces = 10;
  int deadline_ms = 39'000;
};

struct StreamResult {
  int status = 0;
  // Number of the last event, if all before it came in order.
  int pieces = 0;
  bool in_order = true;
  // The response ended as complete.
  bool complete = false;
  double first_ms = 0;
  double took_ms = 0;
};

inline StreamResult SendStream(const Address& gateway,
                               const StreamRequest& request) {
  StreamResult result;
  const double sent_at = NowMs();
  const double until = sent_at + request.deadline_ms;
  const auto finish = [&] {
    result.took_ms = NowMs() - sent_at;
    return result;
  };
  const int descriptor = ConnectTo(gateway);
  if (descriptor < 0) return finish();
  Connection connection(descriptor);
  connection.Write(
      "POST " + request.path + " HTTP/1.1\r\nHost: towns.example\r\n" +
      "Request-Id: " + request.id +
      "\r\nModel: m\r\nToken-Usage: " + std::to_string(request.prompt_tokens) +
      "," + std::to_string(request.pieces * kTokensPerEvent) +
      "\r\nPrefix-Hash: 5c1e07a2:79," + request.id + ":" +
      std::to_string(request.prompt_tokens - 79) +
      "\r\nLength-Hint: " + std::to_string(request.pieces * kTokensPerEvent) +
      "\r\nDeadline-Ms: " + std::to_string(request.deadline_ms) +
      "\r\nCredential: key-1\r\nContent-Length: 5\r\n\r\nhello");
  const auto head = connection.ReadHead(until);
  if (!head.has_value()) return finish();
  result.status = head->status();
  if (result.status != 200) return finish();
  std::string body;
  if (Lower(head->Get("Transfer-Encoding")) == "chunked") {
    while (const auto line = connection.ReadLine(until)) {
      const std::size_t size = std::strtoul(line->c_str(), nullptr, 16);
      if (size == 0) {
        result.complete = true;
        break;
      }
      const auto chunk = connection.ReadExactly(size + 2, until);
      if (!chunk.has_value()) break;
      if (body.empty()) result.first_ms = NowMs() - sent_at;
      body += chunk->substr(0, size);
    }
  } else if (head->Has("Content-Length")) {
    const auto whole =
        connection.ReadExactly(std::stoul(head->Get("Content-Length")), until);
    result.complete = whole.has_value();
    body = whole.value_or("");
  }
  std::string expected;
  while (expected.size() < body.size()) {
    expected += EventText(request.id, ++result.pieces);
  }
  result.in_order = body == expected.substr(0, body.size());
  return finish();
}

}  // namespace review
