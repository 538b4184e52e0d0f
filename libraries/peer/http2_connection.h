// One HTTP/2 connection between two processes of a deployment: an nghttp2
// session on a Qt TCP socket. Carries length-prefixed frames on streams and
// reports, for each stream that ends, whether the peer may have processed it.
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

// How a stream ended, as seen from this side.
enum class StreamEnd {
  // The peer ended its side normally.
  kComplete,
  // The peer certainly did not process the stream: it was never sent, was
  // refused, or has a higher id than the last stream named by GOAWAY.
  kNotProcessed,
  // The stream broke off; the peer may have processed it.
  kBroken,
};

struct ConnectionLimits {
  // A PING is sent when nothing was received for this long. This time and the
  // next are five times as long while the connection has no streams.
  std::chrono::milliseconds ping_after_idle{1000};
  // The connection is closed when nothing was received for this long.
  std::chrono::milliseconds receive_timeout{3000};
  // Larger frames from the peer reset their stream.
  std::size_t max_frame_bytes = 4U << 20;
  // While the socket buffers at least this much, further output stays in the
  // queues of the streams.
  qint64 socket_high_mark_bytes = 256 << 10;
};

class Http2Connection : public QObject {
  Q_OBJECT

 public:
  enum class Role { kClient, kServer };

  // Takes ownership of `socket`, which may still be connecting (client) or is
  // connected (server). `peer_key` is a secret shared by both ends; a server
  // refuses every stream that does not carry it.
  Http2Connection(QTcpSocket* socket, Role role, QByteArray peer_key,
                  ConnectionLimits limits, QObject* parent = nullptr);
  ~Http2Connection() override;

  bool IsOpen() const { return state_ != State::kClosed; }
  // True while the session is open and the peer has not sent GOAWAY.
  bool AcceptsNewStreams() const;
  bool IsConnected() const;
  std::size_t open_streams() const { return streams_.size(); }

  // Client: opens a stream on `path`, sends one request frame and closes this
  // side. Returns 0 if the connection accepts no new streams.
  StreamId StartStream(const QByteArray& path, const QByteArray& frame);

  // Server: queues one response frame; `end` closes this side afterwards.
  void SendFrame(StreamId stream, const QByteArray& frame, bool end);

  // Server: resets a stream with REFUSED_STREAM, which tells the peer that the
  // request was not processed.
  void Refuse(StreamId stream);
  // Either side: cancels a stream.
  void Reset(StreamId stream);

  // Client: stops or resumes updating the flow-control window of a stream, so
  // that the backpressure of a slow reader reaches the sender.
  void PauseReading(StreamId stream, bool paused);

  // Bytes queued for a stream and not yet passed to nghttp2.
  qsizetype QueuedBytes(StreamId stream) const;

  // Server: sends GOAWAY with the last accepted stream; accepted streams
  // continue.
  void BeginShutdown();
  // Closes at once. Open streams end as kBroken if they were sent and as
  // kNotProcessed otherwise.
  void Close(const QString& reason);
  // Closes once the socket has sent its buffered output.
  void CloseWhenWritten();

  // TCP payload bytes since the connection opened, for measuring the control
  // traffic.
  std::uint64_t bytes_received() const { return bytes_received_; }
  std::uint64_t bytes_sent() const { return bytes_sent_; }

  // Callbacks, set by the owner before the first event.
  std::function<void(StreamId, const QByteArray& path, const QByteArray& frame)>
      on_request;
  std::function<void(StreamId, const QByteArray& frame)> on_frame;
  std::function<void(StreamId, StreamEnd)> on_stream_end;
  // The queued output of a stream was passed on, so more can be sent.
  std::function<void(StreamId)> on_drained;
  std::function<void()> on_connected;
  std::function<void(const QString& reason)> on_closed;

 private:
  enum class State { kConnecting, kOpen, kClosed };

  struct Stream {
    QByteArray path;
    QByteArray input;
    QByteArray output;
    // Whether HEADERS may have been passed to the socket. Before that, the peer
    // cannot have received the stream.
    bool headers_sent = false;
    bool end_queued = false;
    bool deferred = false;
    bool remote_ended = false;
    bool request_delivered = false;
    bool response_started = false;
    bool authorized = false;
    bool paused = false;
    // Received bytes for which the flow-control window was not updated yet.
    std::size_t unconsumed_bytes = 0;
  };

  // The nghttp2 callbacks; nested here for access to the members.
  struct Callbacks;
  friend struct Callbacks;

  void StartSession();
  void ReadSocket();
  void WriteSocket();
  void CheckIdleTime();
  void ProcessInput(StreamId id, Stream& stream);
  void DeliverRequest(StreamId id, Stream& stream);
  void EndStream(StreamId id, std::uint32_t error_code);
  void ScheduleWrite();
  void NotifyDrained(StreamId id);

  QPointer<QTcpSocket> socket_;
  Role role_;
  QByteArray peer_key_;
  ConnectionLimits limits_;
  State state_ = State::kConnecting;
  nghttp2_session* session_ = nullptr;
  std::map<StreamId, Stream> streams_;
  QTimer idle_timer_;
  // Timer ticks since anything was received. Ticks do not accumulate while this
  // process is suspended, so resuming it does not make the peer look
  // unresponsive.
  int idle_ticks_ = 0;
  bool ping_outstanding_ = false;
  bool goaway_received_ = false;
  bool write_scheduled_ = false;
  bool receiving_ = false;
  std::uint64_t bytes_received_ = 0;
  std::uint64_t bytes_sent_ = 0;
};

}  // namespace balsam::peer
