// HTTP requests to the backend server with QNetworkAccessManager.
#include "libraries/backend/backend_client.h"

#include <QNetworkReply>
#include <QNetworkRequest>
#include <QTimer>
#include <algorithm>
#include <utility>

#include "libraries/backend/one_shot_body.h"
#include "libraries/base/log_event.h"

namespace balsam::backend {
namespace {

constexpr int kConnectionsPerManager = 6;
constexpr std::size_t kMaxCancelCalls = 4;
constexpr std::chrono::milliseconds kCancelInterval{250};
constexpr char kStreamHeader[] = "X-Stream-Id";
constexpr char kPriorityHeader[] = "X-Priority";
constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;

QByteArray ToBytes(const std::string& text) {
  return {text.data(), static_cast<qsizetype>(text.size())};
}

int StatusOf(const QNetworkReply* reply) {
  return reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
}

bool IsEventStream(const QNetworkReply* reply) {
  const QString type =
      reply->header(QNetworkRequest::ContentTypeHeader).toString();
  return type.section(';', 0, 0).trimmed().compare("text/event-stream",
                                                   Qt::CaseInsensitive) == 0;
}

// Returns why a response is no stream of events; empty if it is one, or if
// there is no response.
std::string RefusalOf(const QNetworkReply* reply) {
  const int status = StatusOf(reply);
  if (status == 0) return {};
  if (status != kHttpOk) {
    return "backend server returned HTTP status " + std::to_string(status);
  }
  if (IsEventStream(reply)) return {};
  return "backend server returned something else than an event stream";
}

// No connection was established, so nothing can have been sent.
bool WasNeverConnected(const QNetworkReply* reply) {
  return reply->error() == QNetworkReply::ConnectionRefusedError ||
         reply->error() == QNetworkReply::HostNotFoundError;
}

}  // namespace

BackendClient::BackendClient(BackendSettings settings, QObject* parent)
    : QObject(parent), settings_(std::move(settings)) {}

BackendClient::~BackendClient() {
  std::ranges::for_each(exchanges_, [](auto& entry) {
    if (!entry.second.reply) return;
    entry.second.reply->disconnect();
    entry.second.reply->abort();
    delete entry.second.reply.data();
  });
}

QNetworkAccessManager* BackendClient::ManagerForStream() {
  const auto available = std::ranges::find_if(managers_, [this](const auto& m) {
    return streams_per_manager_[m.get()] < kConnectionsPerManager;
  });
  if (available != managers_.end()) return available->get();
  managers_.push_back(std::make_unique<QNetworkAccessManager>());
  managers_.back()->setAutoDeleteReplies(false);
  return managers_.back().get();
}

QNetworkRequest BackendClient::RequestFor(const QString& path,
                                          const std::string& stream,
                                          const execution::WorkItem* work) {
  QNetworkRequest request(settings_.base_url.resolved(QUrl(path)));
  request.setRawHeader(kStreamHeader, ToBytes(stream));
  request.setTransferTimeout(static_cast<int>(settings_.silence_limit.count()));
  request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                       QNetworkRequest::ManualRedirectPolicy);
  // A kept connection may be dead, or hold a response that the server wrote
  // once more. Qt shares connections between requests with equal names, which
  // have no other effect without TLS.
  request.setPeerVerifyName(QString::number(++connections_));
  request.setAttribute(
      QNetworkRequest::ConnectionCacheExpiryTimeoutSecondsAttribute, 0);
  request.setRawHeader("Connection", "close");
  if (work == nullptr) return request;
  request.setHeader(QNetworkRequest::ContentTypeHeader,
                    ToBytes(work->content_type));
  request.setRawHeader(kPriorityHeader, QByteArray::number(work->priority));
  return request;
}

QNetworkReply* BackendClient::SendWithoutRetry(QNetworkAccessManager* manager,
                                               QNetworkRequest request,
                                               const std::string& method,
                                               const std::string& body) {
  request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
  request.setHeader(QNetworkRequest::ContentLengthHeader,
                    static_cast<qint64>(body.size()));
  auto* content = new OneShotBody(ToBytes(body));
  QNetworkReply* reply =
      manager->sendCustomRequest(request, ToBytes(method), content);
  content->setParent(reply);
  return reply;
}

