// Handles one client request from the moment it has been received to its final
// response: it queues the request for capacity, attempts it at backend servers
// and relays their responses.
#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/boot_clock.h"
#include "libraries/http1/response_finder.h"
#include "libraries/migration/event_stream_merger.h"
#include "libraries/retry/attempt_policy.h"
#include "libraries/retry/run_stop.h"
#include "libraries/retry/unframed_end.h"
#include "services/gateway/admission.h"
#include "services/gateway/connection_lease.h"
#include "services/gateway/gateway_context.h"
#include "services/gateway/generation_migration.h"
#include "services/gateway/outbound_connection.h"
#include "services/gateway/response_sink.h"
#include "services/gateway/server_search.h"

namespace balsam::gateway {

class Exchange : public QObject {
  Q_OBJECT

 public:
  Exchange(GatewayContext& context, ResponseSink& sink, http1::RequestHead head,
           std::string body, BootTime received);
  ~Exchange() override;

  void Start();
  // The client disconnected: cancels everything that runs for the request.
  void Cancel();
  // Retries dispatching after capacity may have been freed; returns true if the
  // request was sent. A request whose engine search finishes later removes
  // itself from the wait queue.
  bool TryDispatch();
  // The request reached its maximum time in the wait queue.
  void OnWaitExpired();
  // The process is about to be terminated: answers, unless the response has
  // begun.
  void OnStopDeadline();
  // The server is leaving: migrates the run if it can be migrated.
  void OnServerLeaving(const std::string& server_id);
  // It has become known that the server has restarted. `server` is the new
  // incarnation, which may run this request.
  void OnServerRestarted(const directory::BackendServer& server);
  // Whether a backend server there is running the request.
  bool RunsInDataCenter(std::string_view data_center) const;
  // Something was quarantined: rejects the request if it is affected and does
  // not run yet.
  void OnQuarantine();
  // Whether the request was never sent to a server, so that a refusal of it
  // tells the truth.
  bool MayRefuse() const {
    return !finished_ && !response_started_ && started_attempts_ == 0;
  }
  // Requests hold too much memory, and this one, which `MayRefuse`, loses its
  // place.
  void OnMemoryShortage();
  // The client accepts more data after `IsFull` was true.
  void OnSinkDrained();

  // Tokens that the run is expected to hold when it completes.
  std::int64_t tokens() const { return request_.demand.Tokens(); }
  // Amount of work before the first byte of the response.
  std::int64_t work() const { return request_.work(); }

 private:
  // One attempt at one backend server.
  struct Attempt {
    std::string server_id;
    directory::Endpoint endpoint;
    // Ends with the attempt, before another one starts.
    ConnectionLease connection;
    dispatch::Demand demand;
    BootTime started;
    // When the response head arrived; zero before that.
    BootTime answered;
    http1::ResponseHead head;
    ResponseMetadata metadata;
    // How long the server may work on the request from `started`; unset if it
    // was given no deadline.
    std::optional<std::chrono::milliseconds> time_limit;
    // The response has neither a length nor chunks: its end looks like a crash
    // of the server.
    bool is_unframed = false;
    // The response ended as it does when its run is stopped.
    bool is_stopped = false;
    // The response was rejected. The server may run the request all the same.
    bool is_rejected = false;
    // The whole response has arrived: the server does not run the request.
    bool is_complete = false;
    // The server closed the connection, which did not break.
    bool closed_orderly = false;
    // The run is being stopped since nobody reads its response any more.
    bool is_abandoned = false;
    // The calls that stop the run because its engine is slow.
    retry::SlowRunStop slow_stop;
    // The connection was closed; the answer to that call tells what it means.
    bool is_end_undecided = false;
    // The response is a stream, whose events are relayed.
    bool streaming = false;
    migration::EventSplitter splitter;
    // Part of this response has been written to the client: events, or the
    // beginning of a body that is too long to be held back until it is
    // complete.
    bool is_relayed = false;
    // Looks for another response in a body without a length or chunks that is
    // no stream; unset for others.
    std::optional<http1::ResponseFinder> finder;
    // What is held back of a response that is no stream.
    std::string body;
    // Memory of `body`, or of an incomplete event.
    intake::ResponseHolding holding;
    // True if the run resumes from memory copied from another engine.
    bool is_resumed = false;
    // The first event has arrived, or the run resumes from a copy.
    bool has_output = false;
    // When the first event that the client lacked arrived; zero before that.
    BootTime first_event;
    // The attempt was already reported as slow or failed because its response
    // took too long.
    bool reported_slow = false;
  };

