// Turns SIGTERM and SIGINT, and SIGHUP if requested, into calls on the event
// loop.
#pragma once

#include <QObject>
#include <QSocketNotifier>
#include <functional>
#include <memory>

namespace balsam::http {

// At most one instance may exist in a process.
class SignalWatcher : public QObject {
  Q_OBJECT

 public:
  explicit SignalWatcher(QObject* parent = nullptr);
  ~SignalWatcher() override;

  // Calls `reload` on SIGHUP, which terminates the process otherwise.
  void WatchReload(std::function<void()> reload);

  std::function<void()> on_stop;

 private:
  std::function<void()> on_reload_;
  int read_end_ = -1;
  std::unique_ptr<QSocketNotifier> notifier_;
};

}  // namespace balsam::http
