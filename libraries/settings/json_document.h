// A JSON document with comments that records the position of each key, so that
// every problem can be reported with line and column.
#pragma once

#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace balsam::settings {

struct Position {
  int line = 1;
  int column = 1;

  bool operator==(const Position&) const = default;
};

// One problem in a document, printable as one line.
struct Problem {
  std::string source;
  Position position;
  std::string key;
  std::string reason;

  std::string ToLine() const;
};

// Escapes one key for use in a JSON pointer (RFC 6901).
std::string EscapePointerToken(std::string_view token);

class JsonDocument {
 public:
  // Parses `text`. Syntax errors, trailing text, duplicate keys, an empty text
  // and a text that is not UTF-8 are added to `problems`; the document is then
  // not usable.
  static JsonDocument Parse(std::string source, std::string_view text,
                            std::vector<Problem>& problems);

  const nlohmann::json& root() const { return root_; }
  const std::string& source() const { return source_; }

  // Returns the position of the key that `pointer` (RFC 6901) names, or of the
  // closest enclosing key with a known position.
  Position PositionOf(std::string pointer) const;

 private:
  friend class PositionRecorder;

  std::string source_;
  nlohmann::json root_;
  std::string text_;
  // JSON pointer -> byte offset in `text_`. Offsets are converted to lines and
  // columns on demand; counting lines for each key would read the text again
  // every time.
  std::map<std::string, std::size_t> offsets_;
};

}  // namespace balsam::settings
