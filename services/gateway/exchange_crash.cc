// Requests that may crash the servers that run them: which losses are checked,
// and what is not repeated or is rejected for that.
#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "libraries/base/log_event.h"
#include "services/gateway/exchange.h"

namespace balsam::gateway {
namespace {

using dispatch::AttemptResult;
using std::chrono::milliseconds;

// A request that crashed this many servers is not sent to another one.
constexpr int kMaxCrashesPerRequest = 2;

// A run that was lost before it had proved harmless. The request may have ended
// when it is known whether its server crashed.
struct LostRun {
  std::string request_id;
  std::string server_id;
  std::vector<quarantine::Trait> traits;
  // The shared parts of its prompt, for the log.
  std::string parts;
  // The server had begun to answer.
  bool is_answering = false;
  BootTime began;
  BootTime ended;
};

// The server crashed when the run was lost.
void RecordCrash(GatewayContext& context, const LostRun& lost) {
  const BootTime now = BootClock::now();
  const auto age = [now](BootTime time) {
    return std::chrono::duration_cast<milliseconds>(now - time);
  };
  quarantine::CrashReport report;
  report.server = dispatch::ServerKey(lost.server_id);
  report.crash_age = age(lost.ended);
  report.run_age = age(lost.began);
  report.traits = lost.traits;
  report.is_answering = lost.is_answering;
  const quarantine::Change change = context.crash_ledger.OnCrash(report, now);
  const quarantine::Trait fingerprint = lost.traits.back();
  LogEvent("request_suspected", LogEvent::Level::kWarning)
      .With("id", lost.request_id)
      .With("server", lost.server_id)
      .With("fingerprint", fingerprint)
      .With("crashes", context.crash_ledger.CrashesOf(fingerprint))
      .With("answering", lost.is_answering ? 1 : 0)
      .With("parts", lost.parts);
  context.ReportEvidence(change);
}

}  // namespace

void Exchange::CheckForCrash(OutboundConnection::EndReason end) {
  using EndReason = OutboundConnection::EndReason;
  const bool broken = end == EndReason::kClosedWithoutResponse ||
                      (end == EndReason::kBroken && !IsStopRequested());
  if (!broken || proved_harmless_ || attempt_->is_rejected ||
      attempt_->slow_stop.request() != retry::StopRequest::kNone ||
      attempt_->is_stopped) {
    return;
  }
  // An engine that is leaving breaks off its runs through no fault of the
  // request.
  const std::string& id = attempt_->server_id;
  if (context_.directory.StateOf(id) != directory::ServerState::kReady) return;
  ++lost_runs_;
  lost_on_answer_ |= attempt_->streaming && !attempt_->has_output;
  LostRun lost;
  lost.request_id = metadata_.id;
  lost.server_id = id;
  lost.traits = request_.traits;
  lost.parts = SharedPartsText();
  // A server sends the head when it begins to answer, with the first event of a
  // stream, or with the whole response. Without the head the request may only
  // have waited there.
  lost.is_answering = attempt_->head.status != 0;
  lost.began = std::max(attempt_->started, attempt_->answered);
  lost.ended = BootClock::now();
  context_.crash_detector.OnResponseLost(
      id, attempt_->endpoint, [&context = context_, lost = std::move(lost)] {
        RecordCrash(context, lost);
      });
}

void Exchange::ProveHarmless() {
  if (std::exchange(proved_harmless_, true)) return;
  const quarantine::Change change =
      context_.crash_ledger.OnSurvived(request_.traits, BootClock::now());
  context_.ReportEvidence(change);
}

bool Exchange::IsQuarantined() const {
  return context_.crash_ledger.FindQuarantined(request_.traits).has_value();
}

bool Exchange::MayRetryAfterCrash() const {
  // Crashes of its own runs may not be confirmed yet.
  const int crashes = std::max(
      context_.crash_ledger.CrashesOf(request_.traits.back()), lost_runs_);
  return request_.route->MayRepeat() && !lost_on_answer_ && !IsQuarantined() &&
         !context_.crash_ledger.IsSuspected(request_.traits) &&
         crashes < kMaxCrashesPerRequest;
}

void Exchange::OnQuarantine() {
  if (finished_ || response_started_ || request_.route == nullptr ||
      request_.is_trial || !IsQuarantined()) {
    return;
  }
  if (HasOpenAttempt()) {
    // It may be running already, and its end shows whether it is harmless.
    if (attempt_->head.status != 0) return;
    AbortAttempt(AttemptResult::kInconclusive);
  }
  LeaveWaitQueue();
  LogQuarantined(metadata_, request_.traits,
                 *context_.crash_ledger.FindQuarantined(request_.traits));
  Answer(kQuarantinedStatus, kQuarantined);
}

}  // namespace balsam::gateway
