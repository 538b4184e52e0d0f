// Runs an nghttp2 session on socket events. The content of frames is encoded
// and decoded by messages.h.
#include "libraries/peer/http2_connection.h"

#include <QtEndian>
#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "libraries/base/constant_time.h"

namespace balsam::peer {
namespace {

constexpr std::uint32_t kMaxConcurrentStreams = 100000;
constexpr std::int32_t kStreamWindowBytes = 64 << 10;
constexpr std::int32_t kConnectionWindowBytes = 16 << 20;
constexpr qsizetype kFrameHeaderBytes = 4;
constexpr char kPeerKeyHeader[] = "balsam-peer-key";

nghttp2_nv MakeHeader(const char* name, const QByteArray& value) {
  // Without NO_COPY flags nghttp2 copies name and value, so it does not write
  // to them despite the const_casts.
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name)),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.constData())),
          std::char_traits<char>::length(name),
          static_cast<std::size_t>(value.size()), NGHTTP2_NV_FLAG_NONE};
}

QByteArray AddLengthPrefix(const QByteArray& frame) {
  QByteArray out(kFrameHeaderBytes, Qt::Uninitialized);
  qToBigEndian(static_cast<quint32>(frame.size()), out.data());
  return out + frame;
}

}  // namespace

struct Http2Connection::Callbacks {
  static Http2Connection& Self(void* user_data) {
    return *static_cast<Http2Connection*>(user_data);
  }

  static Stream* FindStream(Http2Connection& self, StreamId id) {
    const auto it = self.streams_.find(id);
    return it == self.streams_.end() ? nullptr : &it->second;
  }

  static int OnBeginHeaders(nghttp2_session*, const nghttp2_frame* frame,
                            void* user_data) {
    Http2Connection& self = Self(user_data);
    if (self.role_ == Role::kServer &&
        frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
      self.streams_[frame->hd.stream_id].headers_sent = true;
    }
    return 0;
  }

  static int OnHeader(nghttp2_session*, const nghttp2_frame* frame,
                      const std::uint8_t* name, std::size_t name_size,
                      const std::uint8_t* value, std::size_t value_size,
                      std::uint8_t, void* user_data) {
    const QByteArrayView key(name, static_cast<qsizetype>(name_size));
    Http2Connection& self = Self(user_data);
    Stream* stream = FindStream(self, frame->hd.stream_id);
    if (stream == nullptr) return 0;
    const QByteArrayView content(value, static_cast<qsizetype>(value_size));
    if (key == QByteArrayView(":path")) stream->path = content.toByteArray();
    if (key == QByteArrayView(kPeerKeyHeader)) {
      stream->authorized = EqualInConstantTime(
          {content.data(), static_cast<std::size_t>(content.size())},
          {self.peer_key_.constData(),
           static_cast<std::size_t>(self.peer_key_.size())});
    }
    return 0;
  }

