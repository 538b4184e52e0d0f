// The limits are checked before parsing, in one pass without recursion.
#include "libraries/decoding/bounded_json.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace balsam::decoding {
namespace {

using nlohmann::json;

bool IsSpace(char c) { return c == ' ' || c == '\t' || c == '\n' || c == '\r'; }

// Whether the character stands for itself in any JSON string.
bool IsPlain(char c) { return c >= ' ' && c < '\x7f' && c != '"' && c != '\\'; }

// Returns the position after the string that begins at `begin`, or the length
// of the text if it does not end.
std::size_t SkipString(std::string_view text, std::size_t begin) {
  // A longer string without escapes is scanned by the library, several
  // characters at a time.
  constexpr std::size_t kShort = 64;
  for (std::size_t i = begin + 1; i < text.size(); ++i) {
    if (i == begin + kShort) {
      const std::size_t quote = text.find('"', i);
      if (quote == std::string_view::npos) return text.size();
      if (text.substr(i, quote - i).find('\\') == std::string_view::npos) {
        return quote + 1;
      }
    }
    if (text[i] == '"') return i + 1;
    if (text[i] == '\\') ++i;
  }
  return text.size();
}

// Calls `on_character` with the position and the depth of each character
// outside of strings, and at the beginning of each string, from `begin` until
// it returns true. Returns that position, or the length of the text.
template <typename Callback>
std::size_t ScanJson(std::string_view text, std::size_t begin,
                     Callback&& on_character) {
  std::size_t depth = 0;
  for (std::size_t i = begin; i < text.size();) {
    const char c = text[i];
    if ((c == ']' || c == '}') && depth > 0) --depth;
    if (on_character(i, depth)) return i;
    if (c == '[' || c == '{') ++depth;
    i = c == '"' ? SkipString(text, i) : i + 1;
  }
  return text.size();
}

// Counts brackets and commas outside of strings. In a text that is not JSON it
// may take other characters for a string than the parser, which fails there,
// but not before.
bool IsJsonWithinLimits(std::string_view text) {
  std::size_t values = 1;
  const auto exceeds = [&](std::size_t i, std::size_t depth) {
    const char c = text[i];
    if (c == '[' || c == '{') {
      return depth >= kMaxDepth || ++values > kMaxValues;
    }
    return c == ',' && ++values > kMaxValues;
  };
  return ScanJson(text, 0, exceeds) == text.size();
}

// Returns the position of the '[' of the array `member` of the object that is
// the text; nothing if there is none.
std::optional<std::size_t> FindArray(std::string_view text,
                                     std::string_view member) {
  const auto after_spaces = [&](std::size_t position) {
    while (position < text.size() && IsSpace(text[position])) ++position;
    return position;
  };
  std::optional<std::size_t> found;
  ScanJson(text, 0, [&](std::size_t i, std::size_t depth) {
    const std::size_t name_end = i + 1 + member.size();
    if (depth != 1 || text[i] != '"' || name_end >= text.size() ||
        text.substr(i + 1, member.size()) != member || text[name_end] != '"') {
      return false;
    }
    const std::size_t colon = after_spaces(name_end + 1);
    if (colon >= text.size() || text[colon] != ':') return false;
    const std::size_t value = after_spaces(colon + 1);
    if (value < text.size() && text[value] == '[') found = value;
    return true;
  });
  return found;
}

// Reads the heads of data items (RFC 8949, section 3).
class CborScanner {
 public:
  explicit CborScanner(std::string_view bytes) : rest_(bytes) {}

  // Whether there is exactly one item, complete and within the limits.
  bool Scan() {
    // How many items are still to come in each open array or map.
    std::vector<std::uint64_t> open = {1};
    for (std::size_t values = 0; !open.empty();) {
      if (open.back() == 0) {
        open.pop_back();
        continue;
      }
      --open.back();
      const auto head = TakeHead();
      if (!head.has_value() || ++values > kMaxValues) return false;
      switch (head->type) {
        case Type::kUnsigned:
        case Type::kNegative:
        case Type::kSimple:
          break;
        case Type::kText:
          if (head->argument > rest_.size()) return false;
          rest_.remove_prefix(static_cast<std::size_t>(head->argument));
          break;
        case Type::kArray:
        case Type::kMap: {
          // Each item takes a byte at least.
          if (head->argument > rest_.size() || open.size() > kMaxDepth) {
            return false;
          }
          const bool is_map = head->type == Type::kMap;
          open.push_back(is_map ? 2 * head->argument : head->argument);
          break;
        }
      }
    }
    return rest_.empty();
  }

