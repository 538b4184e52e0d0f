// A TCP connection on Qt's event loop. QTcpSocket reports an orderly close and
// a reset alike, but only an orderly close ends an answer that has no length;
// hence this class over the socket calls.
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
  // The peer closed its end after everything that it sent.
  kOrderly,
  // The connection was reset, or fell silent for too long.
  kReset,
  // It was never established.
  kNotConnected,
};

class TcpStream : public QObject {
  Q_OBJECT

 public:
  explicit TcpStream(QObject* parent = nullptr);
  ~TcpStream() override;

  // Connects to an IPv4 address; `OnConnected` or `OnClosed` follows.
  void Connect(const std::string& ip, std::uint16_t port);
  // Takes over an accepted socket.
  void Adopt(int descriptor);

  // Queues bytes, and writes at once what the kernel takes.
  void Write(std::string_view bytes);
  // Bytes that the kernel has not taken yet.
  std::size_t pending() const { return output_.size(); }
  // While off, arriving bytes stay in the kernel and hold the peer back.
  void SetReading(bool reading);

  // Closes once everything written has been taken by the kernel; `Closed`
  // follows, later than this call.
  void CloseAfterWriting();
  // Closes at once. No signal follows.
  void Abort();

  bool connected() const { return state_ == State::kConnected; }
  // "IP:PORT" of the peer; empty if unknown.
  std::string peer() const;

 Q_SIGNALS:
  void Connected();
  void Received(std::string_view bytes);
  // The kernel took bytes that were queued.
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
  void Fail(CloseReason reason);

  int descriptor_ = -1;
  State state_ = State::kClosed;
  std::unique_ptr<QSocketNotifier> read_notifier_;
  std::unique_ptr<QSocketNotifier> write_notifier_;
  std::string output_;
  bool reading_ = true;
};

// Accepts connections and hands out their sockets.
class Listener : public QTcpServer {
  Q_OBJECT

 public:
  using QTcpServer::QTcpServer;

  // Fails with kInvalidSettings and the reason.
  Result<void> ListenAt(const std::string& ip, std::uint16_t port);

 Q_SIGNALS:
  void Accepted(int descriptor);

 protected:
  void incomingConnection(qintptr descriptor) override {
    Q_EMIT Accepted(static_cast<int>(descriptor));
  }
};

}  // namespace balsam::net
