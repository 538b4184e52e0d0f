// The calls that stop runs, and their repetition.
#include "services/gateway/run_stopper.h"

#include <QTimer>
#include <algorithm>
#include <chrono>
#include <utility>

#include "libraries/base/log_event.h"

namespace balsam::gateway {
namespace {

using directory::Contact;
using retry::StopProof;
using retry::StopResult;
using std::chrono::milliseconds;

// An engine stops a run at once.
constexpr milliseconds kStopTimeout{400};
constexpr milliseconds kReleaseTimeout{1000};
// Calls for one run. A run that is abandoned while it is queued may begin
// later; most engines drop it when its connection closes.
constexpr std::size_t kMaxCalls = 8;
// The delay between them doubles.
constexpr milliseconds kFirstCallDelay{50};
constexpr milliseconds kMaxCallDelay{1000};

// `calls_left`: before the call that was made last.
milliseconds DelayAfterCall(std::size_t calls_left) {
  const std::size_t calls = kMaxCalls - calls_left;
  return std::min(kFirstCallDelay * (1 << calls), kMaxCallDelay);
}

std::string_view NameOf(StopResult result) {
  switch (result) {
    case StopResult::kStopped:
      return "stopped";
    case StopResult::kNotRunning:
      return "not_running";
    case StopResult::kEngineGone:
      return "engine_gone";
    case StopResult::kRefused:
      return "refused";
    case StopResult::kUnreachable:
      return "unreachable";
    case StopResult::kSilent:
      return "silent";
    case StopResult::kUnknown:
      return "unknown";
  }
  return "";
}

// `reply` is that to the call, `response` what it says.
StopResult ToStopResult(const OutboundConnection::Response& reply,
                        const CopyResponse& response) {
  using EndReason = OutboundConnection::EndReason;
  if (reply.contact == Contact::kRefused) return StopResult::kEngineGone;
  if (reply.contact == Contact::kTimedOut) return StopResult::kUnreachable;
  if (reply.end == EndReason::kTimedOut) return StopResult::kSilent;
  if (reply.end != EndReason::kComplete) return StopResult::kUnknown;
  if (response.result == migration::CopyResult::kNoSuchRun) {
    return StopResult::kNotRunning;
  }
  // An engine that stopped a run names what it keeps of it.
  return response.handle.empty() ? StopResult::kRefused : StopResult::kStopped;
}

}  // namespace

RunStopper::RunStopper(ConnectionPool& pool, const Dialect& dialect)
    : pool_(pool), dialect_(dialect) {}

void RunStopper::Ask(const EngineRun& run,
                     std::function<void(StopResult)> on_result) {
  OutboundConnection* connection =
      pool_.Acquire(run.server_id, run.endpoint, ConnectionPool::Use::kRequest);
  connection->Call(dialect_.MakeStopCall(run.request_id).ToBytes(),
                   kStopTimeout,
                   [this, run, connection, on_result = std::move(on_result)](
                       const OutboundConnection::Response& response) {
                     pool_.Release(run.server_id, connection);
                     OnResponse(run, response, on_result);
                   });
}

void RunStopper::OnResponse(const EngineRun& run,
                            const OutboundConnection::Response& response,
                            const std::function<void(StopResult)>& on_result) {
  CopyResponse parsed;
  if (response.end == OutboundConnection::EndReason::kComplete) {
    parsed = dialect_.ParseCopyResponse(response.head.status, response.body);
  }
  if (!parsed.handle.empty()) Release(run, parsed.handle);
  const StopResult result = ToStopResult(response, parsed);
  LogEvent("run_stop_asked")
      .With("id", run.request_id)
      .With("server", run.server_id)
      .With("status", response.head.status)
      .With("result", NameOf(result));
  on_result(result);
}

void RunStopper::Release(const EngineRun& run, const std::string& handle) {
  OutboundConnection* connection =
      pool_.Acquire(run.server_id, run.endpoint, ConnectionPool::Use::kPoll);
  connection->Call(dialect_.MakeReleaseCall(handle).ToBytes(), kReleaseTimeout,
                   [this, server = run.server_id,
                    connection](const OutboundConnection::Response&) {
                     pool_.Release(server, connection);
                   });
}

void RunStopper::StopAndConfirm(const EngineRun& run,
                                std::function<void(bool)> on_result) {
  TryConfirm(run, StopProof(), kMaxCalls, std::move(on_result));
}

void RunStopper::TryConfirm(const EngineRun& run, StopProof proof,
                            std::size_t calls_left,
                            std::function<void(bool is_over)> on_result) {
  Ask(run, [this, run, proof, calls_left,
            on_result = std::move(on_result)](StopResult result) mutable {
    const bool is_over = proof.Add(result);
    if (is_over || calls_left <= 1) {
      on_result(is_over);
      return;
    }
    // It may have been queued and begin now, or the engine may respond to
    // another call.
    QTimer::singleShot(DelayAfterCall(calls_left), this,
                       [this, run, proof, calls_left, on_result] {
                         TryConfirm(run, proof, calls_left - 1, on_result);
                       });
  });
}

void RunStopper::Abandon(const EngineRun& run, bool may_be_queued,
                         std::function<void()> on_over) {
  TryAbandon(run, may_be_queued, kMaxCalls, std::move(on_over));
}

void RunStopper::TryAbandon(const EngineRun& run, bool may_be_queued,
                            std::size_t calls_left,
                            std::function<void()> on_over) {
  Ask(run, [this, run, may_be_queued, calls_left,
            on_over = std::move(on_over)](StopResult result) {
    const bool is_over = result == StopResult::kStopped ||
                         result == StopResult::kEngineGone ||
                         (result == StopResult::kNotRunning && !may_be_queued);
    if (is_over) {
      on_over();
      return;
    }
    if (calls_left <= 1) return;
    QTimer::singleShot(DelayAfterCall(calls_left), this,
                       [this, run, may_be_queued, calls_left, on_over] {
                         TryAbandon(run, may_be_queued, calls_left - 1,
                                    on_over);
                       });
  });
}

}  // namespace balsam::gateway
