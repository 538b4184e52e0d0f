// Turns SIGTERM and SIGINT into a call on the event loop.
#pragma once

#include <QObject>
#include <QSocketNotifier>
#include <functional>
#include <memory>

namespace balsam::http {

// At most one of these exists in a process.
class SignalWatcher : public QObject {
  Q_OBJECT

 public:
  explicit SignalWatcher(QObject* parent = nullptr);
  ~SignalWatcher() override;

  std::function<void()> on_stop;

 private:
  int read_end_ = -1;
  std::unique_ptr<QSocketNotifier> notifier_;
};

}  // namespace balsam::http
