// The numbered result codes, and whether a request with such a result was run.
// docs/RESULT_CODES.md documents them for callers and operators.
#pragma once

#include <optional>
#include <string_view>

namespace balsam {

// Whether a request reached its backend server. `kNotRun` is a guarantee: it is
// reported only if it is proven that the request was not run.
enum class RunState { kNotRun, kRan, kUnknown };

enum class ResultCode : int {
  kOk = 0,

  kMalformedBody = 1001,
  kBodyTooLarge = 1002,
  kWrongContentType = 1003,
  kUnknownBearerKey = 1004,
  kUnknownModel = 1005,
  kParameterOutOfRange = 1006,
  kUnknownService = 1007,
  kMethodNotAllowed = 1008,
  kInvalidIdempotencyKey = 1009,
  kGenerationNotFound = 1010,
  kInvalidEventId = 1011,
  kKeyReusedForOtherRequest = 1012,
  kUnknownTemplate = 1013,

  kQueueFull = 2001,
  kBudgetSpent = 2002,
  kDeadlineInQueue = 2003,
  kDraining = 2004,
  kNoBackendServer = 2005,
  kQuarantined = 2006,
  kStaleVmList = 2007,

  kBackendServerLost = 3001,
  kSidecarLost = 3002,
  kGenerationLost = 3003,
  kTicketExpired = 3004,
  kKeyHistoryUnknown = 3005,
  kBackendServerError = 3006,
  kStopDeadline = 3007,
  kCancelledByCaller = 3008,
  kDeadlineWhileRunning = 3009,
  kReaderTooSlow = 3010,

  kInvalidSettings = 4001,
  kInvalidTemplates = 4002,
  kInvalidVmList = 4003,
  kInvalidPeerMessage = 4004,
  kPlatformUnavailable = 4005,
  kOrderSuperseded = 4006,
  kOrderRefused = 4007,
};

// Returns the stable, lower-case name used in logs, metrics and error bodies.
std::string_view NameOf(ResultCode code);

// Returns the HTTP status of a response to a caller with `code`.
int HttpStatusOf(ResultCode code);

// Returns the code with this number, or nothing if there is none.
std::optional<ResultCode> ResultCodeFromNumber(int number);

std::string_view NameOf(RunState state);

}  // namespace balsam
