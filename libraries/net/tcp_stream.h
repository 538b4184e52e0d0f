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
  // The connection was reset or timed out.
  kReset,
  // The connection was never established.
  kNotConnected,
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
  // Queued bytes that the kernel has not accepted yet.
  std::size_t pending() const { return output_.size(); }
  // While disabled, received bytes stay in the kernel, whose full buffer slows
  // the peer down by TCP flow control.
  void SetReadEnabled(bool reading);

  // Closes once the kernel has accepted all queued bytes; emits `Closed` after
  // this call has returned.
  void CloseAfterWriting();
  // Closes at once, without emitting a signal.
  void Abort();

  bool connected() const { return state_ == State::kConnected; }
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
  void Release();
  void CloseWith(CloseReason reason);

  int descriptor_ = -1;
  State state_ = State::kClosed;
  std::unique_ptr<QSocketNotifier> read_notifier_;
  std::unique_ptr<QSocketNotifier> write_notifier_;
  std::string output_;
  bool reading_ = true;
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
