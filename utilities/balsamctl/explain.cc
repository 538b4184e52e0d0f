// Reads logs line by line, so that files of any size can be processed.
#include "utilities/balsamctl/explain.h"

#include <unistd.h>

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "libraries/explanation/cause.h"
#include "libraries/explanation/request_timeline.h"

namespace balsam::ctl {
namespace {

using explanation::Cause;
using explanation::LogLine;
using explanation::RequestTimeline;
using nlohmann::json;

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
// Bytes read between two progress messages.
constexpr std::size_t kProgressBytes = 64UL << 20;
constexpr std::size_t kMegabyte = 1UL << 20;

// Prints how much was read, if standard error is a terminal.
class Progress {
 public:
  void OnRead(std::size_t bytes) {
    read_ += bytes;
    if (!is_terminal_ || read_ - shown_ < kProgressBytes) return;
    shown_ = read_;
    std::cerr << '\r' << read_ / kMegabyte << " MB read" << std::flush;
  }
  ~Progress() {
    if (shown_ > 0) std::cerr << '\n';
  }

 private:
  bool is_terminal_ = isatty(STDERR_FILENO) == 1;
  std::size_t read_ = 0;
  std::size_t shown_ = 0;
};

void ReadLog(std::istream& input, const std::string& name, Progress& progress,
             RequestTimeline& timeline) {
  std::string text;
  while (std::getline(input, text)) {
    progress.OnRead(text.size() + 1);
    const auto line = explanation::ParseLogLine(text, name);
    if (line.has_value()) timeline.Add(*line);
  }
}

json ToJson(const std::string& request_id, const std::vector<LogLine>& lines,
            const Cause& cause) {
  json all = {{"id", request_id},
              {"cause", cause.name},
              {"text", cause.text},
              {"lines", json::array()}};
  if (cause.deciding_line.has_value()) {
    all["deciding_line"] = *cause.deciding_line;
  }
  for (const LogLine& line : lines) {
    all["lines"].push_back({{"source", line.source},
                            {"event", line.event},
                            {"fields", line.fields}});
  }
  return all;
}

void Print(const std::string& request_id, const std::vector<LogLine>& lines,
           const Cause& cause, std::ostream& out) {
  out << "request " << request_id << ": " << cause.name << '\n'
      << "  " << cause.text << "\n\n";
  for (std::size_t i = 0; i < lines.size(); ++i) {
    out << (cause.deciding_line == i ? "> " : "  ") << lines[i].source
        << " event=" << lines[i].event;
    for (const auto& [key, value] : lines[i].fields) {
      if (key != "time" && key != "level") out << ' ' << key << '=' << value;
    }
    out << '\n';
  }
}

}  // namespace

int ExplainRequest(const std::string& request_id,
                   const std::vector<std::string>& files, bool as_json,
                   std::ostream& out) {
  RequestTimeline timeline(request_id);
  Progress progress;
  for (const std::string& name : files) {
    if (name == "-") {
      ReadLog(std::cin, name, progress, timeline);
      continue;
    }
    std::ifstream file(name);
    if (!file) {
      std::cerr << "balsamctl: cannot read " << name << '\n';
      return kExitFailure;
    }
    ReadLog(file, name, progress, timeline);
  }
  const std::vector<LogLine> lines = timeline.Lines();
  const Cause cause = explanation::FindCause(lines);
  if (as_json) {
    out << ToJson(request_id, lines, cause).dump(2) << '\n';
  } else {
    Print(request_id, lines, cause, out);
  }
  return lines.empty() ? kExitFailure : kExitOk;
}

}  // namespace balsam::ctl
