// Selects the lines that concern a request. They are interpreted in cause.cc.
#include "libraries/explanation/request_timeline.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace balsam::explanation {
namespace {

// Events that end a request in a process.
constexpr std::array<std::string_view, 4> kFinalEvents = {
    "request", "concluded", "finished", "refused"};
constexpr std::string_view kConfiguration = "configuration";
// Events that report the state of a process. A later line replaces an earlier
// one with the same second name.
constexpr std::pair<std::string_view, std::string_view> kStateEvents[] = {
    {"started", "life"},
    {"stopping", "life"},
    {"draining", "life"},
    {"configuration_in_force", kConfiguration},
    {"templates_in_force", kConfiguration},
    {"store_lost", "store"},
    {"store_regained", "store"},
    {"platform_unavailable", "store"},
    {"vm_list", "directory"},
};
constexpr std::array<std::string_view, 4> kServerEvents = {
    "server_changed", "health_unwell", "report_leaving", "report_failed"};
// The fields of a request's lines that name servers.
constexpr std::array<std::string_view, 4> kServerFields = {"server", "from",
                                                           "to", "vm"};

// Number of processes between the caller and this one. Unknown processes count
// as entries.
int HopDistance(std::string_view process) {
  return process.find("sidecar") == std::string_view::npos ? 0 : 1;
}

}  // namespace

void RequestTimeline::AddServer(Source& source, const std::string& server) {
  if (server.empty() || !source.involved_servers.insert(server).second) return;
  const auto known = source.server_lines.find(server);
  if (known != source.server_lines.end()) source.lines.push_back(known->second);
}

void RequestTimeline::AddRequestLine(Source& source, const LogLine& line) {
  if (!std::exchange(source.state_added, true)) {
    for (const auto& [name, state_event] : source.state_lines) {
      source.lines.push_back(state_event);
    }
  }
  for (const std::string_view field : kServerFields) {
    AddServer(source, line.Field(field));
  }
  source.lines.push_back(line);
  source.in_progress =
      std::ranges::find(kFinalEvents, line.event) == kFinalEvents.end();
}

void RequestTimeline::Add(const LogLine& line) {
  Source& source = sources_[line.source];
  if (line.ConcernsRequest(request_id_)) {
    AddRequestLine(source, line);
    return;
  }
  if (std::ranges::find(kServerEvents, line.event) != kServerEvents.end()) {
    const std::string& server = line.Field("server");
    if (source.in_progress && source.involved_servers.contains(server)) {
      source.lines.push_back(line);
    }
    if (source.server_lines.size() < kMaxServers ||
        source.server_lines.contains(server)) {
      source.server_lines.insert_or_assign(server, line);
    }
    return;
  }
  const auto* const state_event =
      std::ranges::find(kStateEvents, std::string_view(line.event),
                        [](const auto& item) { return item.first; });
  if (state_event == std::end(kStateEvents)) return;
  // A request keeps the configuration under which it was admitted.
  if (source.in_progress && state_event->second != kConfiguration) {
    source.lines.push_back(line);
  }
  // A restarted process does not know the request.
  if (line.event == "started") source.in_progress = false;
  source.state_lines.insert_or_assign(std::string(state_event->second), line);
}

std::vector<LogLine> RequestTimeline::Lines() const {
  std::vector<const std::vector<LogLine>*> timelines;
  for (const auto& [name, source] : sources_) {
    if (!source.lines.empty()) timelines.push_back(&source.lines);
  }
  std::ranges::stable_sort(timelines, std::ranges::greater(),
                           [](const std::vector<LogLine>* timeline) {
                             return HopDistance(timeline->front().process);
                           });
  std::vector<LogLine> lines;
  for (const std::vector<LogLine>* timeline : timelines) {
    lines.insert(lines.end(), timeline->begin(), timeline->end());
  }
  return lines;
}

}  // namespace balsam::explanation
