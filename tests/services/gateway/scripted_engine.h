// An engine that responds as scripted by a test, on its own port.
#pragma once

#include <QTcpServer>
#include <QTcpSocket>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace balsam::gateway {

class ScriptedEngine : public QObject {
 public:
  struct Request {
    QTcpSocket* socket = nullptr;
    // The raw bytes of the request head.
    std::string head;
    // What arrived together with the head; short bodies do.
    std::string body;
    bool IsTo(const std::string& path) const {
      return head.find(' ' + path) != std::string::npos;
    }
  };

  ScriptedEngine() {
    server_.listen(QHostAddress::LocalHost);
    QObject::connect(&server_, &QTcpServer::newConnection, this, [this] {
      QTcpSocket* socket = server_.nextPendingConnection();
      QObject::connect(socket, &QTcpSocket::readyRead, this,
                       [this, socket] { OnReadable(socket); });
      if (on_connection) on_connection(socket);
    });
  }

  // Ends as a process does that crashes: nothing listens any more, and all
  // connections are closed behind what was written to them.
  void Crash() {
    port_ = port();
    server_.close();
    for (QTcpSocket* socket : server_.findChildren<QTcpSocket*>()) {
      socket->flush();
      socket->disconnectFromHost();
    }
  }
  // Listens again at the same port.
  void Restart() {
    if (!server_.isListening()) server_.listen(QHostAddress::LocalHost, port_);
  }

  // Called for each new connection.
  std::function<void(QTcpSocket*)> on_connection;
  // Called for each request once its head has arrived.
  std::function<void(const Request&)> on_request;
  std::uint16_t port() const {
    return server_.isListening() ? server_.serverPort() : port_;
  }
  std::vector<std::string> heads;

 private:
  void OnReadable(QTcpSocket* socket) {
    const std::string bytes = socket->readAll().toStdString();
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string::npos) return;
    heads.push_back(bytes.substr(0, end));
    if (on_request) on_request({socket, heads.back(), bytes.substr(end + 4)});
  }

  QTcpServer server_;
  // Where it listened before it crashed.
  std::uint16_t port_ = 0;
};

}  // namespace balsam::gateway
