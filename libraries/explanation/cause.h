// Names the cause of a request's end from its story.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "libraries/explanation/log_line.h"

namespace balsam::explanation {

struct Cause {
  // A stable name, such as "engine_left_before_copy"; see docs/OPERATIONS.md.
  std::string name;
  // One sentence for people.
  std::string text;
  // The index of the line that decides; nothing if no line does.
  std::optional<std::size_t> deciding_line;
};

// `story`: the lines of one request, in causal order.
Cause FindCause(const std::vector<LogLine>& story);

}  // namespace balsam::explanation
