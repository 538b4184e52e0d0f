// Parses with nlohmann::json. Its SAX events contain no positions, so a
// counting iterator reports how far the lexer has read when each key is found.
#include "libraries/settings/json_document.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace balsam::settings {
namespace {

using nlohmann::json;

// Maximum nesting depth. Deeply nested documents would overflow the stack when
// they are copied or freed.
constexpr std::size_t kMaxDepth = 32;
// Later problems are not reported: the position of each is counted from the
// start of the text.
constexpr std::size_t kMaxProblems = 100;

// An input iterator over characters that reports its offset.
class CountingIterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  CountingIterator(const char* at, std::size_t* offset)
      : at_(at), offset_(offset) {}
  reference operator*() const { return *at_; }
  CountingIterator& operator++() {
    ++at_;
    ++*offset_;
    return *this;
  }
  CountingIterator operator++(int) {
    CountingIterator old = *this;
    ++*this;
    return old;
  }
  bool operator==(const CountingIterator& other) const {
    return at_ == other.at_;
  }
  bool operator!=(const CountingIterator& other) const {
    return at_ != other.at_;
  }

 private:
  const char* at_;
  std::size_t* offset_;
};

Position PositionAt(std::string_view text, std::size_t offset) {
  const std::string_view before = text.substr(0, std::min(offset, text.size()));
  const auto line = std::ranges::count(before, '\n') + 1;
  const auto start = before.rfind('\n');
  const auto column =
      before.size() - (start == std::string_view::npos ? 0 : start + 1) + 1;
  return {static_cast<int>(line), static_cast<int>(column)};
}

}  // namespace

// Receives the parser's events, checks them and records each key's position.
class PositionRecorder : public nlohmann::json_sax<json> {
 public:
  PositionRecorder(JsonDocument& document, std::string_view text,
                   const std::size_t& offset, std::vector<Problem>& problems)
      : document_(document),
        text_(text),
        offset_(offset),
        problems_(problems) {}

  bool null() override { return RecordElement(); }
  bool boolean(bool) override { return RecordElement(); }
  bool number_integer(number_integer_t) override { return RecordElement(); }
  bool number_unsigned(number_unsigned_t) override { return RecordElement(); }
  bool number_float(number_float_t, const string_t&) override {
    return RecordElement();
  }
  bool string(string_t&) override { return RecordElement(); }
  bool binary(binary_t&) override { return RecordElement(); }

  bool start_object(std::size_t) override {
    RecordElement();
    return EnterLevel(false);
  }
  bool end_object() override { return LeaveLevel(); }
  bool start_array(std::size_t) override {
    RecordElement();
    return EnterLevel(true);
  }
  bool end_array() override { return LeaveLevel(); }

  bool key(string_t& name) override {
    Level& level = levels_.back();
    level.token = EscapePointerToken(name);
    const std::size_t start = KeyOffset();
    if (!level.keys.insert(name).second) {
      problems_.push_back(
          {document_.source_, PositionAt(text_, start), name, "duplicate key"});
      if (problems_.size() >= kMaxProblems) return false;
    }
    document_.offsets_.emplace(Pointer(), start);
    return true;
  }

  bool parse_error(std::size_t at, const std::string&,
                   const nlohmann::detail::exception& error) override {
    std::string reason = error.what();
    // The prefix that the library adds repeats the position.
    const auto colon = reason.find(": ");
    if (colon != std::string::npos) reason = reason.substr(colon + 2);
    problems_.push_back({document_.source_,
                         PositionAt(text_, at == 0 ? 0 : at - 1), "", reason});
    return false;
  }

 private:
  struct Level {
    bool is_array;
    std::size_t next_index = 0;
    std::string token;
    std::set<std::string> keys;
  };

  bool RecordElement() {
    if (!levels_.empty() && levels_.back().is_array) {
      Level& level = levels_.back();
      level.token = std::to_string(level.next_index++);
      const std::size_t last = offset_ == 0 ? 0 : offset_ - 1;
      document_.offsets_.emplace(Pointer(), last);
    }
    return true;
  }

  bool EnterLevel(bool is_array) {
    if (levels_.size() >= kMaxDepth) {
      problems_.push_back({document_.source_, PositionAt(text_, offset_), "",
                           "nested deeper than 32 levels"});
      return false;
    }
    levels_.push_back({is_array, 0, "", {}});
    return true;
  }

  bool LeaveLevel() {
    levels_.pop_back();
    return true;
  }

  std::string Pointer() const {
    std::string pointer;
    std::ranges::for_each(levels_, [&pointer](const Level& level) {
      pointer += '/' + level.token;
    });
    return pointer;
  }

  // The lexer has just read the key's closing quote. The opening quote is the
  // nearest unescaped one before it.
  std::size_t KeyOffset() const {
    std::size_t at = std::min(offset_, text_.size());
    at = at == 0 ? 0 : text_.rfind('"', at - 1);
    if (at == std::string_view::npos || at == 0) return 0;
    do {
      at = text_.rfind('"', at - 1);
    } while (at != std::string_view::npos && at > 0 && text_[at - 1] == '\\');
    return at == std::string_view::npos ? 0 : at;
  }

  JsonDocument& document_;
  std::string_view text_;
  const std::size_t& offset_;
  std::vector<Problem>& problems_;
  std::vector<Level> levels_;
};

std::string EscapePointerToken(std::string_view token) {
  std::string out;
  std::ranges::for_each(token, [&out](char c) {
    out += c == '~' ? "~0" : c == '/' ? "~1" : std::string(1, c);
  });
  return out;
}

std::string Problem::ToLine() const {
  std::string line = source + ':' + std::to_string(position.line) + ':' +
                     std::to_string(position.column) + ": ";
  if (!key.empty()) line += '"' + key + "\": ";
  return line + reason;
}

JsonDocument JsonDocument::Parse(std::string source, std::string_view text,
                                 std::vector<Problem>& problems) {
  JsonDocument document;
  document.source_ = std::move(source);
  document.text_ = text;
  if (text.find_first_not_of(" \t\r\n") == std::string_view::npos) {
    problems.push_back({document.source_, {}, "", "the file is empty"});
    return document;
  }
  if (text.find('\0') != std::string_view::npos) {
    problems.push_back({document.source_, PositionAt(text, text.find('\0')), "",
                        "the file is binary, not JSON"});
    return document;
  }
  std::size_t offset = 0;
  PositionRecorder recorder(document, text, offset, problems);
  const CountingIterator begin(text.data(), &offset);
  const CountingIterator end(text.data() + text.size(), &offset);
  const bool parsed =
      json::sax_parse(begin, end, &recorder, json::input_format_t::json,
                      /*strict=*/true, /*ignore_comments=*/true);
  if (!parsed || !problems.empty()) return document;
  document.root_ = json::parse(text, nullptr, /*allow_exceptions=*/false,
                               /*ignore_comments=*/true);
  return document;
}

Position JsonDocument::PositionOf(std::string pointer) const {
  while (!pointer.empty()) {
    const auto found = offsets_.find(pointer);
    if (found != offsets_.end()) return PositionAt(text_, found->second);
    pointer.resize(pointer.rfind('/'));
  }
  return {};
}

}  // namespace balsam::settings
