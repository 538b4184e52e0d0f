// HTTP server shared by the stand-ins, on QHttpServer.
#include "utilities/standin/http_server.h"

#include <QHostAddress>
#include <utility>

#include "libraries/http/operator_server.h"

namespace balsam::standin {
namespace {

std::string ToMethodName(QHttpServerRequest::Method method) {
  using Method = QHttpServerRequest::Method;
  if (method == Method::Get) return "GET";
  if (method == Method::Put) return "PUT";
  if (method == Method::Delete) return "DELETE";
  return "POST";
}

}  // namespace

DeferredResponse::DeferredResponse(QHttpServerResponder&& responder)
    : responder_(std::make_unique<QHttpServerResponder>(std::move(responder))),
      socket_(responder_->socket()) {}

bool DeferredResponse::IsOpen() const {
  return responder_ != nullptr && socket_ &&
         socket_->state() == QAbstractSocket::ConnectedState;
}

void DeferredResponse::Send(int status, const std::string& body,
                            const std::string& content_type) {
  if (IsOpen()) {
    responder_->writeStatusLine(
        static_cast<QHttpServerResponder::StatusCode>(status));
    responder_->writeHeader("Content-Type",
                            QByteArray::fromStdString(content_type));
    responder_->writeHeader(
        "Content-Length",
        QByteArray::number(static_cast<qsizetype>(body.size())));
    responder_->writeBody(QByteArray::fromStdString(body));
  }
  responder_.reset();
}

void DeferredResponse::StartEventStream() {
  if (!IsOpen()) return;
  responder_->writeStatusLine(QHttpServerResponder::StatusCode::Ok);
  responder_->writeHeader("Content-Type", "text/event-stream");
  responder_->writeHeader("Transfer-Encoding", "chunked");
  Write(": started\n\n");
}

void DeferredResponse::Write(const std::string& data) {
  if (!IsOpen()) return;
  const QByteArray bytes = QByteArray::fromStdString(data);
  responder_->writeBody(QByteArray::number(bytes.size(), 16) + "\r\n" + bytes +
                        "\r\n");
}

void DeferredResponse::End() {
  if (IsOpen()) responder_->writeBody("0\r\n\r\n");
  responder_.reset();
}

void DeferredResponse::CloseWithoutResponse() {
  if (socket_) socket_->abort();
  responder_.reset();
}

std::uint16_t ListenAndServe(
    QHttpServer& server, std::uint16_t port,
    std::function<void(const StandinHttpRequest&, DeferredResponsePtr)>
        handler) {
  server.setMissingHandler([handler = std::move(handler)](
                               const QHttpServerRequest& request,
                               QHttpServerResponder&& responder) {
    StandinHttpRequest parts;
    parts.method = ToMethodName(request.method());
    parts.path = request.url().path().toStdString();
    parts.query = request.url().query().toStdString();
    parts.body = request.body().toStdString();
    parts.header = [&request](const char* name) {
      return http::HeaderValue(request, QByteArrayView(name));
    };
    parts.parameter = [&request](const char* name) {
      return request.query().queryItemValue(name).toStdString();
    };
    handler(parts, std::make_shared<DeferredResponse>(std::move(responder)));
  });
  return server.listen(QHostAddress::LocalHost, port);
}

}  // namespace balsam::standin
