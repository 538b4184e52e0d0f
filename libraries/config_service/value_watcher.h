// Follows one value of the platform's configuration service: with long polls
// while this process is one of the watchers of its data centre, and with single
// reads otherwise.
#pragma once

#include <QObject>
#include <QTimer>
#include <QUrl>
#include <chrono>
#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include "libraries/http/http_caller.h"

namespace balsam::config_service {

struct WatcherSettings {
  QUrl base_url;
  // How long the service may hold a watch before it responds that there is no
  // newer value. A connection that broke silently is not detected any sooner.
  std::chrono::milliseconds long_poll_timeout{1500};
  std::chrono::milliseconds min_backoff{250};
  std::chrono::milliseconds max_backoff{1500};
};

class ValueWatcher : public QObject {
  Q_OBJECT

 public:
  ValueWatcher(std::string name, WatcherSettings settings,
               QObject* parent = nullptr);

  // Starts watching, or stops after the request in progress.
  void SetWatching(bool watching);
  // Reads the value once, without waiting for a change; does nothing while a
  // request is in progress.
  void ReadOnce();
  // Raises the revision after which the next watch waits for a change; a lower
  // one is ignored.
  void SetKnownRevision(std::uint64_t revision);

  bool watching() const { return watching_; }
  // Whether the last request succeeded.
  bool available() const { return available_; }
  std::uint64_t calls() const { return calls_; }

  // Called when a value was read; its revision may be lower than an earlier
  // one.
  std::function<void(std::uint64_t revision, const std::string& text)> on_value;
  // Called after a successful response, with or without a value.
  std::function<void()> on_response;
  // Called when a request fails after one that succeeded.
  std::function<void(const std::string& reason)> on_unavailable;

 private:
  void SendRequest(std::chrono::milliseconds wait);
  void OnResponse(const http::HttpCaller::Response& response);
  void ScheduleRetry();

  std::string name_;
  WatcherSettings settings_;
  http::HttpCaller caller_;
  bool request_in_progress_ = false;
  QTimer retry_timer_;
  bool watching_ = false;
  bool available_ = false;
  std::uint64_t known_revision_ = 0;
  std::uint64_t calls_ = 0;
  std::chrono::milliseconds backoff_;
  std::minstd_rand random_;
};

}  // namespace balsam::config_service
