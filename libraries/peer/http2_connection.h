// One HTTP/2 connection between two of our processes: an nghttp2 session
// driven from a Qt TCP socket. It carries length-prefixed frames on streams
// and tells, for each stream that ends, whether the peer can have seen it.
#pragma once

#include <nghttp2/nghttp2.h>

#include <QByteArray>
#include <QObject>
#include <QPointer>
#include <QTcpSocket>
#include <QTimer>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace balsam::peer {

using StreamId = std::int32_t;

// How a stream ended, seen from the side that observes the end.
enum class StreamEnd {
  // The peer finished its side in order.
  kComplete,
  // The peer proved that it did not process the stream: it was never written,
  // was refused, or lies beyond the last stream that GOAWAY names.
  kNotProcessed,
  // The stream broke off; the peer may have processed it.
  kBroken,
};

struct ConnectionLimits {
  // A connection with nothing received for this long is probed by PING.
  std::chrono::milliseconds ping_after{1000};
  // A connection with nothing received for this long is given up.
  std::chrono::milliseconds silence_limit{3000};
  // The largest frame that is accepted from a peer.
  std::size_t max_frame_bytes = 4U << 20;
  // Output queued beyond this mark stays in the stream queues.
  qint64 socket_high_mark_bytes = 256 << 10;
};

class Http2Connection : public QObject {
  Q_OBJECT

 public:
  enum class Role { kClient, kServer };

  // Takes over `socket`, which may still be connecting (client) or is
  // connected (server). `peer_key` is the secret that both ends share: a server
  // refuses each stream that does not carry it.
  Http2Connection(QTcpSocket* socket, Role role, QByteArray peer_key,
                  ConnectionLimits limits, QObject* parent = nullptr);
  ~Http2Connection() override;

  bool IsOpen() const { return state_ != State::kClosed; }
  // False once the peer has announced that it takes no new streams.
  bool AcceptsNewStreams() const;
  bool IsConnected() const;
  std::size_t open_streams() const { return streams_.size(); }

  // Client: opens a stream on `path` with one request frame and closes our
  // side. The stream id is 0 if the connection takes no stream.
  StreamId StartStream(const QByteArray& path, const QByteArray& frame);

  // Server: queues one response frame; `end` closes the stream afterwards.
  void SendFrame(StreamId stream, const QByteArray& frame, bool end);

  // Server: refuses a stream, which proves to the peer that it did not run.
  void Refuse(StreamId stream);
  // Either side: abandons a stream.
  void Reset(StreamId stream);

  // Client: stops, or goes on, granting the peer room to send on a stream, so
  // that a slow reader holds its tokens back at their source.
  void PauseReading(StreamId stream, bool paused);

  // Bytes queued for one stream and not yet handed to HTTP/2.
  qsizetype QueuedBytes(StreamId stream) const;

  // Server: sends GOAWAY naming the last stream that it took; streams already
  // taken go on.
  void BeginShutdown();
  // Closes at once; every open stream ends as it stands.
  void Close(const QString& reason);
  // Closes once what was written has left.
  void CloseWhenWritten();

  // Payload bytes since the connection opened, for the cost of control.
  std::uint64_t bytes_received() const { return bytes_received_; }
  std::uint64_t bytes_sent() const { return bytes_sent_; }

  // Hooks, set by the owner before the first event.
  std::function<void(StreamId, const QByteArray& path, const QByteArray& frame)>
      on_request;
  std::function<void(StreamId, const QByteArray& frame)> on_frame;
  std::function<void(StreamId, StreamEnd)> on_stream_end;
  // The output of a stream was handed on, so there is room for more.
  std::function<void(StreamId)> on_drained;
  std::function<void()> on_connected;
  std::function<void(const QString& reason)> on_closed;

 private:
  enum class State { kConnecting, kOpen, kClosed };

  struct Stream {
    QByteArray path;
    QByteArray input;
    QByteArray output;
    // Whether HEADERS may have been handed to the socket: before that, the
    // peer cannot have seen the stream.
    bool written = false;
    bool end_queued = false;
    bool deferred = false;
    bool remote_ended = false;
    bool request_delivered = false;
    bool response_started = false;
    bool authorized = false;
    bool paused = false;
    // Received bytes for which no new room was granted yet.
    std::size_t ungranted_bytes = 0;
  };

  // The nghttp2 callbacks, which need access to the members above.
  struct Callbacks;
  friend struct Callbacks;

  void OpenSession();
  void ReadSocket();
  void WriteSocket();
  void CheckSilence();
  void TakeFrames(StreamId id, Stream& stream);
  void DeliverRequest(StreamId id, Stream& stream);
  void EndStream(StreamId id, std::uint32_t error_code);
  void ScheduleWrite();
  void AnnounceDrained(StreamId id);

  QPointer<QTcpSocket> socket_;
  Role role_;
  QByteArray peer_key_;
  ConnectionLimits limits_;
  State state_ = State::kConnecting;
  nghttp2_session* session_ = nullptr;
  std::map<StreamId, Stream> streams_;
  QTimer silence_timer_;
  // Timer ticks since anything was received. Ticks do not pile up while this
  // process is stopped, so waking late does not make the peer look silent.
  int silent_ticks_ = 0;
  bool ping_outstanding_ = false;
  bool goaway_received_ = false;
  bool write_scheduled_ = false;
  bool in_session_ = false;
  std::uint64_t bytes_received_ = 0;
  std::uint64_t bytes_sent_ = 0;
};

}  // namespace balsam::peer
