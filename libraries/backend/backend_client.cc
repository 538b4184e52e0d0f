// HTTP requests to the backend server, and the events of its streams.
#include "libraries/backend/backend_client.h"

#include <QTimer>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <utility>

#include "libraries/base/log_event.h"

namespace balsam::backend {
namespace {

using http::HttpCaller;

constexpr std::size_t kMaxCancelCalls = 4;
constexpr std::chrono::milliseconds kCancelInterval{250};
constexpr char kStreamHeader[] = "X-Stream-Id: ";
constexpr char kPriorityHeader[] = "X-Priority: ";
constexpr char kContentType[] = "Content-Type";
// Of the response to a call.
constexpr std::size_t kMaxBodyBytes = 4 << 20;
constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;

bool IsEventStream(const http1::ResponseHead& head) {
  const std::string* value = head.fields.Find(kContentType);
  if (value == nullptr) return false;
  const std::string type =
      boost::algorithm::trim_copy(value->substr(0, value->find(';')));
  return boost::algorithm::iequals(type, "text/event-stream");
}

// Returns why a response is no stream of events; empty if it is one, or if
// there is no response.
std::string RefusalOf(const http1::ResponseHead& head) {
  if (head.status == 0) return {};
  if (head.status != kHttpOk) {
    return "backend server returned HTTP status " + std::to_string(head.status);
  }
  if (IsEventStream(head)) return {};
  return "backend server returned something else than an event stream";
}

}  // namespace

BackendClient::BackendClient(BackendSettings settings, QObject* parent)
    : QObject(parent), settings_(std::move(settings)) {}

HttpCaller::Request BackendClient::RequestFor(const std::string& method,
                                              const QString& path,
                                              const std::string& stream) const {
  HttpCaller::Request request;
  request.url =
      settings_.base_url.resolved(QUrl(path)).toEncoded().toStdString();
  request.method = method;
  request.fields = {kStreamHeader + stream, "Connection: close"};
  request.silence_limit = settings_.silence_limit;
  return request;
}

HttpCaller::Request BackendClient::RequestFor(const execution::WorkItem& work,
                                              const std::string& stream) const {
  HttpCaller::Request request =
      RequestFor(work.method, QString::fromStdString(work.path), stream);
  request.fields.push_back(kPriorityHeader + std::to_string(work.priority));
  request.fields.push_back(std::string(kContentType) + ": " +
                           work.content_type);
  request.body = work.body;
  request.max_body_bytes = kMaxBodyBytes;
  return request;
}

void BackendClient::StartGeneration(execution::LocalId local_id,
                                    const std::string& stream,
                                    const execution::WorkItem& work) {
  Track(local_id, RequestFor(work, stream), {});
}

void BackendClient::ResumeGeneration(execution::LocalId local_id,
                                     const std::string& stream,
                                     std::uint64_t first,
                                     std::vector<std::string> repeated) {
  Abort(local_id);
  const QString path = QString("/v1/streams/%1?from=%2")
                           .arg(QString::fromStdString(stream))
                           .arg(first - repeated.size());
  Exchange exchange;
  exchange.stream = EngineStream(std::move(repeated));
  exchange.is_resume = true;
  exchange.next = first;
  Track(local_id, RequestFor("GET", path, stream), std::move(exchange));
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
  caller_.Send(
      RequestFor("DELETE", path, stream),
      [this, stream, calls_left](const HttpCaller::Response& response) {
        const bool is_answered = response.end == HttpCaller::End::kComplete;
        const int status = response.head.status;
        // An engine that does not know the stream, or is gone, does not run it.
        const bool is_cancelled = response.end == HttpCaller::End::kNotSent ||
                                  (is_answered && (http1::IsSuccess(status) ||
                                                   status == kHttpNotFound));
        if (is_cancelled) return;
        LogEvent("engine_cancel_failed", LogEvent::Level::kWarning)
            .With("generation", stream)
            .With("reason", is_answered
                                ? "HTTP status " + std::to_string(status)
                                : response.reason)
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
  caller_.Send(RequestFor(work, stream),
               [this, local_id](HttpCaller::Response response) {
                 FinishCall(local_id, std::move(response));
               });
}

void BackendClient::Track(execution::LocalId local_id,
                          HttpCaller::Request request, Exchange exchange) {
  request.on_body = [this, local_id](const http1::ResponseHead& head,
                                     std::string_view bytes) {
    if (RefusalOf(head).empty()) {
      ReadEvents(local_id, bytes);
    } else {
      OnStreamRefused(local_id, head);
    }
  };
  exchange.call =
      caller_.Send(std::move(request),
                   [this, local_id](const HttpCaller::Response& response) {
                     OnStreamEnded(local_id, response);
                   });
  exchanges_[local_id] = std::move(exchange);
}

void BackendClient::ReadEvents(execution::LocalId local_id,
                               std::string_view bytes) {
  const auto found = exchanges_.find(local_id);
  if (found == exchanges_.end()) return;
  Exchange& exchange = found->second;
  const HttpCaller::Id call = exchange.call;
  const std::uint64_t first = exchange.next;
  const EngineStream::Batch batch = exchange.stream.Read(bytes);
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
  if (current == exchanges_.end() || current->second.call != call) return;
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
  outcome.http_status = response.head.status;
  const std::string* content_type = response.head.fields.Find(kContentType);
  if (content_type != nullptr) outcome.content_type = *content_type;
  outcome.body = std::move(response.body);
  on_completed(local_id, std::move(outcome));
}

void BackendClient::OnStreamRefused(execution::LocalId local_id,
                                    const http1::ResponseHead& head) {
  const auto found = exchanges_.find(local_id);
  if (found == exchanges_.end()) return;
  // The rest of the body is of no use, and may not end.
  caller_.Abort(found->second.call);
  HttpCaller::Response response;
  response.head = head;
  OnStreamEnded(local_id, response);
}

void BackendClient::OnStreamEnded(execution::LocalId local_id,
                                  const HttpCaller::Response& response) {
  const auto found = exchanges_.find(local_id);
  if (found == exchanges_.end()) return;
  const Exchange exchange = std::move(found->second);
  exchanges_.erase(found);
  const std::string refusal = RefusalOf(response.head);
  const std::string prefix = "backend server: ";
  const bool was_never_sent = response.end == HttpCaller::End::kNotSent;
  if (exchange.stream.done()) {
    Outcome outcome;
    outcome.run_state = RunState::kRan;
    on_completed(local_id, std::move(outcome));
  } else if (exchange.is_resume &&
             (response.head.status == kHttpNotFound || was_never_sent)) {
    on_resume_failed(local_id);
  } else if (was_never_sent) {
    on_not_sent(local_id, prefix + response.reason);
  } else if (!refusal.empty() && !exchange.is_resume) {
    on_completed(local_id,
                 Outcome::Ran(ResultCode::kBackendServerError, refusal));
  } else if (!refusal.empty()) {
    on_broken(local_id, refusal);
  } else if (response.end != HttpCaller::End::kComplete) {
    on_broken(local_id, prefix + response.reason);
  } else {
    on_broken(local_id, prefix + (exchange.stream.IsInsideEvent()
                                      ? "the stream ended in an event"
                                      : "the stream ended without [DONE]"));
  }
}

void BackendClient::Abort(execution::LocalId local_id) {
  const auto found = exchanges_.find(local_id);
  if (found == exchanges_.end()) return;
  caller_.Abort(found->second.call);
  exchanges_.erase(found);
}

}  // namespace balsam::backend
