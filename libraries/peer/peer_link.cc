// Connection replacement and the mapping of streams.
#include "libraries/peer/peer_link.h"

#include <QTcpSocket>
#include <algorithm>
#include <utility>

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
      backoff_(kMinReconnectDelay) {
  reconnect_timer_.setSingleShot(true);
  connect(&reconnect_timer_, &QTimer::timeout, this, [this] {
    if (connection_ == nullptr) Connect();
  });
}

PeerLink::~PeerLink() {
  // Handlers belong to owners that may be gone already.
  streams_.clear();
  by_id_.clear();
  pending_.clear();
  std::ranges::for_each(connections_, [](const auto& entry) {
    entry.second->on_closed = nullptr;
    entry.second->on_stream_end = nullptr;
  });
}

LinkStream PeerLink::Open(const char* path, const Message& request,
                          Handlers handlers) {
  const LinkStream stream = next_stream_++;
  streams_.emplace(stream, OpenStream{std::move(handlers), 0, 0});
  pending_.push_back({stream, path, Encode(request)});
  if (connection_ != nullptr && !connection_->AcceptsNewStreams() &&
      connection_->IsConnected()) {
    // It is shutting down: its streams finish there, new ones go elsewhere.
    connection_ = nullptr;
  }
  if (connection_ == nullptr) Connect();
  if (connection_ != nullptr && connection_->IsConnected()) SendPending();
  return stream;
}

void PeerLink::Drop(LinkStream stream) {
  const auto found = streams_.find(stream);
  if (found == streams_.end()) return;
  const OpenStream open = std::move(found->second);
  streams_.erase(found);
  std::erase_if(pending_, [stream](const Pending& pending) {
    return pending.stream == stream;
  });
  if (open.id == 0) return;
  by_id_.erase({open.connection, open.id});
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

bool PeerLink::IsAvoidable() const {
  const bool leaving = connection_ != nullptr && connection_->IsConnected() &&
                       !connection_->AcceptsNewStreams();
  return failed_ || leaving;
}

std::uint64_t PeerLink::bytes() const {
  std::uint64_t sum = closed_bytes_;
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
    failed_ = false;
    backoff_ = kMinReconnectDelay;
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
  const auto pending = std::exchange(pending_, {});
  std::ranges::for_each(pending, [this](const Pending& request) {
    const auto found = streams_.find(request.stream);
    if (found == streams_.end()) return;
    const StreamId id = connection_->StartStream(request.path, request.frame);
    if (id == 0) {
      EndStream(request.stream, StreamEnd::kNotProcessed);
      return;
    }
    found->second.id = id;
    found->second.connection = connection_number_;
    by_id_[{connection_number_, id}] = request.stream;
  });
}

std::optional<LinkStream> PeerLink::FindStream(std::uint64_t connection,
                                               StreamId id) const {
  const auto found = by_id_.find({connection, id});
  if (found == by_id_.end()) return std::nullopt;
  return found->second;
}

void PeerLink::OnFrame(std::uint64_t connection, StreamId id,
                       const QByteArray& frame) {
  const auto stream = FindStream(connection, id);
  if (!stream.has_value()) return;
  const auto message = DecodeIfValid(frame);
  if (!message.has_value()) {
    const auto broken = connections_.find(connection);
    if (broken != connections_.end()) broken->second->Reset(id);
    EndStream(*stream, StreamEnd::kBroken);
    return;
  }
  // The handler may drop the stream, and with it itself.
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
  by_id_.erase({open.connection, open.id});
  if (open.handlers.on_end) open.handlers.on_end(end);
}

void PeerLink::OnClosed(std::uint64_t number) {
  const auto closed = connections_.find(number);
  if (closed == connections_.end()) return;
  Http2Connection* connection = closed->second;
  closed_bytes_ += connection->bytes_received() + connection->bytes_sent();
  connections_.erase(closed);
  connection->deleteLater();
  if (connection != connection_) return;
  connection_ = nullptr;
  failed_ = true;
  reconnect_timer_.start(backoff_);
  backoff_ = std::min(backoff_ * 2, kMaxReconnectDelay);
  // Nothing of what still waits was written.
  const auto pending = std::exchange(pending_, {});
  std::ranges::for_each(pending, [this](const Pending& request) {
    EndStream(request.stream, StreamEnd::kNotProcessed);
  });
}

}  // namespace balsam::peer
