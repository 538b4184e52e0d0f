// Long polling with exponential backoff.
#include "libraries/config_service/value_watcher.h"

#include <QUrlQuery>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "libraries/base/log_event.h"
#include "libraries/decoding/bounded_json.h"

namespace balsam::config_service {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// A request without a response this long after the time that the service may
// hold it is aborted.
constexpr milliseconds kResponseMargin{1000};
// A value that arrives more slowly is asked for again; a sender that trickles
// would hold the watch for ever.
constexpr std::size_t kMinBytesPerSecond = 32 << 10;
constexpr int kHttpOk = 200;
constexpr int kHttpNoContent = 204;

}  // namespace

ValueWatcher::ValueWatcher(std::string name, WatcherSettings settings,
                           QObject* parent)
    : QObject(parent),
      name_(std::move(name)),
      settings_(std::move(settings)),
      backoff_(settings_.min_backoff),
      random_(std::random_device{}()) {
  retry_timer_.setSingleShot(true);
  connect(&retry_timer_, &QTimer::timeout, this, [this] {
    if (watching_) SendRequest(settings_.long_poll_timeout);
  });
}

void ValueWatcher::SetWatching(bool watching) {
  if (watching_ == watching) return;
  watching_ = watching;
  if (watching_ && !request_in_progress_ && !retry_timer_.isActive()) {
    SendRequest(settings_.long_poll_timeout);
  }
}

void ValueWatcher::ReadOnce() {
  if (!request_in_progress_) SendRequest(milliseconds(0));
}

void ValueWatcher::SetKnownRevision(std::uint64_t revision) {
  known_revision_ = std::max(known_revision_, revision);
}

void ValueWatcher::SendRequest(milliseconds wait) {
  QUrl url = settings_.base_url.resolved(
      QUrl("/v1/values/" + QString::fromStdString(name_)));
  QUrlQuery query;
  query.addQueryItem("after", QString::number(known_revision_));
  query.addQueryItem("wait_ms", QString::number(wait.count()));
  url.setQuery(query);
  http::HttpCaller::Request request;
  request.url = url.toEncoded().toStdString();
  request.method = "GET";
  request.silence_limit = wait + kResponseMargin;
  request.min_bytes_per_second = kMinBytesPerSecond;
  ++calls_;
  request_in_progress_ = true;
  caller_.Send(std::move(request),
               [this](const http::HttpCaller::Response& response) {
                 OnResponse(response);
               });
}

void ValueWatcher::OnResponse(const http::HttpCaller::Response& response) {
  request_in_progress_ = false;
  const bool is_complete = response.end == http::HttpCaller::End::kComplete;
  const int status = is_complete ? response.head.status : 0;
  const json item = decoding::ParseJson(response.body);
  const bool has_value = status == kHttpOk && item.is_object() &&
                         item.contains("revision") &&
                         item["revision"].is_number_unsigned() &&
                         item.contains("value") && item["value"].is_string();
  if (!has_value && status != kHttpNoContent) {
    if (std::exchange(available_, false) && on_unavailable) {
      on_unavailable(name_ + ": " +
                     (is_complete ? "HTTP status " + std::to_string(status)
                                  : response.reason));
    }
    ScheduleRetry();
    return;
  }
  available_ = true;
  backoff_ = settings_.min_backoff;
  if (has_value && on_value) {
    const auto revision = item["revision"].get<std::uint64_t>();
    // Advance even if the value is rejected; otherwise each watch would return
    // it again immediately.
    SetKnownRevision(revision);
    on_value(revision, item["value"].get<std::string>());
  }
  if (on_response) on_response();
  if (!watching_ || request_in_progress_) return;
  // Avoids a tight loop if the service responds to watches immediately with a
  // value that is already known.
  retry_timer_.start(settings_.min_backoff);
}

void ValueWatcher::ScheduleRetry() {
  std::uniform_int_distribution<std::int64_t> jitter(backoff_.count() / 2,
                                                     backoff_.count());
  if (watching_) retry_timer_.start(milliseconds(jitter(random_)));
  backoff_ = std::min(backoff_ * 2, settings_.max_backoff);
}

}  // namespace balsam::config_service
