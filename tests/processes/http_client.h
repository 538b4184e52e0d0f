// A small synchronous HTTP client for tests of real processes.
#pragma once

#include <QElapsedTimer>
#include <QEventLoop>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace balsam::processes {

using Headers = std::map<std::string, std::string>;

struct HttpAnswer {
  // Zero if no answer came.
  int status = 0;
  std::string body;
  Headers headers;

  nlohmann::json Json() const {
    return nlohmann::json::parse(body, nullptr, false);
  }
  // The numbered code of an error answer; zero without one.
  int Code() const;
  std::string Ran() const;
};

// Runs the event loop until `done` or the time is over; returns `done()`.
bool WaitUntil(const std::function<bool()>& done,
               std::chrono::milliseconds limit);

// One request that is under way.
class Exchange {
 public:
  Exchange(const std::string& method, const std::string& url,
           const std::string& body, const Headers& headers);

  bool Wait(std::chrono::milliseconds limit = std::chrono::seconds(60));
  HttpAnswer answer() const;
  bool finished() const { return reply_->isFinished(); }
  // The text that came so far.
  const std::string& received() const { return received_; }
  // Leaves without waiting for the answer.
  void Abort() { reply_->abort(); }

 private:
  QNetworkAccessManager manager_;
  std::unique_ptr<QNetworkReply> reply_;
  std::string received_;
};

HttpAnswer Send(const std::string& method, const std::string& url,
                const std::string& body = "", const Headers& headers = {});

// What a reader of server-sent events has.
struct EventText {
  std::string text;
  std::string last_id;
  bool done = false;
  // The error event's envelope, or null.
  nlohmann::json error;
  int tokens = 0;
};
EventText ReadEvents(const std::string& received);

// " t0 t1 ..." as the stand-in engine writes `count` tokens from `first` on.
std::string ExpectedText(int first, int count);

}  // namespace balsam::processes
