// Stops runs at engines by a call. Closing the connection of a request is not
// enough: an engine may go on with a run whose connection has closed.
#pragma once

#include <QObject>
#include <cstddef>
#include <functional>
#include <string>

#include "libraries/directory/backend_directory.h"
#include "services/gateway/connection_pool.h"
#include "services/gateway/dialect.h"
#include "services/gateway/server_contact.h"

namespace balsam::gateway {

// A request as sent to one engine.
struct EngineRun {
  std::string request_id;
  std::string server_id;
  directory::Endpoint endpoint;
};

// What an engine's response to the call says.
enum class StopResult {
  // It ran and has been stopped.
  kStopped,
  // The engine does not run it. It may still be queued there.
  kNotRunning,
  // Nothing listens there: the engine is gone, and the run with it.
  kEngineGone,
  // No connection could be opened in time.
  kUnreachable,
  // The engine did not carry out the call, for example because it sheds load.
  // The run goes on.
  kRefused,
  // The engine accepted the call and did not respond in time.
  kSilent,
  // The call failed in another way; the run may go on.
  kUnknown,
};

// Finds out from the results of consecutive calls whether a run is over.
class StopProof {
 public:
  // Returns whether the run is known to be over.
  bool Add(StopResult result);

 private:
  // The engine did not run it at the call before: it may have been queued, and
  // begin later.
  bool was_not_running_ = false;
  bool was_unreachable_ = false;
};

class RunStopper : public QObject {
  Q_OBJECT

 public:
  // `pool` and `dialect` must outlive this.
  RunStopper(ConnectionPool& pool, const Dialect& dialect);

  // Asks the engine once. `on_result` is called from the event loop, unless
  // this is destroyed before.
  void Ask(const EngineRun& run, std::function<void(StopResult)> on_result);
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
  void TryConfirm(const EngineRun& run, StopProof proof, std::size_t calls_left,
                  std::function<void(bool is_over)> on_result);
  void OnResponse(const EngineRun& run,
                  const OutboundConnection::Response& response,
                  const std::function<void(StopResult)>& on_result);
  // Frees the memory that the engine keeps of a stopped run.
  void Release(const EngineRun& run, const std::string& handle);

  ConnectionPool& pool_;
  const Dialect& dialect_;
};

}  // namespace balsam::gateway
