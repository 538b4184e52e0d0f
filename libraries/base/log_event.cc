// Writes events with easylogging++, which does not escape values: a log line
// must stay a single line whatever a caller sends.
#include "libraries/base/log_event.h"

#include <easylogging++.h>

#include <algorithm>
#include <cstdio>

namespace balsam {
namespace {

bool IsPlain(char c) {
  return c > ' ' && c < '\x7f' && c != '"' && c != '\\' && c != '=';
}

void AppendEscaped(std::string& out, char c) {
  if (c == '"' || c == '\\') {
    out += '\\';
    out += c;
    return;
  }
  if (c >= ' ' && c < '\x7f') {
    out += c;
    return;
  }
  char hex[5];
  std::snprintf(hex, sizeof(hex), "\\x%02x", static_cast<unsigned char>(c));
  out += hex;
}

}  // namespace

std::string EscapeLogValue(std::string_view value) {
  if (!value.empty() && std::ranges::all_of(value, IsPlain)) {
    return std::string(value);
  }
  std::string quoted = "\"";
  std::ranges::for_each(value, [&](char c) { AppendEscaped(quoted, c); });
  return quoted + '"';
}

LogEvent::LogEvent(std::string_view event, Level level) : level_(level) {
  With("event", event);
}

LogEvent::~LogEvent() {
  switch (level_) {
    case Level::kInfo:
      LOG(INFO) << line_;
      return;
    case Level::kWarning:
      LOG(WARNING) << line_;
      return;
    case Level::kError:
      LOG(ERROR) << line_;
      return;
  }
}

LogEvent& LogEvent::With(std::string_view key, std::string_view value) {
  if (!line_.empty()) line_ += ' ';
  line_ += key;
  line_ += '=';
  line_ += EscapeLogValue(value);
  return *this;
}

LogEvent& LogEvent::With(std::string_view key, std::chrono::nanoseconds value) {
  const auto microseconds =
      std::chrono::duration_cast<std::chrono::microseconds>(value);
  return With(key, std::to_string(microseconds.count()) + "us");
}

void InitializeLog(std::string_view process) {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(
      el::ConfigurationType::Format,
      "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level process=" +
          EscapeLogValue(process) + " %msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(configuration);
}

}  // namespace balsam
