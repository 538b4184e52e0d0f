// Stops runs at engines by a call. Closing the connection of a request is not
// enough: an engine may go on with a run whose connection has closed.
#pragma once

#include <QObject>
#include <cstddef>
#include <functional>
#include <string>

#include "libraries/directory/backend_directory.h"
#include "libraries/retry/run_stop.h"
#include "services/gateway/connection_pool.h"
#include "services/gateway/dialect.h"

namespace balsam::gateway {

// A request as sent to one engine.
struct EngineRun {
  std::string request_id;
  std::string server_id;
  directory::Endpoint endpoint;
};

class RunStopper : public QObject {
  Q_OBJECT

 public:
  // `pool` and `dialect` must outlive this.
  RunStopper(ConnectionPool& pool, const Dialect& dialect);

  // Asks the engine once. `on_result` is called from the event loop, unless
  // this is destroyed before.
  void Ask(const EngineRun& run,
           std::function<void(retry::StopResult)> on_result);
  // Stops the run of a request that its engine begins at once, if at all.
  // `on_result` receives whether it is known to be over, once that is known or
  // after some calls.
  void StopAndConfirm(const EngineRun& run,
                      std::function<void(bool is_over)> on_result);
  // Stops a run whose response nobody reads any more, as far as the engine
  // responds. `may_be_queued`: no part of its response has arrived, so that the
  // engine may begin it later. `on_over` is called if the run is known to be
  // over.
  void Abandon(
      const EngineRun& run, bool may_be_queued,
      std::function<void()> on_over = [] {});

 private:
  void TryAbandon(const EngineRun& run, bool may_be_queued,
                  std::size_t calls_left, std::function<void()> on_over);
  void TryConfirm(const EngineRun& run, retry::StopProof proof,
                  std::size_t calls_left,
                  std::function<void(bool is_over)> on_result);
  void OnResponse(const EngineRun& run,
                  const OutboundConnection::Response& response,
                  const std::function<void(retry::StopResult)>& on_result);
  // Frees the memory that the engine keeps of a stopped run.
  void Release(const EngineRun& run, const std::string& handle);

  ConnectionPool& pool_;
  const Dialect& dialect_;
};

}  // namespace balsam::gateway
