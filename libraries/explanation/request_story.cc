// Selects lines; what they mean is for cause.cc.
#include "libraries/explanation/request_story.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace balsam::explanation {
namespace {

// The request's last line in a process.
constexpr std::array<std::string_view, 4> kEnds = {"request", "concluded",
                                                   "finished", "refused"};
constexpr std::string_view kConfiguration = "configuration";
// What a process believes, under one name for lines that replace each other.
constexpr std::pair<std::string_view, std::string_view> kBeliefs[] = {
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
// The fields in which a request's lines name servers.
constexpr std::array<std::string_view, 4> kServerFields = {"server", "from",
                                                           "to", "vm"};

// How far a process is from the caller; unknown ones count as entries.
int HopOf(std::string_view process) {
  return process.find("sidecar") == std::string_view::npos ? 0 : 1;
}

}  // namespace

void RequestStory::Involve(Source& source, const std::string& server) {
  if (server.empty() || !source.involved.insert(server).second) return;
  const auto known = source.servers.find(server);
  if (known != source.servers.end()) source.story.push_back(known->second);
}

void RequestStory::AddOwn(Source& source, const LogLine& line) {
  if (!std::exchange(source.has_context, true)) {
    for (const auto& [name, belief] : source.beliefs) {
      source.story.push_back(belief);
    }
  }
  for (const std::string_view field : kServerFields) {
    Involve(source, line.Field(field));
  }
  source.story.push_back(line);
  source.is_open = std::ranges::find(kEnds, line.event) == kEnds.end();
}

void RequestStory::Add(const LogLine& line) {
  Source& source = sources_[line.source];
  if (line.IsOf(request_id_)) {
    AddOwn(source, line);
    return;
  }
  if (std::ranges::find(kServerEvents, line.event) != kServerEvents.end()) {
    const std::string& server = line.Field("server");
    if (source.is_open && source.involved.contains(server)) {
      source.story.push_back(line);
    }
    if (source.servers.size() < kMaxServers ||
        source.servers.contains(server)) {
      source.servers.insert_or_assign(server, line);
    }
    return;
  }
  const auto* const belief =
      std::ranges::find(kBeliefs, std::string_view(line.event),
                        [](const auto& item) { return item.first; });
  if (belief == std::end(kBeliefs)) return;
  // A request keeps the configuration that admitted it.
  if (source.is_open && belief->second != kConfiguration) {
    source.story.push_back(line);
  }
  // A new life knows nothing of the request.
  if (line.event == "started") source.is_open = false;
  source.beliefs.insert_or_assign(std::string(belief->second), line);
}

std::vector<LogLine> RequestStory::Lines() const {
  std::vector<const std::vector<LogLine>*> stories;
  for (const auto& [name, source] : sources_) {
    if (!source.story.empty()) stories.push_back(&source.story);
  }
  std::ranges::stable_sort(stories, std::ranges::greater(),
                           [](const std::vector<LogLine>* story) {
                             return HopOf(story->front().process);
                           });
  std::vector<LogLine> lines;
  for (const std::vector<LogLine>* story : stories) {
    lines.insert(lines.end(), story->begin(), story->end());
  }
  return lines;
}

}  // namespace balsam::explanation
