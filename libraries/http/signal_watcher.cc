// The signal handler writes the signal number to a pipe, since it may only call
// async-signal-safe functions.
#include "libraries/http/signal_watcher.h"

#include <unistd.h>

#include <csignal>
#include <utility>

namespace balsam::http {
namespace {

int write_end = -1;

void OnSignal(int number) {
  const char byte = static_cast<char>(number);
  // If the pipe is full, earlier signals are still waiting to be handled.
  [[maybe_unused]] const auto written = write(write_end, &byte, 1);
}

}  // namespace

SignalWatcher::SignalWatcher(QObject* parent) : QObject(parent) {
  int pipe_ends[2] = {-1, -1};
  if (pipe(pipe_ends) != 0) return;
  read_end_ = pipe_ends[0];
  write_end = pipe_ends[1];
  notifier_ =
      std::make_unique<QSocketNotifier>(read_end_, QSocketNotifier::Read);
  connect(notifier_.get(), &QSocketNotifier::activated, this, [this] {
    char byte = 0;
    [[maybe_unused]] const auto count = read(read_end_, &byte, 1);
    if (byte == SIGHUP) {
      if (on_reload_) on_reload_();
      return;
    }
    if (on_stop) on_stop();
  });
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  std::signal(SIGPIPE, SIG_IGN);
}

void SignalWatcher::WatchReload(std::function<void()> reload) {
  on_reload_ = std::move(reload);
  std::signal(SIGHUP, OnSignal);
}

SignalWatcher::~SignalWatcher() {
  if (on_reload_) std::signal(SIGHUP, SIG_DFL);
  std::signal(SIGTERM, SIG_DFL);
  std::signal(SIGINT, SIG_DFL);
  notifier_.reset();
  close(read_end_);
  close(write_end);
}

}  // namespace balsam::http
