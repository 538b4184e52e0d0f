// A TCP connection on Qt's event loop. Uses the socket calls directly, because
// QTcpSocket does not distinguish an orderly close from a reset, and only an
// orderly close may end an HTTP response without a length.
#pragma once

#include <QObject>
#include <QSocketNotifier>
#include <QTcpServer>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "libraries/base/error.h"

namespace balsam::net {

enum class CloseReason {
  // The peer closed its side after sending all its data.
  kOrderly,
  // The connection was reset or timed out, perhaps after the peer had closed
  // its side.
  kReset,
  // The connection was never established.
  kNotConnected,
  // The same, since nothing listens there.
  kRefused,
};

class TcpStream : public QObject {
  Q_OBJECT

 public:
  explicit TcpStream(QObject* parent = nullptr);
  ~TcpStream() override;

  // Connects to an IPv4 address; emits `Connected` or `Closed` later.
  void Connect(const std::string& ip, std::uint16_t port);
  // Takes ownership of an accepted socket.
  void Adopt(int descriptor);

  // Queues bytes, and writes at once what the kernel accepts.
  void Write(std::string_view bytes);
  // The same without a copy: keeps `bytes` until the kernel has accepted them.
  void WriteShared(std::shared_ptr<const std::string> bytes);
  // Queued bytes that the kernel has not accepted yet.
  std::size_t pending() const {
    return output_.size() - output_sent_ +
           (shared_ == nullptr ? 0 : shared_->size() - shared_sent_);
  }
  // While disabled, received bytes stay in the kernel, whose full buffer slows
  // the peer down by TCP flow control.
  void SetReadEnabled(bool reading);
  // Whether to write what is queued after the peer has closed its side, so that
  // the reason for the close tells if the peer read on. If not, which is the
  // default, the close is reported at once.
  void SetWritesAfterPeerClose(bool writes) {
    writes_after_peer_close_ = writes;
  }

  // Closes once the kernel has accepted all queued bytes; emits `Closed` after
  // this call has returned.
  void CloseAfterWriting();
  // Closes at once, without emitting a signal.
  void Abort();

  bool connected() const { return state_ == State::kConnected; }
  // Whether a write failed. What the peer sent before can still be read; the
  // connection then ends as reset.
  bool write_failed() const { return write_failed_; }
  // Whether bytes, or the end of the connection, arrived and were not read yet.
  bool HasUnread() const;
  // Returns "IP:PORT" of the peer; empty if unknown.
  std::string peer() const;

 Q_SIGNALS:
  void Connected();
  void Received(std::string_view bytes);
  // The kernel accepted queued bytes.
  void Drained();
  void Closed(balsam::net::CloseReason reason);

 private:
  enum class State { kClosed, kConnecting, kConnected, kClosing };

  void SetOptions();
  void CreateNotifiers();
  void OnReadable();
  void OnWritable();
  void Flush();
  // Returns how many of the bytes the kernel accepted. Records a failure.
  std::size_t Send(std::string_view bytes);
  void DropOutput();
  void Release();
  void CloseWith(CloseReason reason);

  int descriptor_ = -1;
  State state_ = State::kClosed;
  std::unique_ptr<QSocketNotifier> read_notifier_;
  std::unique_ptr<QSocketNotifier> write_notifier_;
  // Queued bytes; the first `output_sent_` of them are sent.
  std::string output_;
  std::size_t output_sent_ = 0;
  // Follows `output_`; null if there is nothing left of it.
  std::shared_ptr<const std::string> shared_;
  std::size_t shared_sent_ = 0;
  bool reading_ = true;
  bool writes_after_peer_close_ = false;
  // The peer closed its side, and queued bytes are still being written.
  bool peer_closed_ = false;
  // The kernel reports the error of a connection once only, to a write or to a
  // read; reads that follow a failed write find an orderly close.
  bool write_failed_ = false;
};

// Accepts connections and emits their sockets.
class Listener : public QTcpServer {
  Q_OBJECT

 public:
  using QTcpServer::QTcpServer;

  // Fails with kInvalidSettings and the system's error message.
  Result<void> ListenAt(const std::string& ip, std::uint16_t port);

 Q_SIGNALS:
  void Accepted(int descriptor);

 protected:
  void incomingConnection(qintptr descriptor) override {
    Q_EMIT Accepted(static_cast<int>(descriptor));
  }
};

}  // namespace balsam::net
