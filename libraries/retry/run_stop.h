// What calls that stop a run show of it. A run goes on at its engine until the
// engine itself says otherwise, or is gone: neither a call without a response
// nor a connection that broke shows that it has stopped.
#pragma once

#include "libraries/directory/presence_check.h"
#include "libraries/retry/unframed_end.h"

namespace balsam::retry {

// What an engine's response to a call that stops a run says.
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

// Finds out from the results of consecutive calls whether a run is over that
// its engine begins at once, if at all.
class StopProof {
 public:
  // Returns whether the run is known to be over.
  bool Add(StopResult result);

 private:
  directory::PresenceCheck presence_;
  // The engine did not run it at the call before: it may have been queued, and
  // begin later.
  bool was_not_running_ = false;
};

// The calls that stop a run at a slow engine, so that its request can be sent
// to another one. The request keeps its place meanwhile.
class SlowRunStop {
 public:
  enum class Next {
    // The run goes on, or is queued.
    kKeepRun,
    kAskAgain,
    // The run is over.
    kLeave,
    // The same, without proof: the engine does not respond.
    kLeaveUnproven,
  };

  // The engine is being asked.
  void OnAsked() { is_pending_ = true; }
  Next OnResult(StopResult result);

  // What the end of the response must be judged by.
  StopRequest request() const;

 private:
  // A silent engine is left after this many such calls in a row, so that a
  // request that may be repeated does not wait without end.
  static constexpr int kMaxSilentCalls = 2;

  bool is_pending_ = false;
  // One of the calls may have stopped the run.
  bool may_have_stopped_ = false;
  StopProof proof_;
  int silent_calls_ = 0;
};

}  // namespace balsam::retry
