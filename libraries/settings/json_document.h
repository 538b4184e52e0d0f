// A JSON document with comments that remembers where each key stands, so that
// every later complaint can name a line and a column.
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

// One complaint about a document, printable as one line.
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

  // Returns the place of the key that `pointer` (RFC 6901) names, or of the
  // nearest enclosing key that has one.
  Position PositionOf(std::string pointer) const;

 private:
  friend class PositionRecorder;

  std::string source_;
  nlohmann::json root_;
  std::string text_;
  // Byte offsets into `text_`. Lines are counted only when a place is asked
  // for: to count them for each key would read a long text over and over.
  std::map<std::string, std::size_t> offsets_;
};

}  // namespace balsam::settings
