// What logs tell of one request: its own lines, and what the process believed
// of the servers, the configuration and the store that decided it. Reads the
// lines of all processes in any interleaving, keeps little of them, and never
// goes by wall clocks, which jump.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libraries/explanation/log_line.h"

namespace balsam::explanation {

class RequestStory {
 public:
  explicit RequestStory(std::string request_id)
      : request_id_(std::move(request_id)) {}

  // Lines of one source come in the order in which they were written.
  void Add(const LogLine& line);

  // Within a process in the order of its log; a process that worked for
  // another comes before it, since that one writes when all is over.
  std::vector<LogLine> Lines() const;
  const std::string& request_id() const { return request_id_; }

 private:
  // Servers whose last change is remembered, for each source.
  static constexpr std::size_t kMaxServers = 4096;

  // What one process wrote.
  struct Source {
    // The last line of each kind that tells what the process believes, and of
    // each server.
    std::map<std::string, LogLine> beliefs;
    std::map<std::string, LogLine> servers;
    std::set<std::string> involved;
    std::vector<LogLine> story;
    // A line of the request was seen, and its end was not.
    bool is_open = false;
    // From here on lines that tell nothing of the request are context.
    bool has_context = false;
  };

  void AddOwn(Source& source, const LogLine& line);
  void Involve(Source& source, const std::string& server);

  std::string request_id_;
  std::map<std::string, Source> sources_;
};

}  // namespace balsam::explanation
