// Parsing and validation of callers' requests.
#include "services/entry/caller_request.h"

#include <QCryptographicHash>
#include <QUuid>
#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

#include "libraries/membership/rendezvous.h"
#include "libraries/settings/json_document.h"

namespace balsam::entry {
namespace {

using nlohmann::json;

constexpr std::size_t kBytesPerToken = 4;
constexpr std::string_view kServicesPrefix = "/services/";
constexpr std::size_t kMaxPathBytes = 2048;
// Messages of a chat by which it is compared with chats that crashed servers.
constexpr std::size_t kMaxSharedMessages = 32;

std::string NewRequestId() {
  return QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
}

bool IsJsonContent(const std::string& content_type) {
  const std::string_view type(content_type);
  return type.substr(0, type.find(';')) == "application/json";
}

Result<json> ParseBody(const RawCallerRequest& raw) {
  if (!IsJsonContent(raw.content_type)) {
    return Fail(ResultCode::kWrongContentType,
                "Content-Type must be application/json");
  }
  std::vector<settings::Problem> problems;
  const auto document =
      settings::JsonDocument::Parse("body", raw.body, problems);
  if (!problems.empty()) {
    return Fail(ResultCode::kMalformedBody, problems.front().ToLine());
  }
  if (!document.root().is_object()) {
    return Fail(ResultCode::kMalformedBody, "the body must be an object");
  }
  return document.root();
}

Result<std::string> ReadPrompt(const json& body, ResponseFormat format) {
  const char* name = format == ResponseFormat::kChat ? "messages" : "prompt";
  const auto prompt = body.find(name);
  if (prompt == body.end()) {
    return Fail(ResultCode::kMalformedBody,
                std::string("\"") + name + "\" is required but missing");
  }
  if (format == ResponseFormat::kCompletion) {
    if (prompt->is_string()) return prompt->get<std::string>();
    return Fail(ResultCode::kMalformedBody, "\"prompt\" must be a string");
  }
  const bool valid = prompt->is_array() && !prompt->empty() &&
                     std::ranges::all_of(*prompt, [](const json& message) {
                       return message.is_object() && message.contains("role") &&
                              message.contains("content") &&
                              message["role"].is_string() &&
                              message["content"].is_string();
                     });
  if (valid) return prompt->dump();
  return Fail(ResultCode::kMalformedBody,
              "\"messages\" must be an array of objects with \"role\" and "
              "\"content\" strings");
}

std::vector<quarantine::Trait> TraitsOf(const json& body, ResponseFormat format,
                                        const execution::WorkItem& work) {
  std::vector<quarantine::Trait> traits;
  if (format == ResponseFormat::kChat) {
    const json& messages = body["messages"];
    // Longer chats are known by their first messages.
    const std::size_t shared =
        std::min(messages.size() - 1, kMaxSharedMessages);
    std::transform(messages.begin(),
                   messages.begin() + static_cast<std::ptrdiff_t>(shared),
                   std::back_inserter(traits), [](const json& message) {
                     return membership::StableHash(
                         message["role"].get<std::string>() + '\n' +
                         message["content"].get<std::string>());
                   });
  }
  traits.push_back(work.fingerprint);
  return traits;
}

Result<std::int64_t> ReadMaxTokens(const json& body, std::int64_t limit) {
  const auto field = body.find("max_tokens");
  if (field == body.end() || field->is_null()) return limit;
  const bool valid =
      field->is_number_unsigned() && field->get<std::uint64_t>() >= 1 &&
      field->get<std::uint64_t>() <= static_cast<std::uint64_t>(limit);
  if (valid) return field->get<std::int64_t>();
  return Fail(ResultCode::kParameterOutOfRange,
              "\"max_tokens\" must be a whole number between 1 and " +
                  std::to_string(limit));
}

// Tokens have one number each, so a response has one choice.
Result<void> CheckChoices(const json& body) {
  const auto choices = body.find("n");
  const bool valid =
      choices == body.end() || choices->is_null() || *choices == 1;
  if (valid) return {};
  return Fail(ResultCode::kParameterOutOfRange, "\"n\" must be 1");
}

Result<bool> ReadStreamFlag(const json& body) {
  const auto stream = body.find("stream");
  if (stream == body.end() || stream->is_null()) return false;
  if (stream->is_boolean()) return stream->get<bool>();
  return Fail(ResultCode::kMalformedBody, "\"stream\" must be true or false");
}

Result<std::string> ReadModel(const json& body,
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

// Fills the fields that generations and service calls have in common.
Result<execution::WorkItem> MakeBaseWork(const RawCallerRequest& raw,
                                         const templates::Workspace& workspace,
                                         ClockReading now) {
  execution::WorkItem work;
  work.request_id = NewRequestId();
  work.workspace = workspace.name;
  work.weight = workspace.weight;
  work.queue_limit = workspace.queue_limit;
  work.received = now.wall;
  work.method = raw.method;
  work.content_type = raw.content_type;
  work.ticket = raw.ticket;
  if (!raw.idempotency_key.empty()) {
    BOOST_LEAF_AUTO(key, execution::IdempotencyKey::Parse(raw.idempotency_key));
    work.key = key;
  }
  work.fingerprint = membership::StableHash(workspace.name + '\n' + raw.method +
                                            '\n' + raw.path + '\n' + raw.body);
  return work;
}

void ApplyTemplate(const templates::Template& selected,
                   execution::WorkItem& work) {
  work.template_name = selected.name;
  work.service_class = selected.service_class;
  work.whole = selected.delivery == templates::Delivery::kWhole;
  work.priority = selected.priority;
  work.overflow_risk = selected.overflow_risk;
  work.queue_deadline = selected.queue_deadline;
  work.run_deadline = selected.run_deadline;
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
                "the bearer key belongs to no workspace");
  }
  return workspace;
}

Result<CallerRequest> ParseCompletion(const RawCallerRequest& raw,
                                      ResponseFormat format,
                                      const templates::TemplateSet& set,
                                      ClockReading now) {
  BOOST_LEAF_AUTO(workspace, Authenticate(raw.bearer, set));
  BOOST_LEAF_AUTO(body, ParseBody(raw));
  BOOST_LEAF_AUTO(model, ReadModel(body, set));
  BOOST_LEAF_AUTO(prompt, ReadPrompt(body, format));
  const templates::Template* selected =
      workspace->FindTemplate(raw.template_name);
  if (selected == nullptr) {
    return Fail(ResultCode::kUnknownTemplate,
                "workspace " + workspace->name + " has no template \"" +
                    raw.template_name.substr(0, 64) + "\"");
  }
  BOOST_LEAF_AUTO(max_tokens, ReadMaxTokens(body, selected->max_output_tokens));
  BOOST_LEAF_AUTO(stream, ReadStreamFlag(body));
  BOOST_LEAF_CHECK(CheckChoices(body));
  BOOST_LEAF_AUTO(work, MakeBaseWork(raw, *workspace, now));
  ApplyTemplate(*selected, work);
  work.model = model;
  work.max_output_tokens = max_tokens;
  work.prompt_tokens =
      static_cast<std::int64_t>(prompt.size() / kBytesPerToken + 1);
  work.path = raw.path;
  std::vector<quarantine::Trait> traits = TraitsOf(body, format, work);
  // The backend server receives the caller's body with "stream" and
  // "max_tokens" set here.
  body["stream"] = true;
  body["max_tokens"] = max_tokens;
  work.body = body.dump();
  return CallerRequest{std::move(work), format, stream,
                       *set.FindServiceOfModel(model), std::move(traits)};
}

Result<CallerRequest> ParseServiceCall(const RawCallerRequest& raw,
                                       const templates::TemplateSet& set,
                                       ClockReading now) {
  BOOST_LEAF_AUTO(workspace, Authenticate(raw.bearer, set));
  const std::string route = raw.path.substr(kServicesPrefix.size());
  const auto slash = route.find('/');
  const std::string service = route.substr(0, slash);
  if (!set.HasService(service) || raw.path.size() > kMaxPathBytes) {
    return Fail(ResultCode::kUnknownService,
                "service \"" + service.substr(0, 64) + "\" does not exist");
  }
  const std::string path =
      slash == std::string::npos ? "/" : route.substr(slash);
  const std::string method = raw.method + ' ' + path.substr(0, path.find('?'));
  const templates::ServiceMethod* service_method =
      set.FindMethod(service, method);
  if (service_method == nullptr) {
    return Fail(ResultCode::kMethodNotAllowed, "service " + service +
                                                   " has no method \"" +
                                                   method.substr(0, 64) + "\"");
  }
  BOOST_LEAF_AUTO(work, MakeBaseWork(raw, *workspace, now));
  work.kind = execution::WorkKind::kCall;
  work.service_class = service;
  work.template_name = method;
  work.idempotent = service_method->idempotent;
  work.queue_deadline = service_method->deadline;
  work.run_deadline = service_method->deadline;
  work.path = path;
  work.body = raw.body;
  return CallerRequest{
      std::move(work), ResponseFormat::kCall, false, service, {}};
}

}  // namespace balsam::entry
