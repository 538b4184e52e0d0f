// An entry process: configuration sync and the operator port on the main
// thread, and worker threads that serve callers.
#pragma once

#include <QObject>
#include <QThread>
#include <QTimer>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "libraries/http/operator_server.h"
#include "services/entry/config_sync.h"
#include "services/entry/entry_worker.h"
#include "services/entry/shared_state.h"

namespace balsam::entry {

class EntryNode : public QObject {
  Q_OBJECT

 public:
  explicit EntryNode(EntrySettings settings, QObject* parent = nullptr);
  ~EntryNode() override;

  // Fails with kInvalidSettings if an address cannot be listened on. Callers
  // are served once the configuration sync is ready.
  Result<void> Start();
  // Accepts no new requests, lets open ones finish, then calls `on_stopped`.
  void BeginStop();

  std::function<void()> on_stopped;

 private:
  struct WorkerThread {
    std::unique_ptr<QThread> thread;
    std::unique_ptr<EntryWorker> worker;
  };

  void StartWorkers();
  void CheckStopped();
  nlohmann::json Status() const;
  nlohmann::json Explain(const std::string& model) const;

  SharedState shared_;
  ConfigSync config_sync_;
  http::OperatorServer operator_server_;
  std::vector<WorkerThread> worker_threads_;
  std::atomic<std::uint16_t> caller_port_{0};
  QTimer stop_timer_;
  std::optional<BootTime> stop_deadline_;
};

}  // namespace balsam::entry
