// One line of a process's log, as LogEvent writes it.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace balsam::explanation {

struct LogLine {
  // The process that wrote it: the file's name, or the word before the line's
  // time where several processes write to one stream.
  std::string source;
  // What kind of process; empty if the line does not say.
  std::string process;
  std::string event;
  std::map<std::string, std::string, std::less<>> fields;
  std::string text;

  // Empty if the line has no such field.
  const std::string& Field(std::string_view key) const;
  // Whether it tells of this request.
  bool IsOf(std::string_view request_id) const;
};

// Nothing if `text` is no line of an event. `file` names the source where the
// line itself does not.
std::optional<LogLine> ParseLogLine(std::string_view text,
                                    std::string_view file);

}  // namespace balsam::explanation
