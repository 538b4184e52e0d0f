// A deployment of real processes on free loopback ports, for tests that kill,
// suspend, disconnect and restart them.
#pragma once

#include <QProcess>
#include <QTcpServer>
#include <QTemporaryDir>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/processes/http_client.h"

namespace balsam::processes {

inline constexpr char kBearer[] = "test-workspace-key-1";
inline constexpr char kOtherBearer[] = "test-workspace-key-2";
inline constexpr char kOperatorKey[] = "test-operator-key";

// One process of the deployment.
class TestProcess {
 public:
  TestProcess(std::string name, std::string program, QStringList arguments);
  ~TestProcess();

  void Start();
  // Kills the process with SIGKILL, as when its VM fails.
  void Kill();
  // Send SIGSTOP and SIGCONT.
  void Suspend();
  void Resume();
  // Requests an orderly stop with SIGTERM.
  void Terminate();
  bool running() const { return process_.state() != QProcess::NotRunning; }
  bool WaitForEnd(std::chrono::milliseconds limit);
  int exit_code() const { return process_.exitCode(); }
  // Everything that the process has printed.
  std::string Log();

 private:
  // Has no effect if the process is not running.
  void SendSignal(int number);

  std::string name_;
  std::string program_;
  QStringList arguments_;
  QProcess process_;
  std::string log_;
};

struct BackendOptions {
  std::string data_center = "hall-tywi";
  // The peer port of the sidecar in the VM list, if connections go through a
  // forwarder; zero lists the sidecar's own port.
  std::uint16_t listed_peer_port = 0;
  // The port of a backend server that the test itself runs; zero starts the
  // stand-in.
  std::uint16_t own_backend_port = 0;
  QStringList engine_arguments;
  nlohmann::json limits = nlohmann::json::object();
};

class Cluster {
 public:
  Cluster();
  ~Cluster();

  void AddEngine(const std::string& vm, const BackendOptions& options = {});
  void AddService(const std::string& vm, const BackendOptions& options = {});
  // Adds a second sidecar process, `name`, that can replace the one of `vm`. It
  // is not started.
  void AddReplacement(const std::string& name, const std::string& vm);
  // Lists the address of the replacement instead of the first sidecar's.
  void ListReplacement(const std::string& name, const std::string& vm);
  // `platform_port` is the port of a forwarder to the platform; zero connects
  // directly.
  void AddEntry(const std::string& vm,
                const std::string& data_center = "hall-tywi",
                std::uint16_t platform_port = 0);
  std::uint16_t platform_port() const { return platform_port_; }
  // Returns the port on which a sidecar or an entry will listen for peers.
  std::uint16_t PeerPort(const std::string& vm) const;
  void SetListedPeerPort(const std::string& vm, std::uint16_t port);
  // Starts all processes and waits until every entry serves callers.
  bool Start();

  TestProcess& process(const std::string& name) { return *processes_.at(name); }
  // Starts a process again that has ended.
  void Restart(const std::string& name);
  std::string EntryUrl(const std::string& vm) const;
  bool WaitServing(const std::string& entry);

  // --- The platform ---
  std::uint64_t PublishTemplates(const nlohmann::json& templates);
  std::uint64_t PublishText(const std::string& name, const std::string& text);
  // Publishes the VM list in its current state.
  std::uint64_t PublishList();
  void SetVmState(const std::string& vm, const std::string& state);
  void RemoveVm(const std::string& vm);
  void SetPlatformFault(const nlohmann::json& fault);
  std::uint64_t PlatformCalls() const;

  // --- Observation ---
  nlohmann::json Status(const std::string& name) const;
  // Returns how often the plain service on this VM ran requests with this body.
  int RunCount(const std::string& vm, const std::string& body) const;
  int TotalRunCount(const std::string& body) const;
  int EngineStartCount(const std::string& vm) const;
  // Returns what the engine has loaded and the list of its loads.
  nlohmann::json EngineState(const std::string& vm) const;
  void SetServiceFault(const std::string& vm, const nlohmann::json& fault);

  static nlohmann::json Templates();

 private:
  struct Backend {
    std::uint16_t backend_port = 0;
    std::uint16_t peer_port = 0;
    std::uint16_t operator_port = 0;
    bool engine = false;
    std::string service;
    BackendOptions options;
  };
  struct Entry {
    std::uint16_t caller_port = 0;
    std::uint16_t peer_port = 0;
    std::uint16_t operator_port = 0;
  };

  // Reserves a block of ports that no test running in parallel uses.
  void TakePortBlock();
  std::uint16_t FreePort();
  // Waits until the backend server on this VM responds.
  bool WaitBackendServer(const std::string& vm);
  void AddSidecar(const std::string& name, const std::string& vm,
                  const Backend& backend, const BackendOptions& options);
  void AddBackend(const std::string& vm, const std::string& service,
                  bool engine, const BackendOptions& options);
  QString WriteSettings(const std::string& name, const nlohmann::json& content);
  std::string PlatformUrl(const std::string& path) const;
  void AddProcess(const std::string& name, const std::string& program,
                  const QStringList& arguments);

  QTemporaryDir folder_;
  std::uint16_t platform_port_ = 0;
  std::map<std::string, std::unique_ptr<TestProcess>> processes_;
  std::vector<std::string> start_order_;
  std::map<std::string, Backend> backends_;
  std::map<std::string, Backend> replacements_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, nlohmann::json> vms_;
  QTcpServer port_block_;
  std::uint16_t next_port_ = 0;
};

// Returns a request body for a completion of `tokens` tokens.
std::string CompletionBody(int tokens, const std::string& marker = "",
                           bool stream = true);
Headers CallerHeaders(const std::string& bearer = kBearer);
// Returns a new UUID of version 7.
std::string NewIdempotencyKey();

}  // namespace balsam::processes
