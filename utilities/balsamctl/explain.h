// `balsamctl explain ID`: reconstructs the timeline of one request from log
// files.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace balsam::ctl {

// Reads `files` ("-" is standard input) and prints to `out`. Errors and, on a
// terminal, progress are printed to standard error. Returns the exit code: 1 if
// a file cannot be read or no line concerns the request.
int ExplainRequest(const std::string& request_id,
                   const std::vector<std::string>& files, bool as_json,
                   std::ostream& out);

}  // namespace balsam::ctl
