// Routes of the operator port on QHttpServer.
#include "libraries/http/operator_server.h"

#include <QHostAddress>
#include <QHttpServerResponse>
#include <algorithm>
#include <utility>

#include "libraries/base/constant_time.h"

namespace balsam::http {
namespace {

using Status = QHttpServerResponder::StatusCode;

QHttpServerResponse JsonResponse(const nlohmann::json& body,
                                 Status status = Status::Ok) {
  return {"application/json", QByteArray::fromStdString(body.dump() + "\n"),
          status};
}

}  // namespace

std::string HeaderValue(const QHttpServerRequest& request,
                        QByteArrayView name) {
  const auto headers = request.headers();
  const auto found = std::ranges::find_if(headers, [name](const auto& header) {
    return header.first.compare(name, Qt::CaseInsensitive) == 0;
  });
  return found == headers.end() ? std::string() : found->second.toStdString();
}

std::string BearerToken(const QHttpServerRequest& request) {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string header = HeaderValue(request, "authorization");
  if (!header.starts_with(kScheme)) return {};
  return header.substr(kScheme.size());
}

OperatorServer::OperatorServer(std::string operator_key, QObject* parent)
    : QObject(parent), operator_key_(std::move(operator_key)) {}

bool OperatorServer::IsAuthorized(const QHttpServerRequest& request) const {
  return EqualInConstantTime(BearerToken(request), operator_key_);
}

void OperatorServer::Route(
    const QString& path, QHttpServerRequest::Method method,
    std::function<nlohmann::json(const QHttpServerRequest&)> handler) {
  server_.route(path, method,
                [this, handler = std::move(handler)](
                    const QHttpServerRequest& request) -> QHttpServerResponse {
                  if (!IsAuthorized(request)) {
                    return JsonResponse({{"error", "operator key required"}},
                                        Status::Unauthorized);
                  }
                  return JsonResponse(handler(request));
                });
}

Result<void> OperatorServer::Listen(const settings::Listener& listener) {
  using Method = QHttpServerRequest::Method;
  server_.route("/healthz", Method::Get, [] {
    return JsonResponse({{"healthy", true}});
  });
  server_.route("/readyz", Method::Get, [this] {
    const bool ready = is_ready();
    return JsonResponse({{"ready", ready}},
                        ready ? Status::Ok : Status::ServiceUnavailable);
  });
  server_.route(
      "/metrics", Method::Get, [this](const QHttpServerRequest& request) {
        if (!IsAuthorized(request)) {
          return QHttpServerResponse(Status::Unauthorized);
        }
        return QHttpServerResponse("text/plain; version=0.0.4",
                                   QByteArray::fromStdString(metrics()));
      });
  Route("/status", Method::Get,
        [this](const QHttpServerRequest&) { return status(); });
  Route("/explain", Method::Get, [this](const QHttpServerRequest& request) {
    return explain(request.query().queryItemValue("request").toStdString());
  });
  Route("/drain", Method::Post, [this](const QHttpServerRequest&) {
    drain();
    return nlohmann::json{{"draining", true}};
  });
  port_ = server_.listen(QHostAddress(QString::fromStdString(listener.address)),
                         listener.port);
  if (port_ == 0) {
    return Fail(ResultCode::kInvalidSettings,
                "cannot listen for operators on " + listener.address + ":" +
                    std::to_string(listener.port));
  }
  return {};
}

}  // namespace balsam::http
