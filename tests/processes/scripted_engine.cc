// Reads requests and writes the scripted responses.
#include "tests/processes/scripted_engine.h"

#include <sys/socket.h>

#include <QHostAddress>
#include <QTcpSocket>
#include <QUrl>
#include <QUrlQuery>
#include <utility>

namespace balsam::processes {
namespace {

constexpr int kHttpOk = 200;

// Returns the request at the start of `received`, or a request without a method
// if it is not complete.
ScriptedRequest ParseRequest(const QByteArray& received) {
  ScriptedRequest request;
  const qsizetype head_end = received.indexOf("\r\n\r\n");
  if (head_end < 0) return request;
  const QByteArray head = received.left(head_end).toLower();
  const QByteArray length_name = "content-length:";
  const qsizetype length_at = head.indexOf(length_name);
  if (length_at >= 0) {
    const qsizetype begin = length_at + length_name.size();
    const qsizetype length =
        head.mid(begin, head.indexOf('\r', begin) - begin).trimmed().toInt();
    if (received.size() < head_end + 4 + length) return request;
  }
  const QList<QByteArray> words =
      received.left(received.indexOf('\r')).split(' ');
  if (words.size() < 2) return request;
  const QUrl url(QString::fromLatin1(words[1]));
  request.method = words[0];
  request.path = url.path().toLatin1();
  request.from = QUrlQuery(url).queryItemValue("from").toInt();
  request.is_resume =
      request.method == "GET" && request.path.startsWith("/v1/streams/");
  return request;
}

}  // namespace

ScriptedEngine::ScriptedEngine(
    std::function<ScriptedResponse(const ScriptedRequest&)> respond)
    : respond_(std::move(respond)) {
  server_.listen(QHostAddress::LocalHost);
  connect(&server_, &QTcpServer::newConnection, this, [this] { Accept(); });
}

ScriptedEngine::~ScriptedEngine() {
  for (const auto& [socket, bytes] : received_) socket->disconnect(this);
}

void ScriptedEngine::Accept() {
  while (QTcpSocket* socket = server_.nextPendingConnection()) {
    received_[socket] = {};
    connect(socket, &QTcpSocket::readyRead, this,
            [this, socket] { Read(socket); });
    connect(socket, &QTcpSocket::disconnected, this, [this, socket] {
      received_.erase(socket);
      socket->deleteLater();
    });
  }
}

void ScriptedEngine::Read(QTcpSocket* socket) {
  QByteArray& received = received_[socket];
  received += socket->readAll();
  const ScriptedRequest request = ParseRequest(received);
  if (request.method.isEmpty()) return;
  received.clear();
  const ScriptedResponse response = Respond(request);
  socket->write(response.bytes);
  if (response.end == ConnectionEnd::kStaysOpen) return;
  if (response.end == ConnectionEnd::kOrderly) {
    socket->disconnectFromHost();
    return;
  }
  // Lingering for no time turns the close into a reset. The bytes have to have
  // left the process before.
  while (socket->bytesToWrite() > 0 && socket->waitForBytesWritten(1000)) {
  }
  const linger none{1, 0};
  setsockopt(static_cast<int>(socket->socketDescriptor()), SOL_SOCKET,
             SO_LINGER, &none, sizeof(none));
  socket->abort();
}

ScriptedResponse ScriptedEngine::Respond(const ScriptedRequest& request) {
  if (request.is_resume) {
    ++resumed_;
    return respond_(request);
  }
  if (request.method == "POST" && request.path.startsWith("/v1/")) {
    ++started_;
    return respond_(request);
  }
  return {FullResponse(kHttpOk, "application/json", "{}")};
}

QByteArray EventStreamHead() {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
         "Connection: close\r\n\r\n";
}

QByteArray TokenEvents(int first, int count) {
  QByteArray events;
  for (int i = first; i < first + count; ++i) {
    events += "data: {\"choices\":[{\"index\":0,\"text\":\" t" +
              QByteArray::number(i) + "\"}]}\n\n";
  }
  return events;
}

QByteArray FullResponse(int status, const QByteArray& content_type,
                        const QByteArray& body) {
  return "HTTP/1.1 " + QByteArray::number(status) +
         " Status\r\nContent-Type: " + content_type +
         "\r\nContent-Length: " + QByteArray::number(body.size()) +
         "\r\nConnection: close\r\n\r\n" + body;
}

}  // namespace balsam::processes
