// Turns what a caller sent into checked work, by the templates in force. No
// I/O: the HTTP adapter passes the parts in.
#pragma once

#include <cstdint>
#include <string>

#include "libraries/base/boot_clock.h"
#include "libraries/base/error.h"
#include "libraries/execution/work.h"
#include "libraries/templates/template_set.h"

namespace balsam::entry {

// The parts of an HTTP request that matter.
struct CallerInput {
  std::string method;
  std::string path;
  std::string content_type;
  std::string bearer;
  std::string idempotency_key;
  std::string ticket;
  // Names one of the workspace's templates; the default one if empty.
  std::string template_name;
  std::string last_event_id;
  std::string body;
};

enum class AnswerForm { kCompletion, kChat, kCall };

struct CallerRequest {
  execution::WorkItem work;
  AnswerForm form = AnswerForm::kCompletion;
  // Answer with server-sent events.
  bool stream = false;
  // The service whose backend servers may run the work.
  std::string service;
};

// Finds the workspace of a bearer key. Fails with kUnknownBearerKey.
Result<const templates::Workspace*> Authenticate(
    const std::string& bearer, const templates::TemplateSet& set);

// Checks a completion or chat completion.
Result<CallerRequest> ParseCompletion(const CallerInput& input, AnswerForm form,
                                      const templates::TemplateSet& set,
                                      ClockReading now);

// Checks a call to `/services/{service}/...`.
Result<CallerRequest> ParseServiceCall(const CallerInput& input,
                                       const templates::TemplateSet& set,
                                       ClockReading now);

}  // namespace balsam::entry
