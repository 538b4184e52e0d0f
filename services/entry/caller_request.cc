// Checks of callers' requests.
#include "services/entry/caller_request.h"

#include <QCryptographicHash>
#include <QUuid>
#include <algorithm>
#include <nlohmann/json.hpp>

#include "libraries/membership/rendezvous.h"
#include "libraries/settings/json_document.h"

namespace balsam::entry {
namespace {

using nlohmann::json;

constexpr std::size_t kBytesPerToken = 4;
constexpr std::string_view kServicesPrefix = "/services/";
constexpr std::size_t kMaxPathBytes = 2048;

std::string NewRequestId() {
  return QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
}

bool IsJsonContent(const std::string& content_type) {
  const std::string_view type(content_type);
  return type.substr(0, type.find(';')) == "application/json";
}

Result<json> ParseBody(const CallerInput& input) {
  if (!IsJsonContent(input.content_type)) {
    return Fail(ResultCode::kWrongContentType,
                "Content-Type must be application/json");
  }
  std::vector<settings::Problem> problems;
  const auto document =
      settings::JsonDocument::Parse("body", input.body, problems);
  if (!problems.empty()) {
    return Fail(ResultCode::kMalformedBody, problems.front().ToLine());
  }
  if (!document.root().is_object()) {
    return Fail(ResultCode::kMalformedBody, "the body must be an object");
  }
  return document.root();
}

Result<std::string> PromptOf(const json& body, AnswerForm form) {
  const char* name = form == AnswerForm::kChat ? "messages" : "prompt";
  const auto prompt = body.find(name);
  if (prompt == body.end()) {
    return Fail(ResultCode::kMalformedBody,
                std::string("\"") + name + "\" is required but missing");
  }
  if (form == AnswerForm::kCompletion) {
    if (prompt->is_string()) return prompt->get<std::string>();
    return Fail(ResultCode::kMalformedBody, "\"prompt\" must be a string");
  }
  const bool fits = prompt->is_array() && !prompt->empty() &&
                    std::ranges::all_of(*prompt, [](const json& message) {
                      return message.is_object() && message.contains("role") &&
                             message.contains("content") &&
                             message["role"].is_string() &&
                             message["content"].is_string();
                    });
  if (fits) return prompt->dump();
  return Fail(ResultCode::kMalformedBody,
              "\"messages\" must be an array of objects with \"role\" and "
              "\"content\" strings");
}

Result<std::int64_t> MaxTokensOf(const json& body, std::int64_t limit) {
  const auto wanted = body.find("max_tokens");
  if (wanted == body.end() || wanted->is_null()) return limit;
  const bool fits =
      wanted->is_number_unsigned() && wanted->get<std::uint64_t>() >= 1 &&
      wanted->get<std::uint64_t>() <= static_cast<std::uint64_t>(limit);
  if (fits) return wanted->get<std::int64_t>();
  return Fail(ResultCode::kParameterOutOfRange,
              "\"max_tokens\" must be a whole number between 1 and " +
                  std::to_string(limit));
}

Result<bool> StreamOf(const json& body) {
  const auto stream = body.find("stream");
  if (stream == body.end() || stream->is_null()) return false;
  if (stream->is_boolean()) return stream->get<bool>();
  return Fail(ResultCode::kMalformedBody, "\"stream\" must be true or false");
}

Result<std::string> ModelOf(const json& body,
                            const templates::TemplateSet& set) {
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return Fail(ResultCode::kMalformedBody, "\"model\" must be a string");
  }
  auto name = model->get<std::string>();
  if (set.FindServiceOfModel(name) == nullptr) {
    return Fail(ResultCode::kUnknownModel,
                "model \"" + name.substr(0, 64) + "\" does not exist");
  }
  return name;
}

// What every kind of work takes from the workspace and the input.
Result<execution::WorkItem> CommonWork(const CallerInput& input,
                                       const templates::Workspace& workspace,
                                       ClockReading now) {
  execution::WorkItem work;
  work.request_id = NewRequestId();
  work.workspace = workspace.name;
  work.weight = workspace.weight;
  work.queue_limit = workspace.queue_limit;
  work.received = now.wall;
  work.method = input.method;
  work.content_type = input.content_type;
  work.ticket = input.ticket;
  if (!input.idempotency_key.empty()) {
    BOOST_LEAF_AUTO(key,
                    execution::IdempotencyKey::Parse(input.idempotency_key));
    work.key = key;
  }
  work.fingerprint =
      membership::StableHash(workspace.name + '\n' + input.method + '\n' +
                             input.path + '\n' + input.body);
  return work;
}

void ApplyTemplate(const templates::Template& chosen,
                   execution::WorkItem& work) {
  work.template_name = chosen.name;
  work.service_class = chosen.service_class;
  work.whole = chosen.delivery == templates::Delivery::kWhole;
  work.priority = chosen.priority;
  work.overflow_risk = chosen.overflow_risk;
  work.queue_deadline = chosen.queue_deadline;
  work.run_deadline = chosen.run_deadline;
}

}  // namespace

