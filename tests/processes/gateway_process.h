// A gateway process on loopback with a store and two backend servers that run
// in threads of the test. Needs no event loop.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace balsam::processes {

// Returns a loopback socket that is connected to `port`; -1 if it is refused.
int ConnectTo(std::uint16_t port);

struct ServerReply {
  std::string bytes;
  // Written after `bytes` until the client closes the connection, unless empty.
  std::string repeated;
};

// Answers HTTP requests, each connection in a thread of its own.
class ThreadedServer {
 public:
  // Receives the head of a request. If it returns nothing, the connection stays
  // open without a response.
  using Handler =
      std::function<std::optional<ServerReply>(const std::string& head)>;

  explicit ThreadedServer(Handler handler);
  ~ThreadedServer();
  std::uint16_t port() const { return port_; }

 private:
  void Accept();
  void Serve(int descriptor);

  Handler handler_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::mutex mutex_;
  // Guarded by `mutex_`.
  std::set<int> descriptors_;
  bool stopping_ = false;
  std::list<std::thread> threads_;
  std::thread accepting_;
};

// What the gateway's settings and its configuration hold.
struct GatewayLimits {
  // Memory and descriptors of the machine; 200 descriptors are for files.
  std::size_t memory_megabytes = 0;
  std::size_t descriptors = 0;
  std::size_t max_body_bytes = 0;
};

class GatewayProcess {
 public:
  // `held`: what the server replies that otherwise never answers.
  explicit GatewayProcess(const GatewayLimits& limits,
                          std::optional<ServerReply> held = std::nullopt);
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;

  // Starts the process and waits until it serves requests.
  bool Start();
  bool IsRunning();
  std::uint16_t client_port() const { return client_port_; }
  // A field of /proc/PID/status in KiB.
  std::size_t StatusKilobytes(const std::string& field) const;
  std::size_t OpenSockets() const;
  // Waits until its memory has stopped changing.
  void Settle() const;
  // Returns the status of the response to a small request with `body`; zero if
  // there is none. `fields` are lines of the head.
  int Request(const std::string& body, const std::string& fields = "") const;
  // The head of a POST request up to its framing: to the backend server that
  // answers, or to the one that never does.
  static std::string HeadOf(const std::string& id, bool is_held);

 private:
  std::optional<ServerReply> AnswerStore(const std::string& head) const;
  void WriteSettings();
  bool Launch();

  GatewayLimits limits_;
  std::filesystem::path folder_;
  ThreadedServer answering_;
  ThreadedServer holding_;
  ThreadedServer store_;
  std::uint16_t client_port_ = 0;
  pid_t pid_ = -1;
};

}  // namespace balsam::processes
