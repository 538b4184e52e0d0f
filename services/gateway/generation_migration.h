// Migrates one running generation from a leaving engine to another by carrying
// out the steps that the migration state machine decides. The exchange that
// owns the run reports what happens to the stream and resumes it at the point
// that `on_resume` passes.
#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "libraries/directory/presence_check.h"
#include "libraries/migration/copy_queue.h"
#include "libraries/migration/migration_state_machine.h"
#include "services/gateway/connection_lease.h"
#include "services/gateway/gateway_context.h"
#include "services/gateway/server_search.h"

namespace balsam::gateway {

class GenerationMigration : public QObject {
  Q_OBJECT

 public:
  // The run being migrated.
  struct Run {
    std::string request_id;
    std::string server_id;
    directory::Endpoint endpoint;
    dispatch::Demand demand;
    migration::CopyPriority copy_priority;
    // When the request was sent to the source.
    BootTime began;
  };

  // Where the run resumes, and the memory it resumes from.
  struct ResumePoint {
    std::string server_id;
    directory::Endpoint endpoint;
    dispatch::Demand demand;
    MemorySource memory;
  };

  // `context` and `engine` must outlive this.
  GenerationMigration(GatewayContext& context,
                      const routing::EngineTraits& engine, Run run);
  ~GenerationMigration() override;

  // Starts the migration after the engine was found to be leaving.
  void Start();
  // The source's stream ended before the run did.
  void OnSourceStreamEnded(migration::StreamEnd end);
  // It has become known that a server has restarted. If it is the source, the
  // handle of the copy may name another run's there.
  void OnServerRestarted(const directory::BackendServer& server);
  // Whether the server that was asked to resume the run accepted it.
  void OnResumeResult(bool accepted);
  // The migration is no longer needed: releases the copy, if any. No callback
  // follows. If `stop_is_unproven`, the caller has to have the run stopped.
  void End();

  // The run has stopped at its source, or was asked to.
  bool stopping() const { return state_machine_.stopping(); }
  // The run was asked to stop at its source, where it may go on.
  bool stop_is_unproven() const { return state_machine_.stop_is_unproven(); }

  // Called when the run has stopped, or when its engine is lost.
  std::function<void(const ResumePoint&)> on_resume;
  // Called when the run continues elsewhere; the migration is complete.
  std::function<void()> on_done;
  // Called when there is nothing to resume from; the migration has failed.
  std::function<void()> on_lost;

 private:
  struct CopyCall {
    ConnectionLease connection;
    // Whether the run is stopped by other calls if this one, which is not
    // awaited any more, fails: it has gone on elsewhere.
    bool is_stop_repeated = false;
  };

  // Enqueues for a copy slot.
  void JoinCopyQueue();
  // Releases the copy slot, or the place in the queue, and grants the next.
  void LeaveCopyQueue();
  static void GrantNextCopySlot(GatewayContext& context,
                                const std::string& server_id);
  void OnCopySlotGranted();
  void OnRetryTimer();
  void ExecuteStep(migration::MigrationStep step);
  // Searches for an engine with capacity for the copy.
  void ChooseTarget();
  // Reserves capacity there and continues; without a choice no engine has any.
  void OnTargetChosen(const std::optional<ServerSearch::Choice>& choice);
  void SendCopyCall(bool stop);
  // An incomplete response says nothing.
  static CopyResponse Parse(const Dialect& dialect,
                            const OutboundConnection::Response& reply);
  void OnCopyResponse(const OutboundConnection::Response& reply);
  // Whether the response to a call that stops the run shows that it is over.
  static bool StopIsProven(const GatewayContext& context,
                           const OutboundConnection::Response& reply);
  std::chrono::milliseconds RetryDelay();
  void Resume(bool at_target);
  void ReleaseTarget();
  void ReleaseCall();
  void ReleaseCopy();
  std::chrono::milliseconds SinceNotice() const;

  GatewayContext& context_;
  const routing::EngineTraits& engine_;
  Run run_;
  migration::MigrationStateMachine state_machine_;
  // The engine that receives the copy; the id is empty until one is chosen.
  std::string target_id_;
  directory::Endpoint target_;
  dispatch::Demand target_demand_;
  // Searches for the target, using `target_demand_`.
  ServerSearch search_;
  bool target_reserved_ = false;
  std::set<std::string> refused_targets_;
  // The lack of a target has been logged; it is logged only once.
  bool logged_no_target_ = false;
  // The source has begun a new incarnation, which does not hold the run.
  bool source_restarted_ = false;
  // The call that stopped the run failed after the run had gone on elsewhere,
  // so that the source is still being asked to stop it.
  bool source_is_being_stopped_ = false;
  // Handle of the copy; empty until one is made.
  std::string handle_;
  // The source refused the last call that was to stop the run.
  bool stop_refused_ = false;
  // The copy call in progress; null if there is none. Its callback shares it,
  // as the call may go on without this.
  std::shared_ptr<CopyCall> call_;
  // The call that stops the run, if its response was not awaited.
  std::shared_ptr<CopyCall> late_call_;
  // Whether the source is still there, as far as the calls show.
  directory::PresenceCheck source_presence_;
  // Calls that neither stopped the run nor were refused.
  int failed_stops_ = 0;
  BootTime call_started_at_;
  BootTime noticed_at_;
  QTimer retry_timer_;
  bool ended_ = false;
};

}  // namespace balsam::gateway
