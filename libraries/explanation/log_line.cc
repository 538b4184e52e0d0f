// Parses log lines, including the escapes of EscapeLogValue.
#include "libraries/explanation/log_line.h"

#include <charconv>

namespace balsam::explanation {
namespace {

constexpr std::string_view kEventKey = "event=";
constexpr std::string_view kTimeKey = "time=";
// Gateways log a request's id as `id`, entries and sidecars as `request`.
constexpr std::string_view kRequestKeys[] = {"id", "request"};

// Parses a quoted value. `text` begins after the opening quote and is advanced
// past the closing one.
std::string ParseQuotedValue(std::string_view& text) {
  std::string value;
  while (!text.empty() && text.front() != '"') {
    if (text.front() != '\\' || text.size() < 2) {
      value += text.front();
      text.remove_prefix(1);
      continue;
    }
    text.remove_prefix(1);
    unsigned int code = 0;
    const bool is_hex =
        text.size() >= 3 && text.front() == 'x' &&
        std::from_chars(text.data() + 1, text.data() + 3, code, 16).ptr ==
            text.data() + 3;
    value += is_hex ? static_cast<char>(code) : text.front();
    text.remove_prefix(is_hex ? 3 : 1);
  }
  if (!text.empty()) text.remove_prefix(1);
  return value;
}

// Removes the next key and value from `text`; returns false if none is left.
// Words without a key are skipped.
bool ParseNextField(std::string_view& text, std::string& key,
                    std::string& value) {
  while (!text.empty()) {
    const std::size_t begin = text.find_first_not_of(' ');
    if (begin == std::string_view::npos) return false;
    text.remove_prefix(begin);
    const std::size_t end = text.find_first_of(" =");
    if (end == std::string_view::npos) return false;
    key = text.substr(0, end);
    const bool is_pair = text[end] == '=';
    text.remove_prefix(end + 1);
    if (!is_pair) continue;
    if (!text.empty() && text.front() == '"') {
      text.remove_prefix(1);
      value = ParseQuotedValue(text);
    } else {
      value = text.substr(0, text.find(' '));
      text.remove_prefix(value.size());
    }
    return true;
  }
  return false;
}

// Returns the last word before the line's time, or `file` if there is none.
std::string_view SourceOf(std::string_view text, std::string_view file) {
  std::string_view before = text.substr(0, text.find(kTimeKey));
  if (before.size() == text.size()) return file;
  const std::size_t last = before.find_last_not_of(' ');
  if (last == std::string_view::npos) return file;
  before = before.substr(0, last + 1);
  return before.substr(before.find_last_of(' ') + 1);
}

}  // namespace

const std::string& LogLine::Field(std::string_view key) const {
  static const std::string kEmpty;
  const auto found = fields.find(key);
  return found == fields.end() ? kEmpty : found->second;
}

bool LogLine::ConcernsRequest(std::string_view request_id) const {
  for (const std::string_view key : kRequestKeys) {
    if (Field(key) == request_id) return true;
  }
  return false;
}

std::optional<LogLine> ParseLogLine(std::string_view text,
                                    std::string_view file) {
  if (text.find(kEventKey) == std::string_view::npos) return std::nullopt;
  LogLine line;
  line.source = SourceOf(text, file);
  line.text = text;
  std::string key;
  std::string value;
  while (ParseNextField(text, key, value)) {
    if (key == "event") {
      line.event = value;
    } else if (key == "process") {
      line.process = value;
    } else {
      line.fields.insert_or_assign(key, value);
    }
  }
  if (line.event.empty()) return std::nullopt;
  return line;
}

}  // namespace balsam::explanation