void BackendClient::StartGeneration(execution::LocalId local_id,
                                    const std::string& stream,
                                    const execution::WorkItem& work) {
  QNetworkAccessManager* manager = ManagerForStream();
  QNetworkReply* reply = SendWithoutRetry(
      manager, RequestFor(QString::fromStdString(work.path), stream, &work),
      work.method, work.body);
  Exchange exchange;
  exchange.reply = reply;
  exchange.manager = manager;
  Track(local_id, std::move(exchange));
}

void BackendClient::ResumeGeneration(execution::LocalId local_id,
                                     const std::string& stream,
                                     std::uint64_t first,
                                     std::vector<std::string> repeated) {
  Abort(local_id);
  QNetworkAccessManager* manager = ManagerForStream();
  const QString path = QString("/v1/streams/%1?from=%2")
                           .arg(QString::fromStdString(stream))
                           .arg(first - repeated.size());
  Exchange exchange;
  exchange.reply = manager->get(RequestFor(path, stream, nullptr));
  exchange.manager = manager;
  exchange.stream = EngineStream(std::move(repeated));
  exchange.is_resume = true;
  exchange.next = first;
  Track(local_id, std::move(exchange));
}

void BackendClient::CancelGeneration(execution::LocalId local_id,
                                     const std::string& stream) {
  Abort(local_id);
  SendCancel(stream, kMaxCancelCalls);
}

void BackendClient::SendCancel(const std::string& stream,
                               std::size_t calls_left) {
  const QString path =
      QString("/v1/streams/%1").arg(QString::fromStdString(stream));
  QNetworkReply* reply =
      control_manager_.deleteResource(RequestFor(path, stream, nullptr));
  connect(
      reply, &QNetworkReply::finished, this, [this, reply, stream, calls_left] {
        reply->deleteLater();
        // An engine that does not know the stream, or is gone, does not run it.
        const bool is_cancelled = reply->error() == QNetworkReply::NoError ||
                                  StatusOf(reply) == kHttpNotFound ||
                                  WasNeverConnected(reply);
        if (is_cancelled) return;
        LogEvent("engine_cancel_failed", LogEvent::Level::kWarning)
            .With("generation", stream)
            .With("reason", reply->errorString().toStdString())
            .With("calls_left", calls_left - 1);
        if (calls_left <= 1) return;
        QTimer::singleShot(kCancelInterval, this, [this, stream, calls_left] {
          SendCancel(stream, calls_left - 1);
        });
      });
}

void BackendClient::StartCall(execution::LocalId local_id,
                              const std::string& stream,
                              const execution::WorkItem& work) {
  HttpCaller::Request request;
  request.url =
      settings_.base_url.resolved(QUrl(QString::fromStdString(work.path)))
          .toEncoded()
          .toStdString();
  request.method = work.method;
  request.fields = {
      std::string(kStreamHeader) + ": " + stream,
      std::string(kPriorityHeader) + ": " + std::to_string(work.priority),
      "Content-Type: " + work.content_type, "Connection: close"};
  request.body = work.body;
  request.silence_limit = settings_.silence_limit;
  caller_.Send(std::move(request),
               [this, local_id](HttpCaller::Response response) {
                 FinishCall(local_id, std::move(response));
               });
}

void BackendClient::Track(execution::LocalId local_id, Exchange exchange) {
  QNetworkReply* reply = exchange.reply;
  if (exchange.manager != nullptr) ++streams_per_manager_[exchange.manager];
  exchanges_[local_id] = std::move(exchange);
  connect(reply, &QNetworkReply::readyRead, this,
          [this, local_id] { ReadEvents(local_id); });
  connect(reply, &QNetworkReply::finished, this,
          [this, local_id, reply] { OnReplyFinished(local_id, reply); });
}

