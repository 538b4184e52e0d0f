// A TCP forwarder between two processes that can become a black hole: it reads
// and discards the bytes of some or all connections without closing them.
#pragma once

#include <QTcpServer>
#include <QTcpSocket>
#include <cstdint>
#include <set>

namespace balsam::processes {

class Forwarder : public QObject {
 public:
  explicit Forwarder(std::uint16_t target);
  ~Forwarder() override;

  std::uint16_t port() const { return server_.serverPort(); }
  void set_target(std::uint16_t target) { target_ = target; }
  // Discards all further bytes of the connections that are open now; new
  // connections work.
  void BlackholeOpenConnections();
  // While set, new connections are accepted but all bytes are discarded.
  void set_blackhole(bool enabled) { blackhole_ = enabled; }

 private:
  void Accept();
  void Connect(QTcpSocket* from, QTcpSocket* to);

  QTcpServer server_;
  std::uint16_t target_;
  std::set<QTcpSocket*> open_;
  std::set<QTcpSocket*> blackholed_;
  bool blackhole_ = false;
};

}  // namespace balsam::processes
