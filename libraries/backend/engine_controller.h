// Executes the decisions of an EngineReconciler at one engine: posts orders and
// reads the engine's state. An order names the model, adapter, version and role
// that the engine must load.
#pragma once

#include <QObject>
#include <QUrl>
#include <chrono>

#include "libraries/base/boot_clock.h"
#include "libraries/http/http_caller.h"
#include "libraries/orders/engine_reconciler.h"

namespace balsam::backend {

class EngineController : public QObject {
  Q_OBJECT

 public:
  // An order or a state read fails after `response_timeout`.
  EngineController(QUrl base_url, std::chrono::milliseconds response_timeout,
                   orders::EngineReconciler::Config config,
                   QObject* parent = nullptr);

  // See `EngineReconciler::OnDesiredState`.
  void OnDesiredState(const orders::DesiredState& desired,
                      std::uint64_t challenge, BootTime now) {
    reconciler_.OnDesiredState(desired, challenge, now);
  }
  // The process was suspended.
  void OnPause() { reconciler_.OnPause(); }
  // Sends the orders and state reads that are due.
  void Tick(BootTime now);

  const orders::EngineReconciler& reconciler() const { return reconciler_; }

 private:
  void SendOrder(const orders::Order& order);
  void ReadState();
  http::HttpCaller::Request RequestFor(const std::string& method,
                                       const QString& path) const;

  QUrl base_url_;
  std::chrono::milliseconds response_timeout_;
  orders::EngineReconciler reconciler_;
  http::HttpCaller caller_;
};

}  // namespace balsam::backend
