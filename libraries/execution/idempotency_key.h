// A caller's key for a non-idempotent call, which it sends again with each
// repeat of the call.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "libraries/base/boot_clock.h"
#include "libraries/base/error.h"

namespace balsam::execution {

struct IdempotencyKey {
  std::string text;
  // When the caller made the key, by the caller's clock; known for a UUID of
  // version 7 (RFC 9562), absent for any other text.
  std::optional<WallTime> birth;

  bool operator==(const IdempotencyKey&) const = default;

  // Fails with kInvalidIdempotencyKey if `text` is empty, longer than 128
  // bytes or holds anything but visible ASCII.
  static Result<IdempotencyKey> Parse(std::string_view text);
};

}  // namespace balsam::execution
