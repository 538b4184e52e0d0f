// HTTP server for callers.
#include "services/entry/entry_worker.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QHostAddress>
#include <QTcpServer>
#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "libraries/base/log_event.h"
#include "libraries/http/operator_server.h"

namespace balsam::entry {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{50};
constexpr int kListenBacklog = 1024;
constexpr std::string_view kGenerationsPrefix = "/v1/generations/";
constexpr std::string_view kServicesPrefix = "/services/";
constexpr milliseconds kRetryAfterDrain{1000};
constexpr milliseconds kRetryAfterNoTicket{1000};
constexpr int kHttpOk = 200;

std::string ToMethodName(QHttpServerRequest::Method method) {
  using Method = QHttpServerRequest::Method;
  switch (method) {
    case Method::Get:
      return "GET";
    case Method::Put:
      return "PUT";
    case Method::Delete:
      return "DELETE";
    case Method::Post:
      return "POST";
    case Method::Patch:
      return "PATCH";
    case Method::Head:
      return "HEAD";
    default:
      return "OTHER";
  }
}

// Returns the workspace of a bearer key, or null with `failure` set.
const templates::Workspace* AuthenticateOrError(
    const std::string& bearer, const templates::TemplateSet& set,
    std::optional<Error>& failure) {
  return TryOr([&] { return Authenticate(bearer, set); },
               [&failure](const Error& error) -> const templates::Workspace* {
                 failure = error;
                 return nullptr;
               });
}

// A successful outcome for a response that the entry produces itself.
Outcome MakeJsonOutcome(const nlohmann::json& body) {
  Outcome outcome;
  outcome.run_state = RunState::kRan;
  outcome.http_status = kHttpOk;
  outcome.content_type = "application/json";
  outcome.body = body.dump();
  return outcome;
}

RawCallerRequest ReadRawRequest(const QHttpServerRequest& request) {
  RawCallerRequest raw;
  raw.method = ToMethodName(request.method());
  raw.path = request.url().path(QUrl::FullyEncoded).toStdString();
  if (request.url().hasQuery()) {
    raw.path += '?' + request.url().query(QUrl::FullyEncoded).toStdString();
  }
  raw.content_type = http::HeaderValue(request, "content-type");
  raw.bearer = http::BearerToken(request);
  raw.idempotency_key = http::HeaderValue(request, "idempotency-key");
  raw.ticket = http::HeaderValue(request, "balsam-ticket");
  raw.template_name = http::HeaderValue(request, "balsam-template");
  raw.last_event_id = http::HeaderValue(request, "last-event-id");
  raw.body = request.body().toStdString();
  return raw;
}

Result<int> CreateListeningSocket(const QHostAddress& address,
                                  std::uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(port);
  name.sin_addr.s_addr = htonl(address.toIPv4Address());
  const bool listening =
      descriptor >= 0 &&
      setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0 &&
      setsockopt(descriptor, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)) == 0 &&
      bind(descriptor, reinterpret_cast<const sockaddr*>(&name),
           sizeof(name)) == 0 &&
      listen(descriptor, kListenBacklog) == 0;
  if (listening) return descriptor;
  const std::string reason = std::strerror(errno);
  if (descriptor >= 0) close(descriptor);
  return Fail(ResultCode::kInvalidSettings,
              "cannot listen for callers on " +
                  address.toString().toStdString() + ":" +
                  std::to_string(port) + ": " + reason);
}

}  // namespace

EntryWorker::EntryWorker(SharedState& shared, std::uint64_t seed)
    : shared_(shared), pool_(shared, seed, this) {}

Result<std::uint16_t> EntryWorker::Start(std::uint16_t port) {
  const QHostAddress address(
      QString::fromStdString(shared_.settings.callers.address));
  BOOST_LEAF_AUTO(descriptor, CreateListeningSocket(address, port));
  listener_ = new QTcpServer();
  listener_->setSocketDescriptor(descriptor);
  server_ = std::make_unique<QHttpServer>();
  server_->setMissingHandler([this](const QHttpServerRequest& request,
                                    QHttpServerResponder&& responder) {
    HandleRequest(request, std::move(responder));
  });
  server_->bind(listener_);
  tick_timer_ = new QTimer(this);
  connect(tick_timer_, &QTimer::timeout, this, [this] {
    const BootTime now = BootClock::now();
    std::ranges::for_each(
        sessions_, [now](const auto& entry) { entry.second->Tick(now); });
    pool_.CloseUnlistedLinks();
  });
  tick_timer_->start(kTickInterval);
  return listener_->serverPort();
}

void EntryWorker::StopListening() {
  if (listener_ != nullptr) listener_->close();
}

