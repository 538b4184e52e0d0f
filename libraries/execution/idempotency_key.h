// The key of a non-idempotent call, which the caller sends again with every
// retry of that call.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "libraries/base/boot_clock.h"
#include "libraries/base/error.h"

namespace balsam::execution {

struct IdempotencyKey {
  std::string text;
  // When the caller created the key, by the caller's clock. Known for a UUID of
  // version 7 (RFC 9562), unset for any other text.
  std::optional<WallTime> created_at;

  bool operator==(const IdempotencyKey&) const = default;

  // Fails with kInvalidIdempotencyKey if `text` is empty, longer than 128
  // bytes or contains anything but visible ASCII characters.
  static Result<IdempotencyKey> Parse(std::string_view text);
};

}  // namespace balsam::execution
