// A TCP forwarder between two processes that can go silent: bytes on the
// connections that are open vanish, while new connections work.
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
  // Swallows what the present connections carry from now on.
  void SilenceOpenConnections();
  // Refuses nothing and answers nothing: new connections are silent too.
  void set_cut(bool cut) { cut_ = cut; }

 private:
  void Accept();
  void Connect(QTcpSocket* from, QTcpSocket* to);

  QTcpServer server_;
  std::uint16_t target_;
  std::set<QTcpSocket*> open_;
  std::set<QTcpSocket*> silenced_;
  bool cut_ = false;
};

}  // namespace balsam::processes
