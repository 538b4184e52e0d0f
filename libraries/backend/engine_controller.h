// Carries an order book's decisions out at one engine: posts orders, and reads
// the engine's state back.
#pragma once

#include <QNetworkAccessManager>
#include <QObject>
#include <QUrl>
#include <chrono>

#include "libraries/base/boot_clock.h"
#include "libraries/orders/order_book.h"

class QNetworkReply;

namespace balsam::backend {

class EngineController : public QObject {
  Q_OBJECT

 public:
  // An order or a read that takes longer than `answer_limit` has failed.
  EngineController(QUrl base_url, std::chrono::milliseconds answer_limit,
                   orders::EngineReconciler::Config config,
                   QObject* parent = nullptr);

  void OnDesiredState(const orders::DesiredState& desired, BootTime now) {
    book_.OnDesiredState(desired, now);
  }
  // The process was stopped for a while.
  void OnPause() { book_.OnPause(); }
  // Sends what is due.
  void Tick(BootTime now);

  const orders::EngineReconciler& book() const { return book_; }

 private:
  void SendOrder(const orders::Order& order);
  void ReadBack();
  QNetworkRequest RequestFor(const QString& path) const;

  QUrl base_url_;
  std::chrono::milliseconds answer_limit_;
  orders::EngineReconciler book_;
  QNetworkAccessManager manager_;
};

}  // namespace balsam::backend
