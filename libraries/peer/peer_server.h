// The server side of peer connections: accepts them on one address and passes
// each decoded request to the owner, with a handle for the replies.
#pragma once

#include <QByteArray>
#include <QHostAddress>
#include <QObject>
#include <QPointer>
#include <QTcpServer>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "libraries/peer/http2_connection.h"
#include "libraries/peer/messages.h"

namespace balsam::peer {

// The stream of one request from a peer. Copies refer to the same stream. Calls
// have no effect once the stream has ended.
class ServerStream {
 public:
  ServerStream() = default;
  ServerStream(Http2Connection* connection, StreamId id)
      : connection_(connection), id_(id) {}

  void Send(const Message& message, bool end) const;
  // Resets the stream in a way that tells the peer that the request was not
  // processed.
  void Refuse() const;
  qsizetype QueuedBytes() const;
  bool operator<(const ServerStream& other) const;

 private:
  QPointer<Http2Connection> connection_;
  StreamId id_ = 0;
};

class PeerServer : public QObject {
  Q_OBJECT

 public:
  PeerServer(QByteArray peer_key, ConnectionLimits limits,
             QObject* parent = nullptr);

  // Fails with kInvalidSettings if the address cannot be listened on.
  Result<void> Listen(const QHostAddress& address, std::uint16_t port);
  std::uint16_t port() const { return listener_.serverPort(); }

  // Announces to every peer that no new streams are accepted; open streams
  // continue.
  void BeginShutdown();
  // Accepts no more connections.
  void StopListening() { listener_.close(); }
  std::size_t open_streams() const;
  // Bytes sent and received on all connections.
  std::uint64_t bytes() const;

  std::function<void(const ServerStream&, const Message&)> on_request;
  // `cancelled_by_peer` is true if the peer reset the stream while the
  // connection stays open.
  std::function<void(const ServerStream&, bool cancelled_by_peer)> on_end;
  std::function<void(const ServerStream&)> on_drained;

 private:
  void Accept();
  void OnRequest(Http2Connection* connection, StreamId id,
                 const QByteArray& frame);

  QByteArray peer_key_;
  ConnectionLimits limits_;
  QTcpServer listener_;
  std::set<Http2Connection*> connections_;
  bool shutting_down_ = false;
  std::uint64_t closed_connection_bytes_ = 0;
};

}  // namespace balsam::peer
