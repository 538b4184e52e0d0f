// Connects the executor to the world: peers on one side, the backend server on
// the other, the platform's list, timers and metrics. It holds no rules of its
// own.
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
  // Takes nothing new, lets what runs finish, then calls `on_stopped`.
  void BeginStop();
  // Takes nothing new, but stays to answer for what it ran.
  void BeginDrain();

  std::uint16_t peer_port() const { return server_.port(); }
  std::uint16_t operator_port() const { return operators_.port(); }

  std::function<void()> on_stopped;

 private:
  // One peer that reads a generation's tokens.
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
  void OnStreamGone(const peer::ServerStream& stream);

  void AddReader(const peer::ServerStream& stream, execution::LocalId local_id,
                 std::uint64_t next);
  // Sends what the reader may have; false once it has everything.
  bool Feed(const peer::ServerStream& stream, Reader& reader);
  void SendFinished(const peer::ServerStream& stream,
                    const std::string& generation, const Outcome& outcome,
                    std::uint64_t fingerprint);

  // Carries out what the executor decided since the last time.
  void Pump();
  void Dispatch(execution::LocalId local_id);
  void OnChanged(execution::LocalId local_id);
  void Tick();
  // Lets everybody know if this process was stopped meanwhile.
  void NoticePauses();
  void OnListAdopted();
  void FinishStopIfIdle();
  nlohmann::json Status() const;

  SidecarSettings settings_;
  execution::Executor executor_;
  backend::BackendClient backend_;
  backend::EngineController engine_;
  ServicePeers peers_;
  peer::PeerServer server_;
  http::OperatorServer operators_;
  config_service::ValueWatcher list_watcher_;
  telemetry::RequestMetrics metrics_;

  std::map<peer::ServerStream, Reader> readers_;
  std::map<execution::LocalId, std::set<peer::ServerStream>> streams_of_;
  std::map<execution::LocalId, TokenTimer> timers_;

  QTimer tick_timer_;
  BootTime last_heard_;
  bool stopping_ = false;
  std::optional<BootTime> stop_deadline_;
  std::uint64_t preemptions_ = 0;
  std::uint64_t pauses_seen_ = 0;
};

}  // namespace balsam::sidecar
