// Forwards or discards the bytes of connections.
#include "tests/processes/forwarder.h"

#include <QHostAddress>

namespace balsam::processes {

Forwarder::Forwarder(std::uint16_t target) : target_(target) {
  server_.listen(QHostAddress::LocalHost);
  connect(&server_, &QTcpServer::newConnection, this, [this] { Accept(); });
}

Forwarder::~Forwarder() {
  const auto open = open_;
  for (QTcpSocket* socket : open) socket->disconnect(this);
}

void Forwarder::BlackholeOpenConnections() { blackholed_ = open_; }

void Forwarder::Accept() {
  while (QTcpSocket* client = server_.nextPendingConnection()) {
    auto* target = new QTcpSocket(client);
    open_.insert(client);
    open_.insert(target);
    if (blackhole_) {
      blackholed_.insert(client);
      blackholed_.insert(target);
    }
    Connect(client, target);
    Connect(target, client);
    target->connectToHost(QHostAddress::LocalHost, target_);
  }
}

void Forwarder::Connect(QTcpSocket* from, QTcpSocket* to) {
  connect(from, &QTcpSocket::readyRead, this, [this, from, to] {
    const QByteArray data = from->readAll();
    if (!blackhole_ && !blackholed_.contains(from)) to->write(data);
  });
  connect(from, &QTcpSocket::disconnected, this, [this, from, to] {
    open_.erase(from);
    // The end of a black-holed connection is not forwarded either.
    if (!blackholed_.erase(from)) to->disconnectFromHost();
  });
}

}  // namespace balsam::processes
