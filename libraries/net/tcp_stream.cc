// Non-blocking socket calls, triggered by QSocketNotifiers.
#include "libraries/net/tcp_stream.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QHostAddress>
#include <QPointer>
#include <array>
#include <cerrno>
#include <chrono>
#include <utility>

namespace balsam::net {
namespace {

// A connection is closed when written data stays unacknowledged for this long,
// since a network path can fail without a reset.
constexpr std::chrono::milliseconds kUserTimeout{2000};
// An idle connection is probed at this interval, and closed after this many
// probes without a reply.
constexpr std::chrono::seconds kKeepAliveInterval{1};
constexpr int kKeepAliveProbes = 2;
// Bytes read in one call, and the maximum number of calls before control
// returns to the event loop, so that other connections are served.
constexpr std::size_t kReadBufferSize = 16 << 10;
constexpr int kMaxReadsPerEvent = 4;

void SetOption(int descriptor, int level, int option, int value) {
  ::setsockopt(descriptor, level, option, &value, sizeof(value));
}

}  // namespace

TcpStream::TcpStream(QObject* parent) : QObject(parent) {}

TcpStream::~TcpStream() { Release(); }

void TcpStream::SetOptions() {
  SetOption(descriptor_, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(descriptor_, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(kUserTimeout.count()));
  SetOption(descriptor_, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor_, IPPROTO_TCP, TCP_KEEPIDLE,
            static_cast<int>(kKeepAliveInterval.count()));
  SetOption(descriptor_, IPPROTO_TCP, TCP_KEEPINTVL,
            static_cast<int>(kKeepAliveInterval.count()));
  SetOption(descriptor_, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

void TcpStream::CreateNotifiers() {
  read_notifier_ =
      std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Read);
  write_notifier_ =
      std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Write);
  connect(read_notifier_.get(), &QSocketNotifier::activated, this,
          &TcpStream::OnReadable);
  connect(write_notifier_.get(), &QSocketNotifier::activated, this,
          &TcpStream::OnWritable);
}

void TcpStream::Connect(const std::string& ip, std::uint16_t port) {
  Release();
  state_ = State::kConnecting;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  descriptor_ =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const bool valid = descriptor_ >= 0 &&
                     ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr) == 1;
  if (valid) SetOptions();
  if (!valid ||
      (::connect(descriptor_, reinterpret_cast<const sockaddr*>(&address),
                 sizeof(address)) != 0 &&
       errno != EINPROGRESS)) {
    // Emitted from the event loop, so that no signal arrives during this call.
    QMetaObject::invokeMethod(
        this, [this] { CloseWith(CloseReason::kNotConnected); },
        Qt::QueuedConnection);
    return;
  }
  CreateNotifiers();
  read_notifier_->setEnabled(false);
}

void TcpStream::Adopt(int descriptor) {
  Release();
  descriptor_ = descriptor;
  ::fcntl(descriptor_, F_SETFL, ::fcntl(descriptor_, F_GETFL) | O_NONBLOCK);
  SetOptions();
  state_ = State::kConnected;
  CreateNotifiers();
  write_notifier_->setEnabled(false);
  read_notifier_->setEnabled(reading_);
}

std::size_t TcpStream::Send(std::string_view bytes) {
  std::size_t total = 0;
  while (total < bytes.size()) {
    const ssize_t sent = ::send(descriptor_, bytes.data() + total,
                                bytes.size() - total, MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
      write_failed_ = true;
    }
    if (sent <= 0) break;
    total += static_cast<std::size_t>(sent);
  }
  return total;
}

void TcpStream::Write(std::string_view bytes) {
  if (state_ != State::kConnected || write_failed_) return;
  if (pending() == 0) bytes.remove_prefix(Send(bytes));
  if (bytes.empty() || write_failed_) return;
  // Not with each write: that would move all that is queued every time.
  if (output_sent_ * 2 >= output_.size()) {
    output_.erase(0, std::exchange(output_sent_, 0));
  }
  if (const auto shared = std::exchange(shared_, nullptr)) {
    output_ += std::string_view(*shared).substr(shared_sent_);
  }
  output_ += bytes;
  write_notifier_->setEnabled(true);
}

void TcpStream::WriteShared(std::shared_ptr<const std::string> bytes) {
  if (state_ != State::kConnected || write_failed_ || bytes->empty()) return;
  if (shared_ != nullptr) {
    Write(*bytes);
    return;
  }
  shared_ = std::move(bytes);
  shared_sent_ = 0;
  Flush();
}

void TcpStream::Flush() {
  output_sent_ += Send(std::string_view(output_).substr(output_sent_));
  if (output_sent_ == output_.size()) {
    std::string().swap(output_);
    output_sent_ = 0;
    if (shared_ != nullptr) {
      shared_sent_ += Send(std::string_view(*shared_).substr(shared_sent_));
      if (shared_sent_ == shared_->size()) shared_.reset();
    }
  }
  if (write_failed_) DropOutput();
  write_notifier_->setEnabled(pending() > 0);
}

void TcpStream::DropOutput() {
  std::string().swap(output_);
  output_sent_ = 0;
  shared_.reset();
}

void TcpStream::SetReadEnabled(bool reading) {
  reading_ = reading;
  if (state_ == State::kConnected) {
    read_notifier_->setEnabled(reading && !peer_closed_);
  }
}

void TcpStream::OnReadable() {
  std::array<char, kReadBufferSize> buffer;
  const QPointer<TcpStream> self(this);
  for (int i = 0; i < kMaxReadsPerEvent; ++i) {
    const ssize_t count = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (count < 0) {
      if (errno == EAGAIN || errno == EINTR) return;
      CloseWith(CloseReason::kReset);
      return;
    }
    if (count == 0) {
      if (writes_after_peer_close_ && pending() > 0 && !write_failed_) {
        peer_closed_ = true;
        read_notifier_->setEnabled(false);
        return;
      }
      CloseWith(write_failed_ ? CloseReason::kReset : CloseReason::kOrderly);
      return;
    }
    const auto size = static_cast<std::size_t>(count);
    if (state_ == State::kConnected) {
      Q_EMIT Received(std::string_view(buffer.data(), size));
    }
    if (!self || descriptor_ < 0 || !reading_ || size < buffer.size()) return;
  }
}

void TcpStream::OnWritable() {
  if (state_ == State::kConnecting) {
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
      CloseWith(error == ECONNREFUSED ? CloseReason::kRefused
                                      : CloseReason::kNotConnected);
      return;
    }
    state_ = State::kConnected;
    write_notifier_->setEnabled(false);
    read_notifier_->setEnabled(reading_);
    Q_EMIT Connected();
    return;
  }
  Flush();
  if (state_ == State::kClosing) {
    if (pending() == 0) CloseWith(CloseReason::kOrderly);
    return;
  }
  if (peer_closed_ && pending() == 0) {
    CloseWith(write_failed_ ? CloseReason::kReset : CloseReason::kOrderly);
    return;
  }
  Q_EMIT Drained();
}