Result<const templates::Workspace*> Authenticate(
    const std::string& bearer, const templates::TemplateSet& set) {
  const QByteArray hash = QCryptographicHash::hash(
      QByteArray::fromStdString(bearer), QCryptographicHash::Sha256);
  std::array<std::uint8_t, 32> digest{};
  std::ranges::copy(hash, digest.begin());
  const templates::Workspace* workspace = set.FindWorkspaceByKeyDigest(digest);
  if (workspace == nullptr) {
    return Fail(ResultCode::kUnknownBearerKey,
                "the bearer key names no workspace");
  }
  return workspace;
}

Result<CallerRequest> ParseCompletion(const CallerInput& input, AnswerForm form,
                                      const templates::TemplateSet& set,
                                      ClockReading now) {
  BOOST_LEAF_AUTO(workspace, Authenticate(input.bearer, set));
  BOOST_LEAF_AUTO(body, ParseBody(input));
  BOOST_LEAF_AUTO(model, ModelOf(body, set));
  BOOST_LEAF_AUTO(prompt, PromptOf(body, form));
  const templates::Template* chosen =
      workspace->FindTemplate(input.template_name);
  if (chosen == nullptr) {
    return Fail(ResultCode::kUnknownTemplate,
                "workspace " + workspace->name + " has no template \"" +
                    input.template_name.substr(0, 64) + "\"");
  }
  BOOST_LEAF_AUTO(max_tokens, MaxTokensOf(body, chosen->max_output_tokens));
  BOOST_LEAF_AUTO(stream, StreamOf(body));
  BOOST_LEAF_AUTO(work, CommonWork(input, *workspace, now));
  ApplyTemplate(*chosen, work);
  work.model = model;
  work.max_output_tokens = max_tokens;
  work.prompt_tokens =
      static_cast<std::int64_t>(prompt.size() / kBytesPerToken + 1);
  work.path = input.path;
  // The backend server gets the caller's body with what was decided here.
  body["stream"] = true;
  body["max_tokens"] = max_tokens;
  work.body = body.dump();
  return CallerRequest{std::move(work), form, stream,
                       *set.FindServiceOfModel(model)};
}

Result<CallerRequest> ParseServiceCall(const CallerInput& input,
                                       const templates::TemplateSet& set,
                                       ClockReading now) {
  BOOST_LEAF_AUTO(workspace, Authenticate(input.bearer, set));
  const std::string rest = input.path.substr(kServicesPrefix.size());
  const auto slash = rest.find('/');
  const std::string service = rest.substr(0, slash);
  if (!set.HasService(service) || input.path.size() > kMaxPathBytes) {
    return Fail(ResultCode::kUnknownService,
                "service \"" + service.substr(0, 64) + "\" does not exist");
  }
  const std::string path =
      slash == std::string::npos ? "/" : rest.substr(slash);
  const std::string method =
      input.method + ' ' + path.substr(0, path.find('?'));
  const templates::ServiceMethod* row = set.FindMethod(service, method);
  if (row == nullptr) {
    return Fail(ResultCode::kMethodNotAllowed, "service " + service +
                                                   " has no method \"" +
                                                   method.substr(0, 64) + "\"");
  }
  BOOST_LEAF_AUTO(work, CommonWork(input, *workspace, now));
  work.kind = execution::WorkKind::kCall;
  work.service_class = service;
  work.template_name = method;
  work.idempotent = row->idempotent;
  work.queue_deadline = row->deadline;
  work.run_deadline = row->deadline;
  work.path = path;
  work.body = input.body;
  return CallerRequest{std::move(work), AnswerForm::kCall, false, service};
}

}  // namespace balsam::entry
