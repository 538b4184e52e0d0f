// Validates a key and reads the creation time from a version 7 UUID.
#include "libraries/execution/idempotency_key.h"

#include <algorithm>
#include <charconv>

namespace balsam::execution {
namespace {

constexpr std::size_t kMaxKeyBytes = 128;
constexpr std::size_t kUuidBytes = 36;
constexpr std::size_t kVersionOffset = 14;
constexpr int kHexadecimal = 16;

bool IsVisible(char c) { return c > ' ' && c < '\x7f'; }

bool IsUuidShaped(std::string_view text) {
  if (text.size() != kUuidBytes) return false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    const bool matches =
        dash ? text[i] == '-'
             : std::isxdigit(static_cast<unsigned char>(text[i]));
    if (!matches) return false;
  }
  return true;
}

// The first 48 bits of a version 7 UUID are milliseconds since 1970.
std::optional<WallTime> CreationTimeOf(std::string_view text) {
  if (!IsUuidShaped(text) || text[kVersionOffset] != '7') return std::nullopt;
  const std::string digits =
      std::string(text.substr(0, 8)) + std::string(text.substr(9, 4));
  std::int64_t milliseconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), milliseconds,
                  kHexadecimal);
  return WallTime(std::chrono::milliseconds(milliseconds));
}

}  // namespace

Result<IdempotencyKey> IdempotencyKey::Parse(std::string_view text) {
  if (text.empty() || text.size() > kMaxKeyBytes) {
    return Fail(ResultCode::kInvalidIdempotencyKey,
                "Idempotency-Key must have 1 to 128 bytes");
  }
  if (!std::ranges::all_of(text, IsVisible)) {
    return Fail(ResultCode::kInvalidIdempotencyKey,
                "Idempotency-Key must contain visible ASCII characters only");
  }
  return IdempotencyKey{std::string(text), CreationTimeOf(text)};
}

}  // namespace balsam::execution
