// Parsing of an entry's settings.
#include "services/entry/entry_settings.h"

#include <algorithm>

namespace balsam::entry {
namespace {

using settings::ObjectReader;
using std::chrono::milliseconds;

constexpr milliseconds kOneMillisecond{1};
constexpr milliseconds kMaxLimit = std::chrono::hours(24);
constexpr std::int64_t kMaxThreads = 64;
constexpr std::int64_t kMaxBodyBytes = 16 << 20;

void ReadLimits(ObjectReader reader, EntrySettings& settings) {
  const auto read = [&reader](const std::string& key, milliseconds& value) {
    value = reader.Duration(key, kOneMillisecond, kMaxLimit, value);
  };
  settings.max_body_bytes = reader.Integer("max_body_bytes", 1, kMaxBodyBytes,
                                           settings.max_body_bytes);
  settings.retry_share =
      reader.Number("retry_share", 0.0, 1.0, settings.retry_share);
  settings.retry_burst =
      reader.Integer("retry_burst", 0, 10000, settings.retry_burst);
  read("resume_window", settings.resume_window);
  read("reader_stall_limit", settings.reader_stall_limit);
  read("stop_deadline", settings.stop_deadline);
  read("gossip_interval", settings.gossip_interval);
  read("suspicion_lifetime", settings.suspicion_lifetime);
  reader.ReportUnknownKeys();
}

}  // namespace

void EntrySettings::Read(ObjectReader& root, EntrySettings& settings) {
  settings.vm = settings::ReadVmIdentity(root.Object("vm"));
  ObjectReader callers = root.Object("callers");
  settings.callers = settings::ReadListener(callers);
  settings.threads = static_cast<int>(
      callers.Integer("threads", 1, kMaxThreads, settings.threads));
  callers.ReportUnknownKeys();
  ObjectReader peers = root.Object("peers");
  settings.peers = settings::ReadListener(peers);
  settings.peer_key = settings::ReadSecret(peers, "key");
  if (peers.Has("seeds")) {
    std::ranges::for_each(peers.Objects("seeds"), [&](ObjectReader seed) {
      settings.seeds.push_back(settings::ReadListener(seed));
      seed.ReportUnknownKeys();
    });
  }
  peers.ReportUnknownKeys();
  ObjectReader operators = root.Object("operators");
  settings.operators = settings::ReadListener(operators);
  settings.operator_key = settings::ReadSecret(operators, "key");
  operators.ReportUnknownKeys();
  ObjectReader platform = root.Object("platform");
  settings.platform_url = settings::ReadUrl(platform, "url");
  platform.ReportUnknownKeys();
  const std::vector<std::string> policies = {
      "forecast", "round_robin", "least_outstanding", "two_choices"};
  settings.placement = policies.at(root.Choice("placement", policies, 0));
  ReadLimits(root.Object("limits", false), settings);
  settings::CheckListeners(root, {{"callers", settings.callers},
                                  {"peers", settings.peers},
                                  {"operators", settings.operators}});
}

std::vector<settings::Problem> EntrySettings::Load(const std::string& path,
                                                   EntrySettings& settings) {
  return settings::LoadSettings(
      path, [&settings](ObjectReader& root) { Read(root, settings); });
}

}  // namespace balsam::entry
