// HTTP towards the backend server, by Qt network access.
#include "libraries/backend/backend_client.h"

#include <QNetworkReply>
#include <QNetworkRequest>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "libraries/backend/one_shot_body.h"

namespace balsam::backend {
namespace {

using nlohmann::json;

constexpr int kConnectionsPerManager = 6;
constexpr char kStreamHeader[] = "X-Stream-Id";
constexpr char kPriorityHeader[] = "X-Priority";
constexpr int kHttpOk = 200;
constexpr qsizetype kMaxLineBytes = 1 << 20;

QByteArray ToBytes(const std::string& text) {
  return {text.data(), static_cast<qsizetype>(text.size())};
}

int StatusOf(const QNetworkReply* reply) {
  return reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
}

std::string StringMember(const json& object, const char* name) {
  const auto member = object.find(name);
  const bool fits = member != object.end() && member->is_string();
  return fits ? member->get<std::string>() : std::string();
}

// The text of one event of a completion, or of a chat completion.
std::string TextOf(const json& choice) {
  const auto delta = choice.find("delta");
  if (delta != choice.end() && delta->is_object()) {
    return StringMember(*delta, "content");
  }
  return StringMember(choice, "text");
}

// No connection came about, so nothing can have been sent on it.
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
  const auto roomy = std::ranges::find_if(managers_, [this](const auto& m) {
    return load_[m.get()] < kConnectionsPerManager;
  });
  if (roomy != managers_.end()) return roomy->get();
  managers_.push_back(std::make_unique<QNetworkAccessManager>());
  managers_.back()->setAutoDeleteReplies(false);
  return managers_.back().get();
}

QNetworkRequest BackendClient::RequestFor(const QString& path,
                                          const std::string& stream,
                                          const execution::Work* work) const {
  QNetworkRequest request(settings_.base_url.resolved(QUrl(path)));
  request.setRawHeader(kStreamHeader, ToBytes(stream));
  request.setTransferTimeout(static_cast<int>(settings_.silence_limit.count()));
  request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                       QNetworkRequest::ManualRedirectPolicy);
  if (work == nullptr) return request;
  request.setHeader(QNetworkRequest::ContentTypeHeader,
                    ToBytes(work->content_type));
  request.setRawHeader(kPriorityHeader, QByteArray::number(work->priority));
  return request;
}

QNetworkReply* BackendClient::SendOnce(QNetworkAccessManager* manager,
                                       QNetworkRequest request,
                                       const std::string& method,
                                       const std::string& body) {
  request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
  request.setHeader(QNetworkRequest::ContentLengthHeader,
                    static_cast<qint64>(body.size()));
  // A kept connection may have gone silent, so each request opens its own.
  request.setRawHeader("Connection", "close");
  auto* content = new OneShotBody(ToBytes(body));
  QNetworkReply* reply =
      manager->sendCustomRequest(request, ToBytes(method), content);
  content->setParent(reply);
  return reply;
}

void BackendClient::StartGeneration(execution::Counter counter,
                                    const std::string& stream,
                                    const execution::Work& work) {
  QNetworkAccessManager* manager = ManagerForStream();
  QNetworkReply* reply = SendOnce(
      manager, RequestFor(QString::fromStdString(work.path), stream, &work),
      work.method, work.body);
  Exchange exchange;
  exchange.reply = reply;
  exchange.manager = manager;
  Track(counter, std::move(exchange));
}

void BackendClient::ResumeGeneration(execution::Counter counter,
                                     const std::string& stream,
                                     std::uint64_t first) {
  Forget(counter);
  QNetworkAccessManager* manager = ManagerForStream();
  const QString path = QString("/v1/streams/%1?from=%2")
                           .arg(QString::fromStdString(stream))
                           .arg(first);
  Exchange exchange;
  exchange.reply = manager->get(RequestFor(path, stream, nullptr));
  exchange.manager = manager;
  exchange.is_resume = true;
  exchange.next = first;
  Track(counter, std::move(exchange));
}

void BackendClient::CancelGeneration(execution::Counter counter,
                                     const std::string& stream) {
  Forget(counter);
  const QString path =
      QString("/v1/streams/%1").arg(QString::fromStdString(stream));
  QNetworkReply* reply =
      control_.deleteResource(RequestFor(path, stream, nullptr));
  connect(reply, &QNetworkReply::finished, reply, &QObject::deleteLater);
}

void BackendClient::StartCall(execution::Counter counter,
                              const std::string& stream,
                              const execution::Work& work) {
  QNetworkReply* reply = SendOnce(
      &calls_, RequestFor(QString::fromStdString(work.path), stream, &work),
      work.method, work.body);
  Exchange exchange;
  exchange.reply = reply;
  exchange.is_call = true;
  Track(counter, std::move(exchange));
}

void BackendClient::Track(execution::Counter counter, Exchange exchange) {
  QNetworkReply* reply = exchange.reply;
  if (exchange.manager != nullptr) ++load_[exchange.manager];
  const bool is_call = exchange.is_call;
  exchanges_[counter] = std::move(exchange);
  if (!is_call) {
    connect(reply, &QNetworkReply::readyRead, this,
            [this, counter] { ReadEvents(counter); });
  }
  connect(reply, &QNetworkReply::finished, this,
          [this, counter, reply] { OnReplyFinished(counter, reply); });
}

