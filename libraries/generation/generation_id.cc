// Formatting and parsing of ids.
#include "libraries/generation/generation_id.h"

#include <charconv>

namespace balsam::generation {
namespace {

constexpr int kHexadecimal = 16;
constexpr int kDecimal = 10;
constexpr std::size_t kMaxTextBytes = 256;

std::string ToHex(std::uint64_t number) {
  char digits[kHexadecimal];
  const auto [end, error] =
      std::to_chars(digits, digits + sizeof(digits), number, kHexadecimal);
  return {digits, end};
}

std::optional<std::uint64_t> ParseNumber(std::string_view text, int base) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, number, base);
  if (text.empty() || error != std::errc() || rest != end) return std::nullopt;
  return number;
}

}  // namespace

std::string GenerationId::ToText() const {
  return vm + '~' + ToHex(incarnation) + '~' + ToHex(local_id);
}

std::optional<GenerationId> GenerationId::Parse(std::string_view text) {
  const auto last = text.rfind('~');
  if (text.size() > kMaxTextBytes || last == std::string_view::npos ||
      last == 0) {
    return std::nullopt;
  }
  const auto middle = text.rfind('~', last - 1);
  if (middle == std::string_view::npos || middle == 0) return std::nullopt;
  const auto incarnation =
      ParseNumber(text.substr(middle + 1, last - middle - 1), kHexadecimal);
  const auto local_id = ParseNumber(text.substr(last + 1), kHexadecimal);
  if (!incarnation.has_value() || !local_id.has_value()) return std::nullopt;
  return GenerationId{std::string(text.substr(0, middle)), *incarnation,
                      *local_id};
}

std::string EventId::ToText() const {
  return generation.ToText() + ':' + std::to_string(next);
}

std::optional<EventId> EventId::Parse(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const auto generation = GenerationId::Parse(text.substr(0, colon));
  const auto next = ParseNumber(text.substr(colon + 1), kDecimal);
  if (!generation.has_value() || !next.has_value()) return std::nullopt;
  return EventId{*generation, *next};
}

}  // namespace balsam::generation
