// The client side of the connection to one peer. The connection is opened on
// demand and replaced when it breaks or times out.
#pragma once

#include <QByteArray>
#include <QHostAddress>
#include <QObject>
#include <QTimer>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "libraries/peer/http2_connection.h"
#include "libraries/peer/messages.h"

namespace balsam::peer {

struct PeerAddress {
  QHostAddress host;
  std::uint16_t port = 0;

  bool operator==(const PeerAddress&) const = default;
};

// Identifies a stream of a link across all of its connections; zero means none.
using LinkStream = std::uint64_t;

class PeerLink : public QObject {
  Q_OBJECT

 public:
  struct Handlers {
    std::function<void(const Message&)> on_message;
    // Called once, after all messages. A message that cannot be decoded ends
    // the stream as kBroken.
    std::function<void(StreamEnd)> on_end;
  };

  PeerLink(PeerAddress address, QByteArray peer_key, ConnectionLimits limits,
           QObject* parent = nullptr);
  ~PeerLink() override;

  // Sends `request` on a new stream, once the connection is established. If
  // connecting fails, the stream ends as kNotProcessed.
  LinkStream Open(const char* path, const Message& request, Handlers handlers);
  // Cancels a stream; its handlers are not called again.
  void Cancel(LinkStream stream);
  void PauseReading(LinkStream stream, bool paused);

  const PeerAddress& address() const { return address_; }
  bool IsConnected() const;
  // True if the peer is shutting down or the last connection to it failed.
  // Reconnection is attempted in the background, so requests need not be spent
  // on testing the peer.
  bool ShouldAvoid() const;
  std::size_t open_streams() const { return streams_.size(); }
  // Bytes sent and received on all connections.
  std::uint64_t bytes() const;

  // Called when a connection is established.
  std::function<void()> on_connected;

 private:
  struct PendingRequest {
    LinkStream stream = 0;
    QByteArray path;
    QByteArray frame;
  };
  struct OpenStream {
    Handlers handlers;
    // Zero while the stream waits for a connection.
    StreamId id = 0;
    // Number of the connection that carries the stream.
    std::uint64_t connection = 0;
  };

  void Connect();
  void SendPending();
  void OnFrame(std::uint64_t connection, StreamId id, const QByteArray& frame);
  void OnStreamEnd(std::uint64_t connection, StreamId id, StreamEnd end);
  void OnClosed(std::uint64_t connection);
  void EndStream(LinkStream stream, StreamEnd end);
  std::optional<LinkStream> FindStream(std::uint64_t connection,
                                       StreamId id) const;

  PeerAddress address_;
  QByteArray peer_key_;
  ConnectionLimits limits_;
  // The connection for new streams. Older connections whose peer is shutting
  // down remain in `connections_` until their streams have finished.
  Http2Connection* connection_ = nullptr;
  std::uint64_t connection_number_ = 0;
  std::map<std::uint64_t, Http2Connection*> connections_;
  std::vector<PendingRequest> pending_requests_;
  std::map<LinkStream, OpenStream> streams_;
  std::map<std::pair<std::uint64_t, StreamId>, LinkStream> streams_by_id_;
  LinkStream next_stream_ = 1;
  // The last connection was closed or could not be established.
  bool last_connection_failed_ = false;
  QTimer reconnect_timer_;
  std::chrono::milliseconds reconnect_delay_;
  std::uint64_t closed_connection_bytes_ = 0;
};

}  // namespace balsam::peer