 private:
  enum class Type : std::uint8_t {
    kUnsigned = 0,
    kNegative = 1,
    kText = 3,
    kArray = 4,
    kMap = 5,
    kSimple = 7,
  };
  struct Head {
    Type type;
    // The value, the length in bytes, or the number of items.
    std::uint64_t argument;
  };

  // Returns nothing for an item that is not accepted.
  std::optional<Head> TakeHead() {
    constexpr int kTypeShift = 5;
    constexpr std::uint8_t kInfoMask = 0x1f;
    constexpr std::uint8_t kFirstLongArgument = 24;
    constexpr std::uint8_t kLastLongArgument = 27;
    constexpr std::uint8_t kFalse = 20;
    constexpr std::uint8_t kNull = 22;
    if (rest_.empty()) return std::nullopt;
    const auto first = static_cast<std::uint8_t>(rest_.front());
    rest_.remove_prefix(1);
    const auto type = static_cast<Type>(first >> kTypeShift);
    const std::uint8_t info = first & kInfoMask;
    switch (type) {
      case Type::kUnsigned:
      case Type::kNegative:
      case Type::kText:
      case Type::kArray:
      case Type::kMap:
        break;
      case Type::kSimple:
        // Not floating-point numbers: nothing sends them.
        if (info < kFalse || info > kNull) return std::nullopt;
        return Head{type, info};
      default:
        return std::nullopt;
    }
    if (info < kFirstLongArgument) return Head{type, info};
    // Items of unknown length are not accepted.
    if (info > kLastLongArgument) return std::nullopt;
    const std::size_t length = std::size_t{1} << (info - kFirstLongArgument);
    if (rest_.size() < length) return std::nullopt;
    std::uint64_t argument = 0;
    for (const char byte : rest_.substr(0, length)) {
      argument = argument << 8 | static_cast<std::uint8_t>(byte);
    }
    rest_.remove_prefix(length);
    return Head{type, argument};
  }

  std::string_view rest_;
};

}  // namespace

json ParseJson(std::string_view text) {
  if (!IsJsonWithinLimits(text)) return json(json::value_t::discarded);
  return json::parse(text, nullptr, /*allow_exceptions=*/false);
}

CutJson CutLongStrings(std::string_view text, std::size_t min_bytes,
                       std::string_view mark) {
  CutJson cut;
  std::size_t copied = 0;
  ScanJson(text, 0, [&](std::size_t i, std::size_t) {
    if (text[i] != '"') return false;
    const std::size_t end = SkipString(text, i);
    if (end - i <= min_bytes + 2 || text[end - 1] != '"') return false;
    const std::string_view content = text.substr(i + 1, end - i - 2);
    if (!std::ranges::all_of(content, IsPlain)) return false;
    cut.rest += text.substr(copied, i + 1 - copied);
    cut.rest += mark;
    cut.rest += std::to_string(cut.strings.size());
    copied = end - 1;
    cut.strings.push_back(content);
    return false;
  });
  cut.rest += text.substr(copied);
  return cut;
}

std::optional<SplitObject> SplitMember(std::string_view text,
                                       std::string_view member) {
  const auto begin = FindArray(text, member);
  if (!begin.has_value()) return std::nullopt;
  SplitObject split;
  std::size_t element = *begin + 1;
  const std::size_t end =
      ScanJson(text, *begin, [&](std::size_t i, std::size_t depth) {
        const bool ends_array = depth == 0 && i > *begin;
        if (ends_array || (depth == 1 && text[i] == ',')) {
          split.elements.push_back(text.substr(element, i - element));
          element = i + 1;
        }
        return ends_array || split.elements.size() > kMaxValues;
      });
  if (end == text.size() || text[end] != ']') return std::nullopt;
  if (split.elements.size() == 1 &&
      std::ranges::all_of(split.elements[0], IsSpace)) {
    split.elements.clear();
  }
  split.rest.reserve(text.size() - (end - *begin) + 1);
  split.rest += text.substr(0, *begin + 1);
  split.rest += text.substr(end);
  return split;
}

json ParseCbor(std::string_view bytes) {
  if (!CborScanner(bytes).Scan()) return json(json::value_t::discarded);
  return json::from_cbor(bytes.begin(), bytes.end(), /*strict=*/true,
                         /*allow_exceptions=*/false);
}

}  // namespace balsam::decoding