void BackendClient::ReadEvents(execution::Counter counter) {
  const auto found = exchanges_.find(counter);
  if (found == exchanges_.end() || !found->second.reply) return;
  Exchange& exchange = found->second;
  if (StatusOf(exchange.reply) != kHttpOk) return;
  exchange.input += exchange.reply->readAll();
  const std::uint64_t first = exchange.next;
  std::vector<std::string> tokens;
  qsizetype start = 0;
  for (qsizetype end = exchange.input.indexOf('\n'); end >= 0;
       end = exchange.input.indexOf('\n', start)) {
    TakeEvent(counter, exchange, exchange.input.mid(start, end - start),
              tokens);
    start = end + 1;
  }
  exchange.input.remove(0, start);
  if (exchange.input.size() > kMaxLineBytes) exchange.reply->abort();
  if (!tokens.empty() && on_tokens) on_tokens(counter, first, tokens);
}

void BackendClient::TakeEvent(execution::Counter counter, Exchange& exchange,
                              const QByteArray& line,
                              std::vector<std::string>& tokens) {
  if (!line.startsWith("data: ")) return;
  const QByteArrayView data = QByteArrayView(line).sliced(6).trimmed();
  if (data == QByteArrayView("[DONE]")) {
    exchange.ended_in_order = true;
    return;
  }
  const json event = json::parse(data.begin(), data.end(), nullptr,
                                 /*allow_exceptions=*/false);
  if (!event.is_object()) return;
  if (event.contains("preempted")) {
    if (on_preempted) on_preempted(counter);
    return;
  }
  const auto choices = event.find("choices");
  if (choices == event.end() || !choices->is_array() || choices->empty()) {
    return;
  }
  const json& choice = choices->front();
  if (!choice.is_object()) return;
  std::string text = TextOf(choice);
  if (text.empty()) return;
  tokens.push_back(std::move(text));
  ++exchange.next;
}

void BackendClient::OnReplyFinished(execution::Counter counter,
                                    QNetworkReply* reply) {
  reply->deleteLater();
  const auto found = exchanges_.find(counter);
  if (found == exchanges_.end() || found->second.reply != reply) return;
  if (!found->second.is_call) ReadEvents(counter);
  const auto again = exchanges_.find(counter);
  if (again == exchanges_.end()) return;
  const Exchange exchange = std::move(again->second);
  if (exchange.manager != nullptr) --load_[exchange.manager];
  exchanges_.erase(again);
  if (exchange.is_call) {
    FinishCall(counter, reply);
  } else {
    FinishStream(counter, exchange, reply);
  }
}

void BackendClient::FinishCall(execution::Counter counter,
                               QNetworkReply* reply) {
  const std::string reason = reply->errorString().toStdString();
  const int status = StatusOf(reply);
  if (status == 0) {
    if (WasNeverConnected(reply)) {
      on_not_sent(counter, "backend server: " + reason);
    } else {
      on_broken(counter, "backend server: " + reason);
    }
    return;
  }
  // A status without the whole body is an answer that was cut off.
  const bool cut = reply->error() == QNetworkReply::RemoteHostClosedError ||
                   reply->error() == QNetworkReply::OperationCanceledError;
  if (cut) {
    on_broken(counter, "backend server: " + reason);
    return;
  }
  Outcome outcome;
  outcome.run_state = RunState::kRan;
  outcome.http_status = status;
  outcome.content_type = reply->header(QNetworkRequest::ContentTypeHeader)
                             .toString()
                             .toStdString();
  outcome.body = reply->readAll().toStdString();
  on_completed(counter, std::move(outcome));
}

void BackendClient::FinishStream(execution::Counter counter,
                                 const Exchange& exchange,
                                 QNetworkReply* reply) {
  const std::string reason = reply->errorString().toStdString();
  const int status = StatusOf(reply);
  if (exchange.ended_in_order) {
    Outcome outcome;
    outcome.run_state = RunState::kRan;
    on_completed(counter, std::move(outcome));
  } else if (exchange.is_resume &&
             (status >= 400 || WasNeverConnected(reply))) {
    on_resume_failed(counter);
  } else if (WasNeverConnected(reply)) {
    on_not_sent(counter, "backend server: " + reason);
  } else if (status >= 400) {
    on_completed(counter, Outcome::Ran(ResultCode::kBackendServerError,
                                       "backend server answered HTTP status " +
                                           std::to_string(status)));
  } else {
    on_broken(counter, "backend server: " + reason);
  }
}

void BackendClient::Forget(execution::Counter counter) {
  const auto found = exchanges_.find(counter);
  if (found == exchanges_.end()) return;
  const Exchange exchange = std::move(found->second);
  exchanges_.erase(found);
  if (exchange.manager != nullptr) --load_[exchange.manager];
  if (!exchange.reply) return;
  exchange.reply->disconnect(this);
  exchange.reply->abort();
  exchange.reply->deleteLater();
}

}  // namespace balsam::backend
