// One client's request, from its last byte to its final answer: waiting for
// room, attempts at backend servers, and relaying what they answer.
#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/boot_clock.h"
#include "libraries/migration/event_stream.h"
#include "libraries/retry/attempt_policy.h"
#include "services/gateway/admission.h"
#include "services/gateway/engine_search.h"
#include "services/gateway/gateway_context.h"
#include "services/gateway/generation_move.h"
#include "services/gateway/outbound_connection.h"
#include "services/gateway/response_sink.h"

namespace balsam::gateway {

class Exchange : public QObject {
  Q_OBJECT

 public:
  Exchange(GatewayContext& context, ResponseSink& sink, http1::RequestHead head,
           std::string body, BootTime received);
  ~Exchange() override;

  void Start();
  // The client left: whatever runs for it is cancelled.
  void Cancel();
  // Room may have come free; true if the request was sent. One whose engine is
  // found later leaves the line by itself.
  bool TryDispatch();
  // It has waited as long as it may.
  void OnWaitExpired();
  // The server is known to leave; it began a new incarnation, which knows
  // nothing of this request.
  void OnServerLeaving(const std::string& server_id);
  void OnServerRestarted(const std::string& server_id);
  // The client reads on after `IsFull`.
  void OnSinkDrained();

  // Tokens that its run is expected to hold in the end.
  std::int64_t tokens() const { return request_.demand.Tokens(); }
  // The work before its first byte.
  std::int64_t work() const { return request_.work(); }

 private:
  // One connection to one backend server for this request.
  struct Attempt {
    std::string server_id;
    directory::Endpoint endpoint;
    // Null once released or aborted.
    OutboundConnection* connection = nullptr;
    dispatch::Demand demand;
    BootTime started;
    http1::ResponseHead head;
    AnswerFacts facts;
    // Its answer streams to the client.
    bool streaming = false;
    std::string body;
    // Set if it goes on from memory of an earlier engine.
    bool resumes = false;
    // Its first event came, or it goes on from a copy.
    bool began = false;
    // Failure was reported because it took too long to begin.
    bool reported_slow = false;
  };

  // When events were relayed.
  struct EventTimes {
    BootTime first;
    BootTime last;
    std::chrono::nanoseconds longest_pause{0};
    // Sum of what pauses last beyond `telemetry::kStallThreshold`.
    std::chrono::nanoseconds stall{0};

    // The pause before these events; nothing before the first ones.
    std::optional<std::chrono::nanoseconds> OnEvents(BootTime now);
  };

  // Empty if the request is of no workspace.
  std::string WorkspaceName() const;
  // Of its service.
  retry::SharedRetryBudget& Budget() const;

  // Finding room; see exchange_placement.cc.
  enum class Placement {
    kSent,
    // An engine is being looked for.
    kAsking,
    kNoCapacity,
  };
  // Sends the request to a server, if one is known to have room.
  Placement Dispatch();
  void OnSearchEnded(const std::optional<EngineSearch::Choice>& choice);
  void SendTo(const dispatch::ServerSelector::Choice& choice);
  // Of its service, which all its requests share.
  dispatch::WaitQueue<Exchange*>& Line();
  std::chrono::milliseconds TimeLeft() const;
  // How long until there is room, behind those that wait already.
  std::chrono::milliseconds ExpectedWait();
  std::chrono::milliseconds RetryAfter();
  void WaitOrRefuse();
  void LeaveLine();

  // Attempts.
  void StartAttempt(const std::string& server_id,
                    const directory::Endpoint& endpoint,
                    const dispatch::Demand& demand, DispatchOrder order);
  // Why the attempt's server was chosen.
  void LogSent() const;
  // The attempt is not given up when it is slow, and waited for longer; that
  // counts against its server.
  bool CountsWhenSlow() const;
  void StartSlowTimer();
  void OnEnd(OutboundConnection::End end);
  // The server crashed or broke off while it ran this request.
  void SuspectIfBroken(OutboundConnection::End end);
  retry::AttemptEnd Classify(OutboundConnection::End end) const;
  void OnAttemptEnded(retry::AttemptEnd end);
  retry::NextStep DecideNextStep(retry::AttemptEnd end) const;
  void TryAnother(retry::AttemptEnd end);
  // Gives the connection and the room at the server back.
  void EndAttempt(dispatch::AttemptResult result);
  // The same for an attempt that nobody waits for any more.
  void AbortAttempt(dispatch::AttemptResult result);
  void OnAttemptSlow();
  void OnDeadline();

  // Relaying; see exchange_relay.cc.
  void OnHead(const http1::ResponseHead& head);
  void OnBody(std::string_view bytes);
  // What came cannot be an answer to this request.
  void RejectAnswer(std::string_view reason);
  void RelayEvents(std::string_view bytes);
  void DeliverBuffered();
  void OnStreamEnded(OutboundConnection::End end);
  void OnStreamLost();

  // Moves of the run; see exchange_relay.cc.
  void MoveIfLeaving();
  void Resume(const GenerationMove::Continuation& continuation);
  // The source was asked to stop the run, and closes its stream.
  bool IsAskedToStop() const;
  void EndMove();

  // Final answers.
  void Answer(int status, std::string_view reason,
              std::optional<std::chrono::milliseconds> retry_after = {});
  void BreakOff(std::string_view outcome);
  void Finish(std::string_view outcome, int status);
  telemetry::RequestInstruments& Instruments();
  void CountFinished(std::string_view outcome, int status);

  GatewayContext& context_;
  ResponseSink& sink_;
  http1::RequestHead head_;
  std::string body_;
  BootTime received_;
  RequestFacts facts_;
  // Its route is null until the request is admitted.
  AdmittedRequest request_;
  // Of its workspace and kind; null until first used.
  telemetry::RequestInstruments* instruments_ = nullptr;
  std::optional<Attempt> attempt_;
  int sent_attempts_ = 0;
  bool waiting_ = false;
  EngineSearch search_;
  // The answer's head has been written to the client.
  bool answer_begun_ = false;
  bool finished_ = false;
  migration::EventStreamMerger events_;
  EventTimes event_times_;
  // Null unless the run is being moved.
  std::unique_ptr<GenerationMove> move_;
  QTimer deadline_timer_;
  QTimer slow_timer_;
};

}  // namespace balsam::gateway
