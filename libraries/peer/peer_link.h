// The client side of one peer: a connection that is opened when it is needed
// and replaced when it breaks or falls silent.
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

// Names one stream of a link over all of its connections; zero is none.
using LinkStream = std::uint64_t;

class PeerLink : public QObject {
  Q_OBJECT

 public:
  struct Handlers {
    std::function<void(const Message&)> on_message;
    // Called once, last. Messages that do not decode end the stream as broken.
    std::function<void(StreamEnd)> on_end;
  };

  PeerLink(PeerAddress address, QByteArray peer_key, ConnectionLimits limits,
           QObject* parent = nullptr);
  ~PeerLink() override;

  // Sends `request` on a stream of its own. It waits for the connection if
  // need be; if that fails, the stream ends as kNotProcessed.
  LinkStream Open(const char* path, const Message& request, Handlers handlers);
  // Abandons a stream; its handlers are not called again.
  void Drop(LinkStream stream);
  void PauseReading(LinkStream stream, bool paused);

  const PeerAddress& address() const { return address_; }
  bool IsConnected() const;
  // The peer is shutting down, or could not be reached lately. It is tried
  // again in the background, not with requests.
  bool IsAvoidable() const;
  std::size_t open_streams() const { return streams_.size(); }
  std::uint64_t bytes() const;

  // A connection came about.
  std::function<void()> on_connected;

 private:
  struct Pending {
    LinkStream stream = 0;
    QByteArray path;
    QByteArray frame;
  };
  struct OpenStream {
    Handlers handlers;
    // Zero while the stream waits for a connection.
    StreamId id = 0;
    // Which connection carries the stream.
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
  // The connection for new streams; older ones that are shutting down finish
  // their streams and go.
  Http2Connection* connection_ = nullptr;
  std::uint64_t connection_number_ = 0;
  std::map<std::uint64_t, Http2Connection*> connections_;
  std::vector<Pending> pending_;
  std::map<LinkStream, OpenStream> streams_;
  std::map<std::pair<std::uint64_t, StreamId>, LinkStream> by_id_;
  LinkStream next_stream_ = 1;
  // The last connection broke, or never came about.
  bool failed_ = false;
  QTimer reconnect_timer_;
  std::chrono::milliseconds backoff_;
  std::uint64_t closed_bytes_ = 0;
};

}  // namespace balsam::peer
