// Parsing of a sidecar's settings.
#include "services/sidecar/sidecar_settings.h"

namespace balsam::sidecar {
namespace {

using settings::ObjectReader;
using std::chrono::milliseconds;

constexpr milliseconds kOneMillisecond{1};
constexpr milliseconds kMaxLimit = std::chrono::hours(24);
constexpr std::int64_t kMaxCapacityTokens = 1'000'000'000;

void ReadBackendServer(ObjectReader reader, SidecarSettings& settings) {
  settings.backend_url = settings::ReadUrl(reader, "url");
  settings.backend_kind =
      static_cast<BackendKind>(reader.Choice("kind", {"engine", "plain"}));
  const bool is_engine = settings.backend_kind == BackendKind::kEngine;
  settings.capacity_tokens =
      reader.Integer("capacity_tokens", 1, kMaxCapacityTokens,
                     is_engine ? std::nullopt : std::optional<std::int64_t>(1));
  settings.reserve_tokens =
      reader.Integer("reserve_tokens", 0, kMaxCapacityTokens, 0);
  settings.max_running = reader.Integer("max_running", 1, 100000, 256);
  settings.admission = static_cast<execution::AdmissionPolicy>(reader.Choice(
      "admission", {"forecast", "known_lengths", "resident", "immediate"}, 0));
  settings.backend_silence_limit =
      reader.Duration("silence_limit", kOneMillisecond, kMaxLimit,
                      settings.backend_silence_limit);
  settings.order_answer_limit =
      reader.Duration("order_answer_limit", kOneMillisecond, kMaxLimit,
                      settings.order_answer_limit);
  if (settings.reserve_tokens >= settings.capacity_tokens) {
    reader.AddProblem("reserve_tokens", "must be below capacity_tokens");
  }
  reader.ReportUnknownKeys();
}

void ReadLimits(ObjectReader reader, SidecarSettings& settings) {
  const auto read = [&reader](const std::string& key, milliseconds& value) {
    value = reader.Duration(key, kOneMillisecond, kMaxLimit, value);
  };
  read("reader_grace", settings.reader_grace);
  read("stop_deadline", settings.stop_deadline);
  read("key_lifetime", settings.key_lifetime);
  read("clock_error", settings.clock_error);
  read("removed_vm_grace", settings.removed_vm_grace);
  read("suspicion_lifetime", settings.suspicion_lifetime);
  read("pause_limit", settings.pause_limit);
  reader.ReportUnknownKeys();
}

}  // namespace

void SidecarSettings::Read(ObjectReader& root, SidecarSettings& settings) {
  settings.vm = settings::ReadVmIdentity(root.Object("vm"));
  settings.service = root.String("service");
  ObjectReader peers = root.Object("peers");
  settings.peers = settings::ReadListener(peers);
  settings.peer_key = settings::ReadSecret(peers, "key");
  peers.ReportUnknownKeys();
  ObjectReader operators = root.Object("operators");
  settings.operators = settings::ReadListener(operators);
  settings.operator_key = settings::ReadSecret(operators, "key");
  operators.ReportUnknownKeys();
  ObjectReader platform = root.Object("platform");
  settings.platform_url = settings::ReadUrl(platform, "url");
  platform.ReportUnknownKeys();
  ReadBackendServer(root.Object("backend_server"), settings);
  ReadLimits(root.Object("limits", false), settings);
  settings::CheckListeners(
      root, {{"peers", settings.peers}, {"operators", settings.operators}});
}

std::vector<settings::Problem> SidecarSettings::Load(
    const std::string& path, SidecarSettings& settings) {
  return settings::LoadSettings(
      path, [&settings](ObjectReader& root) { Read(root, settings); });
}

}  // namespace balsam::sidecar
