// Connects the executor to its surroundings: peers, the backend server, the VM
// list of the platform, timers and metrics. All decisions are made by the
// executor; this class only does the I/O.
#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "libraries/backend/backend_client.h"
#include "libraries/backend/engine_controller.h"
#include "libraries/config_service/value_watcher.h"
#include "libraries/execution/executor.h"
#include "libraries/http/operator_server.h"
#include "libraries/peer/peer_server.h"
#include "libraries/telemetry/request_metrics.h"
#include "services/sidecar/service_peers.h"
#include "services/sidecar/sidecar_settings.h"
#include "services/sidecar/token_timer.h"

namespace balsam::sidecar {

class SidecarNode : public QObject {
  Q_OBJECT

 public:
  explicit SidecarNode(SidecarSettings settings, QObject* parent = nullptr);

  // Fails with kInvalidSettings if an address cannot be listened on.
  Result<void> Start();
  // Accepts no new work, lets running work finish, then calls `on_stopped`.
  void BeginStop();
  // Accepts no new work, but keeps serving the results of work that it ran.
  void BeginDrain();

  std::uint16_t peer_port() const { return peer_server_.port(); }
  std::uint16_t operator_port() const { return operator_server_.port(); }

  std::function<void()> on_stopped;

 private:
  // A peer's stream that reads one generation's tokens.
  struct Reader {
    execution::LocalId local_id = 0;
    std::uint64_t next = 0;
  };

  void OnRequest(const peer::ServerStream& stream,
                 const peer::Message& message);
  void OnExecute(const peer::ServerStream& stream,
                 const peer::ExecuteRequest& request);
  void OnResume(const peer::ServerStream& stream,
                const peer::ResumeRequest& request);
  void OnGossip(const peer::ServerStream& stream,
                const peer::GossipRequest& request);
  void OnOrder(const peer::ServerStream& stream,
               const peer::OrderNotice& notice);
  void RemoveReader(const peer::ServerStream& stream);

  void AddReader(const peer::ServerStream& stream, execution::LocalId local_id,
                 std::uint64_t next);
  // Sends the tokens that the reader has not got yet, up to a limit of queued
  // bytes. Returns false once the reader has everything.
  bool SendAvailableTokens(const peer::ServerStream& stream, Reader& reader);
  // Ends a request that was not accepted.
  void SendFinished(const peer::ServerStream& stream,
                    const std::string& generation, const Outcome& outcome,
                    std::uint64_t fingerprint);
  // Ends a request that has an outcome.
  void SendFinished(const peer::ServerStream& stream,
                    const std::string& generation,
                    const execution::WorkRecord& record);

  // Executes the decisions that the executor made since the last call.
  void ApplyDecisions();
  void Dispatch(execution::LocalId local_id);
  void OnRecordChanged(execution::LocalId local_id);
  void LogBrokenStream(execution::LocalId local_id,
                       const std::string& reason) const;
  void Tick();
  // Notifies the executor and the engine controller if this process was
  // suspended for longer than the pause limit.
  void DetectPauses();
  void OnListAdopted();
  void FinishStopIfIdle();
  nlohmann::json Status() const;

  SidecarSettings settings_;
  execution::Executor executor_;
  backend::BackendClient backend_;
  backend::EngineController engine_controller_;
  ServicePeers service_peers_;
  peer::PeerServer peer_server_;
  http::OperatorServer operator_server_;
  config_service::ValueWatcher list_watcher_;
  telemetry::RequestMetrics metrics_;

  std::map<peer::ServerStream, Reader> readers_;
  std::map<execution::LocalId, std::set<peer::ServerStream>> reader_streams_;
  std::map<execution::LocalId, TokenTimer> timers_;

  QTimer tick_timer_;
  BootTime last_request_;
  bool stopping_ = false;
  std::optional<BootTime> stop_deadline_;
  std::uint64_t preemptions_ = 0;
  std::uint64_t known_pauses_ = 0;
};

}  // namespace balsam::sidecar