Result<CallerRequest> EntryWorker::Parse(const RawCallerRequest& raw) const {
  const auto set = shared_.templates.Current();
  const ClockReading now = ClockReading::Now();
  if (raw.body.size() >
      static_cast<std::size_t>(shared_.settings.max_body_bytes)) {
    return Fail(ResultCode::kBodyTooLarge,
                "the body is larger than " +
                    std::to_string(shared_.settings.max_body_bytes) + " bytes");
  }
  if (raw.path.starts_with(kServicesPrefix)) {
    return ParseServiceCall(raw, *set, now);
  }
  if (raw.method == "POST" && raw.path == kCompletionPath) {
    return ParseCompletion(raw, ResponseFormat::kCompletion, *set, now);
  }
  if (raw.method == "POST" && raw.path == kChatPath) {
    return ParseCompletion(raw, ResponseFormat::kChat, *set, now);
  }
  return Fail(
      ResultCode::kUnknownService,
      "\"" + raw.method + ' ' + raw.path.substr(0, 64) + "\" does not exist");
}

void EntryWorker::HandleRequest(const QHttpServerRequest& request,
                                QHttpServerResponder&& responder) {
  const RawCallerRequest raw = ReadRawRequest(request);
  if (shared_.draining.load(std::memory_order_acquire)) {
    ResponseWriter writer(std::move(responder), ResponseFormat::kCall, false,
                          "");
    writer.Finish(
        std::nullopt,
        Outcome::NotRun(ResultCode::kDraining,
                        "entry " + shared_.settings.vm.id + " is draining",
                        kRetryAfterDrain),
        "");
    return;
  }
  if (raw.method == "GET" && raw.path == "/v1/models") {
    HandleModels(request, std::move(responder));
    return;
  }
  if (raw.method == "GET" && raw.path.starts_with(kGenerationsPrefix)) {
    HandleResume(raw, std::move(responder));
    return;
  }
  if (raw.method == "POST" && raw.path.starts_with("/v1/tickets/")) {
    HandleTicket(raw, std::move(responder));
    return;
  }
  std::optional<Error> failure;
  std::optional<CallerRequest> input = TryOr(
      [&]() -> Result<std::optional<CallerRequest>> {
        BOOST_LEAF_AUTO(caller_request, Parse(raw));
        return std::optional(std::move(caller_request));
      },
      [&failure](const Error& error) -> std::optional<CallerRequest> {
        failure = error;
        return std::nullopt;
      });
  if (!input.has_value()) {
    RejectRequest(std::move(responder), *failure);
    return;
  }
  relay::RelayConfig config;
  const execution::WorkItem& work = input->work;
  config.idempotent = work.idempotent;
  config.whole = work.whole || !input->stream;
  config.is_keyed =
      !work.ticket.empty() || (work.key.has_value() && !work.idempotent);
  config.resume_window = shared_.settings.resume_window;
  config.deadline = BootClock::now() + work.queue_deadline + work.run_deadline;
  const BootTime now = BootClock::now();
  admission::BudgetCharge charge;
  if (work.kind == execution::WorkKind::kGeneration) {
    const auto budget = shared_.workspace_budgets.Find(work.workspace);
    if (budget != nullptr) input->work.over_budget = budget->OverdraftTime(now);
    charge = admission::BudgetCharge(
        budget, static_cast<double>(work.prompt_tokens), now);
  }
  StartSession(std::move(*input), relay::Relay::ForRequest(config),
               std::move(charge), std::move(responder));
}

void EntryWorker::HandleModels(const QHttpServerRequest& request,
                               QHttpServerResponder&& responder) {
  const auto set = shared_.templates.Current();
  std::optional<Error> failure;
  AuthenticateOrError(http::BearerToken(request), *set, failure);
  if (failure.has_value()) {
    RejectRequest(std::move(responder), *failure);
    return;
  }
  nlohmann::json models = nlohmann::json::array();
  std::ranges::for_each(set->models(), [&models](const auto& model) {
    models.push_back(
        {{"id", model.first}, {"object", "model"}, {"owned_by", model.second}});
  });
  ResponseWriter writer(std::move(responder), ResponseFormat::kCall, false, "");
  writer.Finish(std::nullopt,
                MakeJsonOutcome({{"object", "list"}, {"data", models}}), "");
}

