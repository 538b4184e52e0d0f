// Loading of settings files; checks of addresses and secrets.
#include "libraries/settings/process_settings.h"

#include <QFile>
#include <QHostAddress>
#include <QUrl>
#include <algorithm>
#include <map>

namespace balsam::settings {
namespace {

constexpr std::size_t kMinSecretBytes = 16;
constexpr qint64 kMaxFileBytes = 1 << 20;

bool IsIpAddress(const std::string& text) {
  return !QHostAddress(QString::fromStdString(text)).isNull();
}

}  // namespace

VmIdentity ReadVmIdentity(ObjectReader reader) {
  VmIdentity identity{reader.String("id"), reader.String("data_center")};
  const bool has_separator =
      identity.id.find_first_of("~: /") != std::string::npos;
  if (identity.id.empty() || has_separator) {
    reader.AddProblem("id",
                      "must not be empty or contain '~', ':', '/' or ' '");
  }
  reader.ReportUnknownKeys();
  return identity;
}

Listener ReadListener(ObjectReader& reader) {
  Listener listener;
  listener.address = reader.String("address");
  listener.port = static_cast<std::uint16_t>(reader.Integer("port", 0, 65535));
  if (!listener.address.empty() && !IsIpAddress(listener.address)) {
    reader.AddProblem("address", "must be an IP address");
  }
  return listener;
}

std::string ReadUrl(ObjectReader& reader, const std::string& key) {
  std::string text = reader.String(key);
  const QUrl url(QString::fromStdString(text), QUrl::StrictMode);
  const bool is_valid = url.isValid() && url.scheme() == "http" &&
                        url.port() > 0 && IsIpAddress(url.host().toStdString());
  if (!text.empty() && !is_valid) {
    reader.AddProblem(key, "must be like \"http://127.0.0.1:8000\"");
  }
  return text;
}

std::string ReadSecret(ObjectReader& reader, const std::string& key) {
  std::string secret = reader.String(key);
  if (secret.size() < kMinSecretBytes && reader.Has(key)) {
    reader.AddProblem(key, "must have at least 16 bytes");
  }
  return secret;
}

void CheckListeners(
    ObjectReader& root,
    const std::vector<std::pair<std::string, Listener>>& listeners) {
  std::map<std::pair<std::string, std::uint16_t>, std::string> listener_names;
  std::ranges::for_each(listeners, [&](const auto& entry) {
    const auto& [key, listener] = entry;
    if (listener.port == 0) return;
    const auto [existing, inserted] =
        listener_names.try_emplace({listener.address, listener.port}, key);
    if (!inserted) {
      root.AddProblem(key, "listens on " + listener.address + ":" +
                               std::to_string(listener.port) + ", as \"" +
                               existing->second + "\" does");
    }
  });
}

std::vector<Problem> LoadSettings(
    const std::string& path, const std::function<void(ObjectReader&)>& read) {
  QFile file(QString::fromStdString(path));
  if (!file.open(QIODevice::ReadOnly)) {
    return {{path, {}, "", file.errorString().toStdString()}};
  }
  if (file.size() > kMaxFileBytes) {
    return {{path, {}, "", "the file is larger than 1 MiB"}};
  }
  return ParseSettings(path, file.readAll().toStdString(), read);
}

std::vector<Problem> ParseSettings(
    const std::string& source, std::string_view text,
    const std::function<void(ObjectReader&)>& read) {
  std::vector<Problem> problems;
  const auto document = JsonDocument::Parse(source, text, problems);
  if (!problems.empty()) return problems;
  if (!document.root().is_object()) {
    return {{source, {}, "", "the settings must be an object"}};
  }
  ObjectReader root(document, "", problems);
  read(root);
  root.ReportUnknownKeys();
  return problems;
}

}  // namespace balsam::settings
