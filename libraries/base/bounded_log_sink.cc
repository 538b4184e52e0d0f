// The bounded sink, and its installation as the output of easylogging++.
#include "libraries/base/bounded_log_sink.h"

#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

#include <climits>

#include "libraries/base/log_event.h"

namespace balsam {
namespace {

// Returns the value of a line's "event=" pair.
std::string_view EventOf(std::string_view line) {
  constexpr std::string_view kName = "event=";
  const std::size_t begin = line.find(kName);
  if (begin == std::string_view::npos) return {};
  line.remove_prefix(begin + kName.size());
  return line.substr(0, line.find_first_of(" \n"));
}

class Dispatcher : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) noexcept override {
    const auto* message = data->logMessage();
    const std::string line =
        message->logger()->logBuilder()->build(message, true);
    sink_.Write(EventOf(line), line, BootClock::now());
  }

 private:
  BoundedLogSink sink_{STDOUT_FILENO};
};

}  // namespace

bool BoundedLogSink::IsWithinRateLimit(std::string_view event, BootTime now) {
  if (now - window_start_ >= std::chrono::seconds(1)) {
    window_start_ = now;
    event_lines_.clear();
  }
  const auto found = event_lines_.try_emplace(std::string(event), 0).first;
  return ++found->second <= kMaxLinesPerSecond;
}

bool BoundedLogSink::TryWrite(std::string_view text) const {
  pollfd ready{descriptor_, POLLOUT, 0};
  if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) return false;
  return ::write(descriptor_, text.data(), text.size()) ==
         static_cast<ssize_t>(text.size());
}

bool BoundedLogSink::Write(std::string_view event, std::string_view line,
                           BootTime now) {
  // POSIX guarantees that a writable pipe accepts PIPE_BUF bytes without
  // blocking. Lines can be longer, since they contain names set by clients.
  if (line.size() > PIPE_BUF) {
    return Write(event, std::string(line.substr(0, PIPE_BUF - 1)) + '\n', now);
  }
  if (!IsWithinRateLimit(event, now)) {
    ++dropped_;
    return false;
  }
  if (dropped_ != reported_dropped_) {
    const std::string summary = "event=log_dropped lines=" +
                                std::to_string(dropped_ - reported_dropped_) +
                                "\n";
    if (!TryWrite(summary)) {
      ++dropped_;
      return false;
    }
    reported_dropped_ = dropped_;
  }
  if (TryWrite(line)) return true;
  ++dropped_;
  return false;
}

void InitializeBoundedLog(std::string_view process) {
  InitializeLog(process);
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<Dispatcher>("BoundedLogSink");
}

}  // namespace balsam