void EntryWorker::HandleResume(const RawCallerRequest& raw,
                               QHttpServerResponder&& responder) {
  const auto set = shared_.templates.Current();
  const std::string text = raw.path.substr(kGenerationsPrefix.size());
  const std::string event_id_text =
      raw.last_event_id.empty() ? text + ":0" : raw.last_event_id;
  const auto resume_position = generation::EventId::Parse(event_id_text);
  std::optional<Error> failure;
  const templates::Workspace* workspace =
      AuthenticateOrError(raw.bearer, *set, failure);
  if (!failure.has_value() && (!resume_position.has_value() ||
                               resume_position->generation.ToText() != text)) {
    failure = Error{ResultCode::kInvalidEventId,
                    "Last-Event-ID does not name generation \"" +
                        text.substr(0, 128) + "\""};
  }
  if (failure.has_value()) {
    RejectRequest(std::move(responder), *failure);
    return;
  }
  CallerRequest request;
  request.work.request_id = text;
  request.work.workspace = workspace->name;
  request.work.service_class = "resume";
  request.stream = true;
  relay::RelayConfig config;
  config.resume_window = shared_.settings.resume_window;
  config.deadline = BootClock::now() + std::chrono::hours(1);
  StartSession(std::move(request),
               relay::Relay::ForResume(config, *resume_position), {},
               std::move(responder));
}

void EntryWorker::HandleTicket(const RawCallerRequest& raw,
                               QHttpServerResponder&& responder) {
  const auto set = shared_.templates.Current();
  const std::string service = raw.path.substr(sizeof("/v1/tickets/") - 1);
  std::optional<Error> failure;
  const templates::Workspace* workspace =
      AuthenticateOrError(raw.bearer, *set, failure);
  if (!failure.has_value() && !set->HasService(service)) {
    failure = Error{ResultCode::kUnknownService,
                    "service \"" + service.substr(0, 64) + "\" does not exist"};
  }
  if (failure.has_value()) {
    RejectRequest(std::move(responder), *failure);
    return;
  }
  CallerRequest request;
  request.service = service;
  request.work.kind = execution::WorkKind::kCall;
  request.work.fingerprint =
      static_cast<std::uint64_t>(BootClock::now().time_since_epoch().count());
  const auto choice = pool_.SelectVm(request, {});
  auto writer = std::make_shared<ResponseWriter>(
      std::move(responder), ResponseFormat::kCall, false, "");
  if (const auto* outcome = std::get_if<Outcome>(&choice)) {
    writer->Finish(std::nullopt, *outcome, "");
    return;
  }
  const Outcome not_issued =
      Outcome::NotRun(ResultCode::kNoBackendServer,
                      "no sidecar issued a ticket", kRetryAfterNoTicket);
  // The VM may have been removed from the list since it was selected.
  peer::PeerLink* link = pool_.GetLink(std::get<std::string>(choice));
  if (link == nullptr) {
    writer->Finish(std::nullopt, not_issued, "");
    return;
  }
  peer::PeerLink::Handlers handlers;
  handlers.on_message = [writer](const peer::Message& message) {
    const auto* reply = std::get_if<peer::TicketReply>(&message);
    if (reply == nullptr) return;
    writer->Finish(std::nullopt, MakeJsonOutcome({{"ticket", reply->ticket}}),
                   "");
  };
  handlers.on_end = [writer, not_issued](peer::StreamEnd) {
    // Has no effect if the response was already finished.
    writer->Finish(std::nullopt, not_issued, "");
  };
  link->Open(peer::kTicketPath, peer::TicketRequest{workspace->name},
             std::move(handlers));
}

void EntryWorker::StartSession(CallerRequest request, relay::Relay relay,
                               admission::BudgetCharge charge,
                               QHttpServerResponder&& responder) {
  auto writer = std::make_unique<ResponseWriter>(
      std::move(responder), request.format, request.stream, request.work.model);
  const std::uint64_t number = next_session_++;
  auto session = std::make_unique<CallerSession>(
      std::move(request), std::move(relay), std::move(writer),
      std::move(charge), shared_, pool_);
  CallerSession* started = session.get();
  sessions_.emplace(number, std::move(session));
  started->on_finished = [this, number] {
    // The session is still on the call stack, so the event loop deletes it.
    QMetaObject::invokeMethod(
        this, [this, number] { sessions_.erase(number); },
        Qt::QueuedConnection);
  };
  started->Start();
}

void EntryWorker::RejectRequest(QHttpServerResponder&& responder,
                                const Error& error) {
  shared_.metrics.CountOutcome("unknown", error.code);
  LogEvent("refused")
      .With("code", static_cast<int>(error.code))
      .With("reason", error.detail);
  ResponseWriter writer(std::move(responder), ResponseFormat::kCall, false, "");
  writer.Finish(std::nullopt, Outcome::NotRun(error.code, error.detail), "");
}

}  // namespace balsam::entry
