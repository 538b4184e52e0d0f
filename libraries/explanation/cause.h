// Determines from a request's timeline why it ended as it did.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "libraries/explanation/log_line.h"

namespace balsam::explanation {

struct Cause {
  // A stable name, such as "engine_left_before_copy". See docs/OPERATIONS.md.
  std::string name;
  // A description for operators, without a full stop.
  std::string text;
  // The index of the line from which the cause follows, if there is one.
  std::optional<std::size_t> deciding_line;
};

// `timeline` holds the lines of one request in causal order.
Cause FindCause(const std::vector<LogLine>& timeline);

}  // namespace balsam::explanation