  static int OnData(nghttp2_session* session, std::uint8_t, std::int32_t id,
                    const std::uint8_t* data, std::size_t size,
                    void* user_data) {
    Http2Connection& self = Self(user_data);
    nghttp2_session_consume_connection(session, size);
    Stream* stream = FindStream(self, id);
    if (stream == nullptr) return 0;
    if (stream->paused) {
      stream->unconsumed_bytes += size;
    } else {
      nghttp2_session_consume_stream(session, id, size);
    }
    stream->input.append(reinterpret_cast<const char*>(data),
                         static_cast<qsizetype>(size));
    if (static_cast<std::size_t>(stream->input.size()) >
        self.limits_.max_frame_bytes + kFrameHeaderBytes) {
      nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id,
                                NGHTTP2_ENHANCE_YOUR_CALM);
    }
    return 0;
  }

  static int OnFrameReceived(nghttp2_session*, const nghttp2_frame* frame,
                             void* user_data) {
    Http2Connection& self = Self(user_data);
    if (frame->hd.type == NGHTTP2_GOAWAY) self.goaway_received_ = true;
    if (frame->hd.type == NGHTTP2_PING) self.ping_outstanding_ = false;
    Stream* stream = FindStream(self, frame->hd.stream_id);
    if (stream == nullptr) return 0;
    if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      stream->remote_ended = true;
    }
    self.ProcessInput(frame->hd.stream_id, *stream);
    return 0;
  }

  // Called before the bytes leave nghttp2, so that a stream counts as sent even
  // if the process is suspended between the two.
  static int BeforeFrameSent(nghttp2_session*, const nghttp2_frame* frame,
                             void* user_data) {
    Stream* stream = FindStream(Self(user_data), frame->hd.stream_id);
    if (stream != nullptr && frame->hd.type == NGHTTP2_HEADERS) {
      stream->headers_sent = true;
    }
    return 0;
  }

  static int OnStreamClose(nghttp2_session*, std::int32_t id,
                           std::uint32_t error_code, void* user_data) {
    Self(user_data).EndStream(id, error_code);
    return 0;
  }

  static ssize_t ReadOutput(nghttp2_session*, std::int32_t id,
                            std::uint8_t* buffer, std::size_t size,
                            std::uint32_t* flags, nghttp2_data_source*,
                            void* user_data) {
    Stream* stream = FindStream(Self(user_data), id);
    if (stream == nullptr) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    if (stream->output.isEmpty() && !stream->end_queued) {
      stream->deferred = true;
      return NGHTTP2_ERR_DEFERRED;
    }
    const auto count =
        std::min(static_cast<qsizetype>(size), stream->output.size());
    std::copy_n(stream->output.constData(), count, buffer);
    stream->output.remove(0, count);
    if (stream->output.isEmpty() && stream->end_queued) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    } else if (stream->output.isEmpty()) {
      Self(user_data).NotifyDrained(id);
    }
    return count;
  }
};

Http2Connection::Http2Connection(QTcpSocket* socket, Role role,
                                 QByteArray peer_key, ConnectionLimits limits,
                                 QObject* parent)
    : QObject(parent),
      socket_(socket),
      role_(role),
      peer_key_(std::move(peer_key)),
      limits_(limits) {
  socket_->setParent(this);
  connect(socket_, &QTcpSocket::readyRead, this, &Http2Connection::ReadSocket);
  connect(socket_, &QTcpSocket::bytesWritten, this,
          &Http2Connection::WriteSocket);
  connect(socket_, &QTcpSocket::disconnected, this,
          [this] { Close("disconnected by peer"); });
  connect(socket_, &QTcpSocket::errorOccurred, this, [this] {
    if (socket_) Close(socket_->errorString());
  });
  connect(&idle_timer_, &QTimer::timeout, this,
          &Http2Connection::CheckIdleTime);
  idle_timer_.start(limits_.ping_after_idle / 2);
  if (socket_->state() == QAbstractSocket::ConnectedState) {
    StartSession();
  } else {
    connect(socket_, &QTcpSocket::connected, this,
            &Http2Connection::StartSession);
  }
}

Http2Connection::~Http2Connection() {
  on_closed = nullptr;
  on_stream_end = nullptr;
  Close("destroyed");
  if (session_ != nullptr) nghttp2_session_del(session_);
}

void Http2Connection::StartSession() {
  if (session_ != nullptr || state_ == State::kClosed) return;
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(
      callbacks, Callbacks::OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                   Callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                            Callbacks::OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(
      callbacks, Callbacks::OnFrameReceived);
  nghttp2_session_callbacks_set_before_frame_send_callback(
      callbacks, Callbacks::BeforeFrameSent);
  nghttp2_session_callbacks_set_on_stream_close_callback(
      callbacks, Callbacks::OnStreamClose);
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_no_auto_window_update(option, 1);
  if (role_ == Role::kClient) {
    nghttp2_session_client_new2(&session_, callbacks, this, option);
  } else {
    nghttp2_session_server_new2(&session_, callbacks, this, option);
  }
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);

  const std::array settings = {
      nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                             kMaxConcurrentStreams},
      nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
                             kStreamWindowBytes}};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
  state_ = State::kOpen;
  idle_ticks_ = 0;
  if (on_connected) on_connected();
  WriteSocket();
}

bool Http2Connection::IsConnected() const { return state_ == State::kOpen; }

bool Http2Connection::AcceptsNewStreams() const {
  return state_ == State::kOpen && !goaway_received_;
}