void TcpStream::CloseAfterWriting() {
  if (state_ == State::kConnected) state_ = State::kClosing;
  if (pending() > 0) return;
  QMetaObject::invokeMethod(
      this, [this] { CloseWith(CloseReason::kOrderly); }, Qt::QueuedConnection);
}

void TcpStream::Abort() { Release(); }

void TcpStream::Release() {
  state_ = State::kClosed;
  DropOutput();
  peer_closed_ = false;
  write_failed_ = false;
  // This may run while a notifier's signal is being delivered, so the notifiers
  // are deleted later.
  for (auto* notifier : {&read_notifier_, &write_notifier_}) {
    if (*notifier == nullptr) continue;
    (*notifier)->setEnabled(false);
    notifier->release()->deleteLater();
  }
  if (descriptor_ >= 0) ::close(descriptor_);
  descriptor_ = -1;
}

void TcpStream::CloseWith(CloseReason reason) {
  if (state_ == State::kClosed) return;
  Release();
  Q_EMIT Closed(reason);
}

bool TcpStream::HasUnread() const {
  char byte = 0;
  const ssize_t count =
      ::recv(descriptor_, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return count >= 0 || (errno != EAGAIN && errno != EINTR);
}

std::string TcpStream::peer() const {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  if (descriptor_ < 0 ||
      ::getpeername(descriptor_, reinterpret_cast<sockaddr*>(&address),
                    &size) != 0) {
    return {};
  }
  std::array<char, INET_ADDRSTRLEN> text{};
  ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  return std::string(text.data()) + ':' +
         std::to_string(ntohs(address.sin_port));
}

Result<void> Listener::ListenAt(const std::string& ip, std::uint16_t port) {
  if (!listen(QHostAddress(QString::fromStdString(ip)), port)) {
    return balsam::Fail(ResultCode::kInvalidSettings,
                        "cannot listen on " + ip + ':' + std::to_string(port) +
                            ": " + errorString().toStdString());
  }
  return {};
}

}  // namespace balsam::net
