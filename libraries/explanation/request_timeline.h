// Collects the log lines that concern one request: its own lines, and the state
// of the servers, the configuration and the store that each process had logged
// when it handled the request. Accepts the lines of all processes in any
// interleaving, keeps few of them, and ignores wall clocks, which may jump.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libraries/explanation/log_line.h"

namespace balsam::explanation {

class RequestTimeline {
 public:
  explicit RequestTimeline(std::string request_id)
      : request_id_(std::move(request_id)) {}

  // Lines of the same source must be added in the order in which they were
  // written.
  void Add(const LogLine& line);

  // Returns the lines of each process in the order of its log. A sidecar comes
  // before the entry that called it, which writes its final line last.
  std::vector<LogLine> Lines() const;
  const std::string& request_id() const { return request_id_; }

 private:
  // Maximum number of servers whose last change is kept for each source.
  static constexpr std::size_t kMaxServers = 4096;

  // The relevant lines of one process.
  struct Source {
    // The last line of each kind of state, and the last line about each server.
    std::map<std::string, LogLine> state_lines;
    std::map<std::string, LogLine> server_lines;
    std::set<std::string> involved_servers;
    std::vector<LogLine> lines;
    // A line of the request was read, but not its final line.
    bool in_progress = false;
    // The state lines from before the request's first line were added.
    bool state_added = false;
  };

  void AddRequestLine(Source& source, const LogLine& line);
  void AddServer(Source& source, const std::string& server);

  std::string request_id_;
  std::map<std::string, Source> sources_;
};

}  // namespace balsam::explanation