  // Timing of the relayed events.
  struct EventTimes {
    BootTime first;
    BootTime last;
    std::chrono::nanoseconds longest_gap{0};
    // Total time by which gaps exceeded `telemetry::kStallThreshold`.
    std::chrono::nanoseconds stall{0};

    // Returns the gap before these events; nothing for the first ones.
    std::optional<std::chrono::nanoseconds> OnEvents(BootTime now);
  };

  // Empty if the request belongs to no workspace.
  std::string WorkspaceName() const;
  // The budget of the request's service.
  retry::SharedRetryBudget& RetryBudget() const;

  // Finding a server with capacity; see exchange_placement.cc.
  enum class DispatchResult {
    kSent,
    // A search for an engine is in progress.
    kSearching,
    kNoCapacity,
  };
  // Sends the request if a server is already known to have capacity.
  DispatchResult Dispatch();
  void OnSearchEnded(const std::optional<ServerSearch::Choice>& choice);
  void SendTo(const dispatch::ServerSelector::Choice& choice);
  // The wait queue shared by all requests of the service.
  dispatch::WaitQueue<Exchange*>& ServiceWaitQueue();
  std::chrono::milliseconds TimeLeft() const;
  // Estimated time until there is capacity, behind the requests that are
  // already queued.
  std::chrono::milliseconds ExpectedWait();
  std::chrono::milliseconds RetryAfter();
  void EnqueueOrReject();
  void LeaveWaitQueue();

  // Attempts.
  void StartAttempt(const std::string& server_id,
                    const directory::Endpoint& endpoint,
                    const dispatch::Demand& demand, DispatchOptions options);
  // Logs the attempt with the known load of its server, including this request.
  void LogSent() const;
  // The prompt's shared parts for log lines.
  std::string SharedPartsText() const;
  void OnEnd(OutboundConnection::EndReason end);
  // Returns whether the response, which has ended as its framing says, is
  // whole. Records if its run may have been stopped.
  retry::UnframedEnd JudgeEnd();
  retry::AttemptEnd ClassifyAttempt(OutboundConnection::EndReason end) const;
  void OnAttemptEnded(retry::AttemptEnd end);
  retry::NextStep DecideNextStep(retry::AttemptEnd end) const;
  void RetryOnAnotherServer(retry::AttemptEnd end);
  // No other server takes the request, whose last attempt ended so.
  void OnNoOtherServer(retry::AttemptEnd end);
  // Whether an attempt holds a connection: its response is incomplete, or its
  // end is not judged yet.
  bool HasOpenAttempt() const {
    return attempt_.has_value() && attempt_->connection;
  }
  // Releases the connection and the capacity reserved at the server.
  void EndAttempt(dispatch::AttemptResult result);
  // Ends an attempt whose response is no longer needed, and the run.
  void AbortAttempt(dispatch::AttemptResult result);
  // Closes the attempt's connection, if it is open. The run may go on.
  void CloseAttempt(dispatch::AttemptResult result);
  void OnDeadline();

  // Crashes that this request may cause; see exchange_crash.cc.
  //
  // If the server closed or broke the connection before the request proved
  // harmless, has the server checked: the request may have crashed it.
  void CheckForCrash(OutboundConnection::EndReason end);
  // The server has run the request for long enough to show that the request
  // does not crash it.
  void ProveHarmless();
  bool IsQuarantined() const;
  // Whether the route and the crashes so far allow to run the request again.
  bool MayRetryAfterCrash() const;

