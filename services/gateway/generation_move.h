// The move of one live generation from an engine that leaves to another:
// carries out the steps that the move machine decides. The request that the
// run belongs to tells it what becomes of the stream, and goes on where it
// says.
#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <optional>
#include <set>
#include <string>

#include "libraries/migration/copy_queue.h"
#include "libraries/migration/move_machine.h"
#include "services/gateway/engine_search.h"
#include "services/gateway/gateway_context.h"

namespace balsam::gateway {

class GenerationMove : public QObject {
  Q_OBJECT

 public:
  // The run that moves.
  struct Run {
    std::string request_id;
    std::string server_id;
    directory::Endpoint endpoint;
    dispatch::Demand demand;
    migration::CopyPriority rank;
  };

  // Where the run goes on, and the memory that it goes on from.
  struct Continuation {
    std::string server_id;
    directory::Endpoint endpoint;
    dispatch::Demand demand;
    MemorySource memory;
  };

  // `engine` and `context` outlive the move.
  GenerationMove(GatewayContext& context, const routing::EngineTraits& engine,
                 Run run);
  ~GenerationMove() override;

  // The engine is known to leave.
  void Start();
  // The source's stream ended without the run's end.
  void OnSourceStreamBroken();
  // Whether the server that was to go on accepted the run.
  void OnResumeResult(bool accepted);
  // The run needs no move any more: frees the copy that was made. No callback
  // follows.
  void End();

  // The run has stopped at its source, or is asked to.
  bool stopping() const { return machine_.stopping(); }

  // The run has stopped, or its engine is dead.
  std::function<void(const Continuation&)> on_resume;
  // It goes on elsewhere; the move is over.
  std::function<void()> on_done;
  // There is nothing to go on from; the move is over.
  std::function<void()> on_lost;

 private:
  // Waits for the turn to copy.
  void JoinQueue();
  // Gives the turn, or the place, to the next.
  void LeaveQueue();
  static void OfferTurn(GatewayContext& context, const std::string& server_id);
  void OnTurn();
  void OnRetryTimer();
  void Perform(migration::MigrationStep step);
  // Looks for an engine that has room for the copy.
  void ChooseTarget();
  // Keeps room there, and goes on; no engine has room if there is no choice.
  void OnTargetChosen(const std::optional<EngineSearch::Choice>& choice);
  void CallCopy(bool stop);
  void OnCopyAnswered(const OutboundConnection::Answer& reply);
  void Resume(bool at_target);
  void ReleaseTarget();
  void ReleaseCall();
  void DropCopy();
  std::chrono::milliseconds SinceNotice() const;

  GatewayContext& context_;
  const routing::EngineTraits& engine_;
  Run run_;
  migration::MigrationStateMachine machine_;
  // The engine that gets the copy; its id is empty until one was chosen.
  std::string target_id_;
  directory::Endpoint target_;
  dispatch::Demand target_demand_;
  // Of the target, by `target_demand_`.
  EngineSearch search_;
  bool target_reserved_ = false;
  std::set<std::string> refused_targets_;
  // The log says once that no target had room.
  bool told_no_target_ = false;
  // Names the copy; empty until one was made.
  std::string handle_;
  // The copy that is under way; null if none is.
  OutboundConnection* call_ = nullptr;
  BootTime call_began_;
  BootTime noticed_;
  QTimer retry_timer_;
  bool ended_ = false;
};

}  // namespace balsam::gateway
