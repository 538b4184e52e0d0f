// Tells the sidecars of this data centre what operators published for their
// engines, while this entry is one of the data centre's watchers. A sidecar
// acts on fresh news alone, so one whose engine is not yet as published is told
// again and again; the others now and then, so that what changed at an engine
// by itself is found and repaired.
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
  // `link_to` gives the link to a listed VM; it must stay valid until the next
  // call. `is_watcher` says whether this entry is to tell anybody.
  OrderNotifier(SharedState& shared,
                std::function<peer::PeerLink&(const membership::Vm&)> link_to,
                std::function<bool()> is_watcher, QObject* parent = nullptr);

  void Start();
  // Engines that were last heard to be as published, and all that were told.
  std::size_t settled() const;
  std::size_t told() const { return engines_.size(); }

 private:
  struct Engine {
    orders::DesiredState desired;
    bool settled = false;
    BootTime next;
  };

  void Tick();
  void Tell(const membership::Vm& vm, Engine& engine, BootTime now);

  SharedState& shared_;
  std::function<peer::PeerLink&(const membership::Vm&)> link_to_;
  std::function<bool()> is_watcher_;
  std::map<std::string, Engine> engines_;
  QTimer timer_;
};

}  // namespace balsam::entry