  // Ends of runs, and slow servers; see exchange_stop.cc.
  EngineRun RunOfAttempt() const;
  // Stops the run at its engine, since nobody reads its response any more.
  // `may_be_queued`: the engine may not have begun it yet.
  void AbandonRun(bool may_be_queued);
  // Calls `repeat` once the run that is being stopped is over, at once if there
  // is none, and without proof after `kMaxStopWait`.
  void RepeatAfterStop(std::function<void()> repeat);
  // The run is over, or was waited for long enough.
  void EndStopWait();
  // The attempt must not be abandoned for another server when it is slow. It
  // gets a longer time limit, and exceeding it counts as a failure of the
  // server.
  bool MustKeepAttempt() const;
  void StartSlowTimer();
  void OnAttemptSlow();
  // Whether the slow request may be sent to another server, which has capacity.
  bool MayLeaveSlowServer(BootTime now);
  // Asks the engine to stop the run of a slow attempt, so that the request can
  // be sent to another one.
  void AskSlowEngine();
  void OnSlowEngineAsked(retry::StopResult result);
  void LeaveSlowServer();

  // Relaying; see exchange_relay.cc.
  void OnHead(const http1::ResponseHead& head);
  void OnBody(std::string_view bytes);
  // Holds back a part of a body, or relays it.
  void HoldOrRelay(std::string_view bytes);
  // The response cannot belong to this request, or is unusable.
  void RejectResponse(std::string_view reason);
  void RelayEvents(std::string_view bytes);
  void RelayWholeEvents(std::string_view events);
  void CompleteResponse();
  void OnStreamEnded(OutboundConnection::EndReason end);
  // The run cannot go on as it is: begins it anew at another server, after the
  // last event that the client received, or gives the request up.
  void OnStreamLost();
  void GiveUpLostStream();
  // The server that was to resume the run did not. If nothing tells whether it
  // has begun to, it is asked to stop first.
  void OnResumeFailed(retry::AttemptEnd end);

  // Migration of the run; see exchange_relay.cc.
  void MigrateIfLeaving();
  void Resume(const GenerationMigration::ResumePoint& resume_point);
  // The source engine was asked to stop the run and will close the stream.
  bool IsStopRequested() const;
  void EndMigration();

  // Final responses.
  void Answer(int status, std::string_view reason,
              std::optional<std::chrono::milliseconds> retry_after = {});
  // Of the configuration by which the request is handled; zero if none is
  // known.
  std::uint64_t ConfigurationVersion() const;
  void BreakOff(std::string_view outcome);
  void Finish(std::string_view outcome, int status);
  telemetry::RequestInstruments& Instruments();
  void CountFinished(std::string_view outcome, int status);

  GatewayContext& context_;
  ResponseSink& sink_;
  http1::RequestHead head_;
  // Shared with the attempts that send it.
  std::shared_ptr<const std::string> body_;
  BootTime received_;
  RequestMetadata metadata_;
  // The route is null until the request is admitted.
  AdmittedRequest request_;
  // The instruments for its workspace and request kind; null until first used.
  telemetry::RequestInstruments* instruments_ = nullptr;
  std::optional<Attempt> attempt_;
  // Number of attempts that were started.
  int started_attempts_ = 0;
  int sent_attempts_ = 0;
  // The run of the last attempt is being stopped, and is not known to be over.
  bool is_stopping_run_ = false;
  // Repeats the request after that; null unless a repeat waits for it.
  std::function<void()> repeat_;
  QTimer stop_wait_timer_;
  // While another server is searched for a repeat: how the last attempt ended.
  std::optional<retry::AttemptEnd> repeated_end_;
  bool waiting_ = false;
  ServerSearch search_;
  // The response head has been written to the client.
  bool response_started_ = false;
  // Runs that were lost before the request proved harmless, by a crash as far
  // as is known yet.
  int lost_runs_ = 0;
  // One of them was lost when its server had begun to answer, so that this
  // request most likely caused the crash: few runs are that far at any moment.
  bool lost_on_answer_ = false;
  // A run of the request answered for long enough.
  bool proved_harmless_ = false;
  // A finished request holds no connection, timer or migration.
  bool finished_ = false;
  migration::EventStreamMerger events_;
  EventTimes event_times_;
  // Null unless the run is being migrated.
  std::unique_ptr<GenerationMigration> migration_;
  QTimer deadline_timer_;
  QTimer slow_timer_;
};

}  // namespace balsam::gateway
