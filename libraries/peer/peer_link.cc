// Replacement of connections and the mapping of streams to them.
#include "libraries/peer/peer_link.h"

#include <QTcpSocket>
#include <algorithm>
#include <utility>

#include "libraries/base/log_event.h"

namespace balsam::peer {
namespace {

constexpr std::chrono::milliseconds kMinReconnectDelay{100};
constexpr std::chrono::milliseconds kMaxReconnectDelay{2000};

}  // namespace

PeerLink::PeerLink(PeerAddress address, QByteArray peer_key,
                   ConnectionLimits limits, QObject* parent)
    : QObject(parent),
      address_(std::move(address)),
      peer_key_(std::move(peer_key)),
      limits_(limits),
      reconnect_delay_(kMinReconnectDelay) {
  reconnect_timer_.setSingleShot(true);
  connect(&reconnect_timer_, &QTimer::timeout, this, [this] {
    if (connection_ == nullptr) Connect();
  });
}

PeerLink::~PeerLink() {
  // The owners of the handlers may already be destroyed, so no handler is
  // called.
  streams_.clear();
  streams_by_id_.clear();
  pending_requests_.clear();
  std::ranges::for_each(connections_, [](const auto& entry) {
    entry.second->on_closed = nullptr;
    entry.second->on_stream_end = nullptr;
  });
}

LinkStream PeerLink::Open(const char* path, const Message& request,
                          Handlers handlers) {
  const LinkStream stream = next_stream_++;
  streams_.emplace(stream, OpenStream{std::move(handlers), 0, 0});
  pending_requests_.push_back({stream, path, Encode(request)});
  if (connection_ != nullptr && !connection_->AcceptsNewStreams() &&
      connection_->IsConnected()) {
    // The peer is shutting down: open streams finish on that connection, new
    // ones use another.
    connection_ = nullptr;
  }
  if (connection_ == nullptr) Connect();
  if (connection_ != nullptr && connection_->IsConnected()) SendPending();
  return stream;
}

void PeerLink::Cancel(LinkStream stream) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) return;
  const OpenStream open = std::move(found->second);
  streams_.erase(found);
  std::erase_if(pending_requests_, [stream](const PendingRequest& pending) {
    return pending.stream == stream;
  });
  if (open.id == 0) return;
  streams_by_id_.erase({open.connection, open.id});
  const auto connection = connections_.find(open.connection);
  if (connection != connections_.end()) connection->second->Reset(open.id);
}

void PeerLink::PauseReading(LinkStream stream, bool paused) {
  const auto found = streams_.find(stream);
  if (found == streams_.end() || found->second.id == 0) return;
  const auto connection = connections_.find(found->second.connection);
  if (connection != connections_.end()) {
    connection->second->PauseReading(found->second.id, paused);
  }
}

bool PeerLink::IsConnected() const {
  return connection_ != nullptr && connection_->IsConnected();
}

bool PeerLink::ShouldAvoid() const {
  const bool leaving = connection_ != nullptr && connection_->IsConnected() &&
                       !connection_->AcceptsNewStreams();
  return last_connection_failed_ || leaving;
}

std::uint64_t PeerLink::bytes() const {
  std::uint64_t sum = closed_connection_bytes_;
  std::ranges::for_each(connections_, [&sum](const auto& entry) {
    sum += entry.second->bytes_received() + entry.second->bytes_sent();
  });
  return sum;
}

void PeerLink::Connect() {
  auto* socket = new QTcpSocket();
  const std::uint64_t number = ++connection_number_;
  auto* connection = new Http2Connection(socket, Http2Connection::Role::kClient,
                                         peer_key_, limits_, this);
  connection->on_connected = [this, number] {
    if (number != connection_number_) return;
    last_connection_failed_ = false;
    reconnect_delay_ = kMinReconnectDelay;
    if (on_connected) on_connected();
    SendPending();
  };
  connection->on_frame = [this, number](StreamId id, const QByteArray& frame) {
    OnFrame(number, id, frame);
  };
  connection->on_stream_end = [this, number](StreamId id, StreamEnd end) {
    OnStreamEnd(number, id, end);
  };
  connection->on_closed = [this, number](const QString&) { OnClosed(number); };
  connection_ = connection;
  connections_.emplace(number, connection);
  socket->connectToHost(address_.host, address_.port);
}

void PeerLink::SendPending() {
  const auto pending = std::exchange(pending_requests_, {});
  std::ranges::for_each(pending, [this](const PendingRequest& request) {
    const auto found = streams_.find(request.stream);
    if (found == streams_.end()) return;
    const StreamId id = connection_->StartStream(request.path, request.frame);
    if (id == 0) {
      EndStream(request.stream, StreamEnd::kNotProcessed);
      return;
    }
    found->second.id = id;
    found->second.connection = connection_number_;
    streams_by_id_[{connection_number_, id}] = request.stream;
  });
}

std::optional<LinkStream> PeerLink::FindStream(std::uint64_t connection,
                                               StreamId id) const {
  const auto found = streams_by_id_.find({connection, id});
  if (found == streams_by_id_.end()) return std::nullopt;
  return found->second;
}

void PeerLink::OnFrame(std::uint64_t connection, StreamId id,
                       const QByteArray& frame) {
  const auto stream = FindStream(connection, id);
  if (!stream.has_value()) return;
  const auto message = DecodeIfValid(frame);
  if (!message.has_value()) {
    LogEvent("peer_message_invalid", LogEvent::Level::kWarning)
        .With("peer", address_.host.toString().toStdString() + ':' +
                          std::to_string(address_.port));
    const auto broken = connections_.find(connection);
    if (broken != connections_.end()) broken->second->Reset(id);
    EndStream(*stream, StreamEnd::kBroken);
    return;
  }
  // Copied, since the handler may cancel the stream, which destroys it.
  const auto handler = streams_.at(*stream).handlers.on_message;
  if (handler) handler(*message);
}

void PeerLink::OnStreamEnd(std::uint64_t connection, StreamId id,
                           StreamEnd end) {
  if (const auto stream = FindStream(connection, id)) EndStream(*stream, end);
}

void PeerLink::EndStream(LinkStream stream, StreamEnd end) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) return;
  const OpenStream open = std::move(found->second);
  streams_.erase(found);
  streams_by_id_.erase({open.connection, open.id});
  if (open.handlers.on_end) open.handlers.on_end(end);
}

void PeerLink::OnClosed(std::uint64_t number) {
  const auto closed = connections_.find(number);
  if (closed == connections_.end()) return;
  Http2Connection* connection = closed->second;
  closed_connection_bytes_ +=
      connection->bytes_received() + connection->bytes_sent();
  connections_.erase(closed);
  connection->deleteLater();
  if (connection != connection_) return;
  connection_ = nullptr;
  last_connection_failed_ = true;
  reconnect_timer_.start(reconnect_delay_);
  reconnect_delay_ = std::min(reconnect_delay_ * 2, kMaxReconnectDelay);
  // Requests that were still waiting for the connection were not sent.
  const auto pending = std::exchange(pending_requests_, {});
  std::ranges::for_each(pending, [this](const PendingRequest& request) {
    EndStream(request.stream, StreamEnd::kNotProcessed);
  });
}

}  // namespace balsam::peer