void BackendClient::ReadEvents(execution::LocalId local_id) {
  const auto found = exchanges_.find(local_id);
  if (found == exchanges_.end() || !found->second.reply) return;
  Exchange& exchange = found->second;
  const bool has_events =
      StatusOf(exchange.reply) != 0 && RefusalOf(exchange.reply).empty();
  if (!has_events) return;
  const QNetworkReply* reply = exchange.reply;
  const QByteArray bytes = exchange.reply->readAll();
  const std::uint64_t first = exchange.next;
  const EngineStream::Batch batch = exchange.stream.Read(
      {bytes.data(), static_cast<std::size_t>(bytes.size())});
  exchange.next += batch.tokens.size();
  const std::string fault = exchange.stream.fault();
  const bool failed = exchange.stream.failed();
  for (int i = 0; i < batch.preemptions && on_preempted; ++i) {
    on_preempted(local_id);
  }
  if (!batch.tokens.empty() && on_tokens) {
    on_tokens(local_id, first, batch.tokens);
  }
  if (fault.empty() && !failed) return;
  // The owner may have replaced or cancelled the exchange meanwhile.
  const auto current = exchanges_.find(local_id);
  if (current == exchanges_.end() || current->second.reply != reply) return;
  Abort(local_id);
  if (failed) {
    on_completed(
        local_id,
        Outcome::Ran(ResultCode::kBackendServerError,
                     "backend server reported an error in its stream"));
    return;
  }
  on_broken(local_id, "backend server: " + fault);
}

void BackendClient::OnReplyFinished(execution::LocalId local_id,
                                    QNetworkReply* reply) {
  reply->deleteLater();
  const auto found = exchanges_.find(local_id);
  if (found == exchanges_.end() || found->second.reply != reply) return;
  ReadEvents(local_id);
  const auto remaining = exchanges_.find(local_id);
  if (remaining == exchanges_.end()) return;
  const Exchange exchange = std::move(remaining->second);
  if (exchange.manager != nullptr) --streams_per_manager_[exchange.manager];
  exchanges_.erase(remaining);
  FinishStream(local_id, exchange, reply);
}

void BackendClient::FinishCall(execution::LocalId local_id,
                               HttpCaller::Response response) {
  const std::string reason = "backend server: " + response.reason;
  switch (response.end) {
    case HttpCaller::End::kNotSent:
      on_not_sent(local_id, reason);
      return;
    case HttpCaller::End::kBroken:
      on_broken(local_id, reason);
      return;
    case HttpCaller::End::kComplete:
      break;
  }
  Outcome outcome;
  outcome.run_state = RunState::kRan;
  outcome.http_status = response.status;
  outcome.content_type = std::move(response.content_type);
  outcome.body = std::move(response.body);
  on_completed(local_id, std::move(outcome));
}

void BackendClient::FinishStream(execution::LocalId local_id,
                                 const Exchange& exchange,
                                 QNetworkReply* reply) {
  const int status = StatusOf(reply);
  const std::string refusal = RefusalOf(reply);
  const std::string prefix = "backend server: ";
  if (exchange.stream.done()) {
    Outcome outcome;
    outcome.run_state = RunState::kRan;
    on_completed(local_id, std::move(outcome));
  } else if (exchange.is_resume &&
             (status == kHttpNotFound || WasNeverConnected(reply))) {
    on_resume_failed(local_id);
  } else if (WasNeverConnected(reply)) {
    on_not_sent(local_id, prefix + reply->errorString().toStdString());
  } else if (!refusal.empty() && !exchange.is_resume) {
    on_completed(local_id,
                 Outcome::Ran(ResultCode::kBackendServerError, refusal));
  } else if (!refusal.empty()) {
    on_broken(local_id, refusal);
  } else if (reply->error() != QNetworkReply::NoError) {
    on_broken(local_id, prefix + reply->errorString().toStdString());
  } else {
    on_broken(local_id, prefix + (exchange.stream.IsInsideEvent()
                                      ? "the stream ended in an event"
                                      : "the stream ended without [DONE]"));
  }
}

void BackendClient::Abort(execution::LocalId local_id) {
  const auto found = exchanges_.find(local_id);
  if (found == exchanges_.end()) return;
  const Exchange exchange = std::move(found->second);
  exchanges_.erase(found);
  if (exchange.manager != nullptr) --streams_per_manager_[exchange.manager];
  if (!exchange.reply) return;
  exchange.reply->disconnect(this);
  exchange.reply->abort();
  exchange.reply->deleteLater();
}

}  // namespace balsam::backend
