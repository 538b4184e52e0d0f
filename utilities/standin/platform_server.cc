// Reads, long polls, writes and faults of the stand-in platform.
#include "utilities/standin/platform_server.h"

#include <algorithm>
#include <cstdlib>

namespace balsam::standin {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kWatchCheckInterval{5};
constexpr std::string_view kValuesPrefix = "/v1/values/";

}  // namespace

PlatformServer::PlatformServer(QObject* parent) : QObject(parent) {
  connect(&watch_timer_, &QTimer::timeout, this, &PlatformServer::CheckWatches);
  watch_timer_.start(kWatchCheckInterval);
}

std::uint64_t PlatformServer::Publish(const std::string& name,
                                      const std::string& value) {
  auto& versions = values_[name].versions;
  const std::uint64_t revision =
      versions.empty() ? 1 : versions.back().revision + 1;
  versions.push_back({revision, value});
  return revision;
}

void PlatformServer::HandleRequest(const StandinHttpRequest& request,
                                   DeferredResponsePtr response) {
  if (request.path == "/counters") {
    response->SendJson(200, {{"calls", calls_}});
    return;
  }
  if (request.path == "/faults" && request.method == "POST") {
    const json body = json::parse(request.body, nullptr, false);
    if (body.is_object()) {
      down_ = body.value("down", down_);
      if (body.contains("stale")) {
        values_[body["stale"].value("name", "")].stale_revision =
            body["stale"].value("revision", std::uint64_t{0});
      }
    }
    response->SendJson(200, {{"down", down_}});
    return;
  }
  if (!request.path.starts_with(kValuesPrefix)) {
    response->SendJson(404, {{"error", "path does not exist"}});
    return;
  }
  if (request.method == "PUT") {
    Put(request, response);
    return;
  }
  ++calls_;
  if (down_) {
    response->CloseWithoutResponse();
    return;
  }
  Read(request, std::move(response));
}

const PlatformServer::Version* PlatformServer::VisibleVersion(
    const std::string& name) const {
  const auto value = values_.find(name);
  if (value == values_.end() || value->second.versions.empty()) return nullptr;
  const Value& found = value->second;
  if (found.stale_revision == 0) return &found.versions.back();
  const auto stale = std::ranges::find(found.versions, found.stale_revision,
                                       &Version::revision);
  return stale == found.versions.end() ? nullptr : &*stale;
}

bool PlatformServer::SendIfNewer(const std::string& name, std::uint64_t after,
                                 const DeferredResponsePtr& response) const {
  const Version* version = VisibleVersion(name);
  if (version == nullptr || version->revision <= after) return false;
  response->SendJson(
      200, {{"revision", version->revision}, {"value", version->value}});
  return true;
}

void PlatformServer::Read(const StandinHttpRequest& request,
                          DeferredResponsePtr response) {
  const std::string name = request.path.substr(kValuesPrefix.size());
  const std::uint64_t after =
      std::strtoull(request.parameter("after").c_str(), nullptr, 10);
  const std::chrono::milliseconds wait(
      std::atoll(request.parameter("wait_ms").c_str()));
  if (SendIfNewer(name, after, response)) return;
  if (wait.count() == 0) {
    response->Send(204, "");
    return;
  }
  watches_.push_back({name, after, std::move(response),
                      std::chrono::steady_clock::now() + wait});
}

void PlatformServer::Put(const StandinHttpRequest& request,
                         const DeferredResponsePtr& response) {
  const std::string name = request.path.substr(kValuesPrefix.size());
  const std::string expected = request.header("if-match");
  const auto value = values_.find(name);
  const std::uint64_t current =
      value == values_.end() || value->second.versions.empty()
          ? 0
          : value->second.versions.back().revision;
  if (!expected.empty() &&
      std::strtoull(expected.c_str(), nullptr, 10) != current) {
    response->SendJson(412, {{"error", "another revision was published"},
                             {"revision", current}});
    return;
  }
  response->SendJson(200, {{"revision", Publish(name, request.body)}});
}

void PlatformServer::CheckWatches() {
  const auto now = std::chrono::steady_clock::now();
  std::erase_if(watches_, [&](const Watch& watch) {
    if (!watch.response->IsOpen()) return true;
    if (down_) {
      watch.response->CloseWithoutResponse();
      return true;
    }
    if (SendIfNewer(watch.name, watch.after, watch.response)) return true;
    if (now < watch.until) return false;
    watch.response->Send(204, "");
    return true;
  });
}

}  // namespace balsam::standin
