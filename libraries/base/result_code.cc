// A single table holds the name and HTTP status of each code, so that they stay
// consistent.
#include "libraries/base/result_code.h"

#include <algorithm>
#include <array>

namespace balsam {
namespace {

struct Row {
  ResultCode code;
  std::string_view name;
  int http_status;
};

constexpr std::array kRows = {
    Row{ResultCode::kOk, "ok", 200},
    Row{ResultCode::kMalformedBody, "malformed_body", 400},
    Row{ResultCode::kBodyTooLarge, "body_too_large", 413},
    Row{ResultCode::kWrongContentType, "wrong_content_type", 415},
    Row{ResultCode::kUnknownBearerKey, "unknown_bearer_key", 401},
    Row{ResultCode::kUnknownModel, "unknown_model", 404},
    Row{ResultCode::kParameterOutOfRange, "parameter_out_of_range", 400},
    Row{ResultCode::kUnknownService, "unknown_service", 404},
    Row{ResultCode::kMethodNotAllowed, "method_not_allowed", 405},
    Row{ResultCode::kInvalidIdempotencyKey, "invalid_idempotency_key", 400},
    Row{ResultCode::kGenerationNotFound, "generation_not_found", 404},
    Row{ResultCode::kInvalidEventId, "invalid_event_id", 400},
    Row{ResultCode::kKeyReusedForOtherRequest, "key_reused_for_other_request",
        422},
    Row{ResultCode::kUnknownTemplate, "unknown_template", 404},
    Row{ResultCode::kQueueFull, "queue_full", 429},
    Row{ResultCode::kBudgetSpent, "budget_spent", 429},
    Row{ResultCode::kDeadlineInQueue, "deadline_in_queue", 503},
    Row{ResultCode::kDraining, "draining", 503},
    Row{ResultCode::kNoBackendServer, "no_backend_server", 503},
    Row{ResultCode::kQuarantined, "quarantined", 422},
    Row{ResultCode::kStaleVmList, "stale_vm_list", 503},
    Row{ResultCode::kBackendServerLost, "backend_server_lost", 502},
    Row{ResultCode::kSidecarLost, "sidecar_lost", 502},
    Row{ResultCode::kGenerationLost, "generation_lost", 502},
    Row{ResultCode::kTicketExpired, "ticket_expired", 409},
    Row{ResultCode::kKeyHistoryUnknown, "key_history_unknown", 409},
    Row{ResultCode::kBackendServerError, "backend_server_error", 502},
    Row{ResultCode::kStopDeadline, "stop_deadline", 503},
    Row{ResultCode::kCancelledByCaller, "cancelled_by_caller", 499},
    Row{ResultCode::kDeadlineWhileRunning, "deadline_while_running", 504},
    Row{ResultCode::kReaderTooSlow, "reader_too_slow", 408},
    Row{ResultCode::kInvalidSettings, "invalid_settings", 500},
    Row{ResultCode::kInvalidTemplates, "invalid_templates", 422},
    Row{ResultCode::kInvalidVmList, "invalid_vm_list", 500},
    Row{ResultCode::kInvalidPeerMessage, "invalid_peer_message", 400},
    Row{ResultCode::kPlatformUnavailable, "platform_unavailable", 503},
    Row{ResultCode::kOrderSuperseded, "order_superseded", 409},
    Row{ResultCode::kOrderRefused, "order_refused", 409},
};

const Row& RowOf(ResultCode code) {
  const auto row = std::ranges::find(kRows, code, &Row::code);
  return row == kRows.end() ? kRows.front() : *row;
}

}  // namespace

std::string_view NameOf(ResultCode code) { return RowOf(code).name; }

int HttpStatusOf(ResultCode code) { return RowOf(code).http_status; }

std::optional<ResultCode> ResultCodeFromNumber(int number) {
  const auto row = std::ranges::find(
      kRows, number, [](const Row& r) { return static_cast<int>(r.code); });
  if (row == kRows.end()) return std::nullopt;
  return row->code;
}

std::string_view NameOf(RunState state) {
  switch (state) {
    case RunState::kNotRun:
      return "not_run";
    case RunState::kRan:
      return "ran";
    case RunState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace balsam
