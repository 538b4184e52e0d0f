// Validates a caller's HTTP request against the current templates and converts
// it into work. Does no I/O: EntryWorker passes the parts of the request in.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/boot_clock.h"
#include "libraries/base/error.h"
#include "libraries/execution/work_item.h"
#include "libraries/quarantine/crash_ledger.h"
#include "libraries/templates/template_set.h"

namespace balsam::entry {

// The parts of a caller's HTTP request that are used, not yet validated.
struct RawCallerRequest {
  std::string method;
  std::string path;
  std::string content_type;
  std::string bearer;
  std::string idempotency_key;
  std::string ticket;
  // Name of one of the workspace's templates; empty selects the default.
  std::string template_name;
  std::string last_event_id;
  std::string body;
};

enum class ResponseFormat { kCompletion, kChat, kCall };

inline constexpr std::string_view kCompletionPath = "/v1/completions";
inline constexpr std::string_view kChatPath = "/v1/chat/completions";

struct CallerRequest {
  execution::WorkItem work;
  ResponseFormat format = ResponseFormat::kCompletion;
  // Send the response as server-sent events.
  bool stream = false;
  // The service whose backend servers may run the work.
  std::string service;
  // What a generation may have in common with others that crash backend
  // servers: the messages of its chat but the last, and last the request
  // itself. Empty for a call.
  std::vector<quarantine::Trait> traits;
};

// Returns the workspace of a bearer key. Fails with kUnknownBearerKey.
Result<const templates::Workspace*> Authenticate(
    const std::string& bearer, const templates::TemplateSet& set);

// Parses and validates a completion or chat completion request.
Result<CallerRequest> ParseCompletion(const RawCallerRequest& raw,
                                      ResponseFormat format,
                                      const templates::TemplateSet& set,
                                      ClockReading now);

// Parses and validates a call to `/services/{service}/...`.
Result<CallerRequest> ParseServiceCall(const RawCallerRequest& raw,
                                       const templates::TemplateSet& set,
                                       ClockReading now);

}  // namespace balsam::entry
