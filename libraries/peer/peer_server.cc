// Accepts connections of peers and dispatches their requests.
#include "libraries/peer/peer_server.h"

#include <QTcpSocket>
#include <algorithm>
#include <tuple>
#include <utility>

namespace balsam::peer {

void ServerStream::Send(const Message& message, bool end) const {
  if (connection_) connection_->SendFrame(id_, Encode(message), end);
}

void ServerStream::Refuse() const {
  if (connection_) connection_->Refuse(id_);
}

qsizetype ServerStream::QueuedBytes() const {
  return connection_ ? connection_->QueuedBytes(id_) : 0;
}

bool ServerStream::operator<(const ServerStream& other) const {
  return std::tuple(connection_.data(), id_) <
         std::tuple(other.connection_.data(), other.id_);
}

PeerServer::PeerServer(QByteArray peer_key, ConnectionLimits limits,
                       QObject* parent)
    : QObject(parent), peer_key_(std::move(peer_key)), limits_(limits) {
  connect(&listener_, &QTcpServer::newConnection, this, &PeerServer::Accept);
}

Result<void> PeerServer::Listen(const QHostAddress& address,
                                std::uint16_t port) {
  if (!listener_.listen(address, port)) {
    return Fail(ResultCode::kInvalidSettings,
                "cannot listen for peers on " +
                    address.toString().toStdString() + ":" +
                    std::to_string(port) + ": " +
                    listener_.errorString().toStdString());
  }
  return {};
}

void PeerServer::Accept() {
  while (QTcpSocket* socket = listener_.nextPendingConnection()) {
    auto* connection = new Http2Connection(
        socket, Http2Connection::Role::kServer, peer_key_, limits_, this);
    connections_.insert(connection);
    connection->on_request = [this, connection](StreamId id, const QByteArray&,
                                                const QByteArray& frame) {
      OnRequest(connection, id, frame);
    };
    connection->on_stream_end = [this, connection](StreamId id, StreamEnd end) {
      const bool cancelled = end == StreamEnd::kBroken && connection->IsOpen();
      if (on_end) on_end(ServerStream(connection, id), cancelled);
    };
    connection->on_drained = [this, connection](StreamId id) {
      if (on_drained) on_drained(ServerStream(connection, id));
    };
    connection->on_closed = [this, connection](const QString&) {
      closed_connection_bytes_ +=
          connection->bytes_received() + connection->bytes_sent();
      connections_.erase(connection);
      connection->deleteLater();
    };
    if (shutting_down_) connection->BeginShutdown();
  }
}

void PeerServer::OnRequest(Http2Connection* connection, StreamId id,
                           const QByteArray& frame) {
  const auto message = DecodeIfValid(frame);
  if (!message.has_value()) {
    connection->Refuse(id);
    return;
  }
  if (on_request) on_request(ServerStream(connection, id), *message);
}

void PeerServer::BeginShutdown() {
  shutting_down_ = true;
  std::ranges::for_each(connections_, [](Http2Connection* connection) {
    connection->BeginShutdown();
  });
}

std::size_t PeerServer::open_streams() const {
  std::size_t sum = 0;
  std::ranges::for_each(connections_,
                        [&sum](const Http2Connection* connection) {
                          sum += connection->open_streams();
                        });
  return sum;
}

std::uint64_t PeerServer::bytes() const {
  std::uint64_t sum = closed_connection_bytes_;
  std::ranges::for_each(
      connections_, [&sum](const Http2Connection* connection) {
        sum += connection->bytes_received() + connection->bytes_sent();
      });
  return sum;
}

}  // namespace balsam::peer
