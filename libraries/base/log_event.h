// Structured logging: each event is one line of key=value pairs, escaped so
// that no value can end the line or forge a pair.
#pragma once

#include <chrono>
#include <concepts>
#include <string>
#include <string_view>

namespace balsam {

// Collects the pairs of one event and writes the line in its destructor.
class LogEvent {
 public:
  enum class Level { kInfo, kWarning, kError };

  explicit LogEvent(std::string_view event, Level level = Level::kInfo);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  LogEvent& With(std::string_view key, std::string_view value);

  template <std::integral Number>
  LogEvent& With(std::string_view key, Number value) {
    return With(key, std::string_view(std::to_string(value)));
  }

  LogEvent& With(std::string_view key, std::chrono::nanoseconds value);

 private:
  Level level_;
  std::string line_;
};

// Returns `value`, quoted if it contains anything but plain visible characters.
// Control and non-ASCII bytes are escaped as \xNN.
std::string EscapeLogValue(std::string_view value);

// Sets the log format and writes the log to standard output. `process` is part
// of every line.
void InitializeLog(std::string_view process);

}  // namespace balsam