StreamId Http2Connection::StartStream(const QByteArray& path,
                                      const QByteArray& frame) {
  if (role_ != Role::kClient || !AcceptsNewStreams()) return 0;
  const std::array headers = {
      MakeHeader(":method", "POST"), MakeHeader(":scheme", "http"),
      MakeHeader(":authority", "peer"), MakeHeader(":path", path),
      MakeHeader(kPeerKeyHeader, peer_key_)};
  nghttp2_data_provider provider{};
  provider.read_callback = Callbacks::ReadOutput;
  const StreamId id = nghttp2_submit_request(
      session_, nullptr, headers.data(), headers.size(), &provider, nullptr);
  if (id < 0) return 0;
  Stream& stream = streams_[id];
  stream.output = AddLengthPrefix(frame);
  stream.end_queued = true;
  ScheduleWrite();
  return id;
}

void Http2Connection::SendFrame(StreamId id, const QByteArray& frame,
                                bool end) {
  const auto it = streams_.find(id);
  if (it == streams_.end() || state_ != State::kOpen) return;
  Stream& stream = it->second;
  stream.output += AddLengthPrefix(frame);
  stream.end_queued = stream.end_queued || end;
  if (stream.deferred) {
    stream.deferred = false;
    nghttp2_session_resume_data(session_, id);
  } else if (!stream.response_started) {
    stream.response_started = true;
    const std::array headers = {MakeHeader(":status", "200")};
    nghttp2_data_provider provider{};
    provider.read_callback = Callbacks::ReadOutput;
    nghttp2_submit_response(session_, id, headers.data(), headers.size(),
                            &provider);
  }
  ScheduleWrite();
}

void Http2Connection::Refuse(StreamId id) {
  if (session_ == nullptr) return;
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id,
                            NGHTTP2_REFUSED_STREAM);
  ScheduleWrite();
}

void Http2Connection::Reset(StreamId id) {
  if (session_ == nullptr || !streams_.contains(id)) return;
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
  ScheduleWrite();
}

void Http2Connection::PauseReading(StreamId id, bool paused) {
  const auto it = streams_.find(id);
  if (it == streams_.end() || it->second.paused == paused) return;
  it->second.paused = paused;
  if (paused || session_ == nullptr) return;
  nghttp2_session_consume_stream(session_, id,
                                 std::exchange(it->second.unconsumed_bytes, 0));
  ScheduleWrite();
}

void Http2Connection::NotifyDrained(StreamId id) {
  QMetaObject::invokeMethod(
      this,
      [this, id] {
        if (on_drained && streams_.contains(id)) on_drained(id);
      },
      Qt::QueuedConnection);
}

qsizetype Http2Connection::QueuedBytes(StreamId id) const {
  const auto it = streams_.find(id);
  return it == streams_.end() ? 0 : it->second.output.size();
}

void Http2Connection::BeginShutdown() {
  if (session_ == nullptr || state_ != State::kOpen) return;
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(session_),
                        NGHTTP2_NO_ERROR, nullptr, 0);
  ScheduleWrite();
}

void Http2Connection::Close(const QString& reason) {
  if (state_ == State::kClosed) return;
  state_ = State::kClosed;
  idle_timer_.stop();
  if (socket_) {
    socket_->disconnect(this);
    socket_->abort();
  }
  const auto open = std::exchange(streams_, {});
  std::ranges::for_each(open, [this](const auto& entry) {
    const auto& [id, stream] = entry;
    if (on_stream_end) {
      on_stream_end(id, stream.headers_sent ? StreamEnd::kBroken
                                            : StreamEnd::kNotProcessed);
    }
  });
  if (on_closed) on_closed(reason);
}

void Http2Connection::ReadSocket() {
  if (session_ == nullptr || !socket_) return;
  const QByteArray data = socket_->readAll();
  if (data.isEmpty()) return;
  idle_ticks_ = 0;
  bytes_received_ += static_cast<std::uint64_t>(data.size());
  receiving_ = true;
  const auto consumed = nghttp2_session_mem_recv(
      session_, reinterpret_cast<const std::uint8_t*>(data.constData()),
      static_cast<std::size_t>(data.size()));
  receiving_ = false;
  if (consumed < 0) {
    Close(QString("HTTP/2 error: ") +
          nghttp2_strerror(static_cast<int>(consumed)));
    return;
  }
  WriteSocket();
}

