// A parsed line of a process's log, as written by LogEvent.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace balsam::explanation {

struct LogLine {
  // The process that wrote the line: the file's name, or the word before the
  // line's time if several processes write to one stream.
  std::string source;
  // The kind of process; empty if the line does not contain it.
  std::string process;
  std::string event;
  std::map<std::string, std::string, std::less<>> fields;
  std::string text;

  // Returns an empty string if the line has no such field.
  const std::string& Field(std::string_view key) const;
  // Whether the line belongs to this request.
  bool ConcernsRequest(std::string_view request_id) const;
};

// Returns nothing if `text` has no event. `file` names the source unless the
// line itself does.
std::optional<LogLine> ParseLogLine(std::string_view text,
                                    std::string_view file);

}  // namespace balsam::explanation
