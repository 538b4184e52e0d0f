// The bounded sink, and its place behind easylogging++.
#include "libraries/base/bounded_log_sink.h"

#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

#include <climits>

#include "libraries/base/log_event.h"

namespace balsam {
namespace {

// The value of a line's "event=" pair.
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

bool BoundedLogSink::MayWrite(std::string_view event, BootTime now) {
  if (now - second_began_ >= std::chrono::seconds(1)) {
    second_began_ = now;
    lines_.clear();
  }
  const auto found = lines_.try_emplace(std::string(event), 0).first;
  return ++found->second <= kLinesPerSecond;
}

bool BoundedLogSink::WriteNow(std::string_view text) const {
  pollfd ready{descriptor_, POLLOUT, 0};
  if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) return false;
  return ::write(descriptor_, text.data(), text.size()) ==
         static_cast<ssize_t>(text.size());
}

bool BoundedLogSink::Write(std::string_view event, std::string_view line,
                           BootTime now) {
  // A pipe that is ready takes PIPE_BUF bytes at once (POSIX). A client's names
  // may be longer.
  if (line.size() > PIPE_BUF) {
    return Write(event, std::string(line.substr(0, PIPE_BUF - 1)) + '\n', now);
  }
  if (!MayWrite(event, now)) {
    ++dropped_;
    return false;
  }
  if (dropped_ != reported_) {
    const std::string summary =
        "event=log_dropped lines=" + std::to_string(dropped_ - reported_) +
        "\n";
    if (!WriteNow(summary)) {
      ++dropped_;
      return false;
    }
    reported_ = dropped_;
  }
  if (WriteNow(line)) return true;
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