void Http2Connection::ScheduleWrite() {
  // Writes once after the current event, which combines the frames of many
  // streams into few packets.
  if (write_scheduled_) return;
  write_scheduled_ = true;
  QMetaObject::invokeMethod(
      this,
      [this] {
        write_scheduled_ = false;
        WriteSocket();
      },
      Qt::QueuedConnection);
}

void Http2Connection::WriteSocket() {
  if (receiving_ || session_ == nullptr) return;
  while (state_ == State::kOpen && socket_ &&
         socket_->bytesToWrite() < limits_.socket_high_mark_bytes) {
    const std::uint8_t* data = nullptr;
    const auto size = nghttp2_session_mem_send(session_, &data);
    if (size <= 0) break;
    bytes_sent_ += static_cast<std::uint64_t>(size);
    socket_->write(reinterpret_cast<const char*>(data), size);
  }
  const bool finished = state_ == State::kOpen &&
                        nghttp2_session_want_read(session_) == 0 &&
                        nghttp2_session_want_write(session_) == 0;
  if (finished) CloseWhenWritten();
}

void Http2Connection::CloseWhenWritten() {
  QTcpSocket* socket = socket_;
  if (socket != nullptr) {
    // The socket outlives this object until its buffer is empty.
    socket->disconnect(this);
    socket->setParent(nullptr);
    connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    socket->disconnectFromHost();
    socket_ = nullptr;
  }
  Close("session finished");
}

void Http2Connection::CheckIdleTime() {
  ++idle_ticks_;
  // No response depends on a connection without streams, so it is probed less
  // often and closed later.
  const int interval_factor =
      streams_.empty() && state_ == State::kOpen ? 5 : 1;
  const auto idle_time = idle_ticks_ * (limits_.ping_after_idle / 2);
  if (idle_time >= limits_.receive_timeout * interval_factor) {
    Close("nothing received within the receive timeout");
    return;
  }
  if (state_ == State::kOpen &&
      idle_time >= limits_.ping_after_idle * interval_factor &&
      !ping_outstanding_) {
    ping_outstanding_ = true;
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
    WriteSocket();
  }
}

void Http2Connection::ProcessInput(StreamId id, Stream& stream) {
  while (stream.input.size() >= kFrameHeaderBytes) {
    const auto size = static_cast<qsizetype>(
        qFromBigEndian<quint32>(stream.input.constData()));
    if (stream.input.size() < kFrameHeaderBytes + size) return;
    const QByteArray frame = stream.input.mid(kFrameHeaderBytes, size);
    if (role_ == Role::kServer) {
      // A request is delivered only once the client has ended its side
      // normally.
      if (stream.remote_ended) DeliverRequest(id, stream);
      return;
    }
    stream.input.remove(0, kFrameHeaderBytes + size);
    if (on_frame) on_frame(id, frame);
    if (!streams_.contains(id)) return;
  }
}

void Http2Connection::DeliverRequest(StreamId id, Stream& stream) {
  if (stream.request_delivered) return;
  stream.request_delivered = true;
  if (!stream.authorized) {
    Refuse(id);
    return;
  }
  const QByteArray frame = stream.input.mid(kFrameHeaderBytes);
  stream.input.clear();
  if (on_request) on_request(id, stream.path, frame);
}

void Http2Connection::EndStream(StreamId id, std::uint32_t error_code) {
  const auto it = streams_.find(id);
  if (it == streams_.end()) return;
  const bool remote_ended = it->second.remote_ended;
  const bool headers_sent = it->second.headers_sent;
  streams_.erase(it);
  if (!on_stream_end) return;
  if (error_code == NGHTTP2_REFUSED_STREAM || !headers_sent) {
    on_stream_end(id, StreamEnd::kNotProcessed);
  } else if (error_code == NGHTTP2_NO_ERROR && remote_ended) {
    on_stream_end(id, StreamEnd::kComplete);
  } else {
    on_stream_end(id, StreamEnd::kBroken);
  }
}

}  // namespace balsam::peer
