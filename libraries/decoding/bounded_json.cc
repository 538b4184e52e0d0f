// The limits are checked before parsing, in one pass without recursion.
#include "libraries/decoding/bounded_json.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace balsam::decoding {
namespace {

using nlohmann::json;

// Counts brackets and commas outside of strings. In a text that is not JSON it
// may take other characters for a string than the parser, which fails there,
// but not before.
bool IsJsonWithinLimits(std::string_view text) {
  std::size_t depth = 0;
  std::size_t values = 1;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '"') {
      in_string = !in_string;
    } else if (in_string) {
      // The next character does not end the string.
      if (c == '\\') ++i;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxDepth || ++values > kMaxValues) return false;
    } else if (c == ']' || c == '}') {
      if (depth > 0) --depth;
    } else if (c == ',') {
      if (++values > kMaxValues) return false;
    }
  }
  return true;
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

json ParseCbor(std::string_view bytes) {
  if (!CborScanner(bytes).Scan()) return json(json::value_t::discarded);
  return json::from_cbor(bytes.begin(), bytes.end(), /*strict=*/true,
                         /*allow_exceptions=*/false);
}

}  // namespace balsam::decoding
