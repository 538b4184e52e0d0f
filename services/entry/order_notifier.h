// Sends the sidecars of this data centre the orders that operators published
// for their engines, while this entry is one of the data centre's watchers. A
// sidecar acts only on recent notices, so one whose engine does not yet match
// its order is notified at a short interval. The others are notified at a long
// interval, so that a sidecar detects and repairs an engine whose state changed
// without an order.
#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "libraries/peer/peer_link.h"
#include "services/entry/shared_state.h"

namespace balsam::entry {

class OrderNotifier : public QObject {
  Q_OBJECT

 public:
  // `get_link` returns the link to a listed VM; the reference must stay valid
  // until the next call. No notices are sent while `is_watcher` returns false.
  OrderNotifier(SharedState& shared,
                std::function<peer::PeerLink&(const membership::Vm&)> get_link,
                std::function<bool()> is_watcher, QObject* parent = nullptr);

  void Start();
  // Number of engines whose sidecar last reported that they match their order.
  std::size_t settled() const;
  // Number of all engines that notices are sent for.
  std::size_t notified() const { return engines_.size(); }

 private:
  struct Engine {
    orders::DesiredState desired;
    bool settled = false;
    BootTime next_notice;
    // From the sidecar's last reply.
    std::uint64_t challenge = 0;
  };

  void Tick();
  void Notify(const membership::Vm& vm, Engine& engine, BootTime now);

  SharedState& shared_;
  std::function<peer::PeerLink&(const membership::Vm&)> get_link_;
  std::function<bool()> is_watcher_;
  std::map<std::string, Engine> engines_;
  QTimer timer_;
};

}  // namespace balsam::entry
