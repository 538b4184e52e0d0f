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

struct HttpResponse {
  // Zero if there was no response.
  int status = 0;
  std::string body;
  Headers headers;

  nlohmann::json Json() const {
    return nlohmann::json::parse(body, nullptr, false);
  }
  // Returns the numeric result code of an error response; zero if there is
  // none.
  int Code() const;
  std::string Ran() const;
};

// Runs the event loop until `done` returns true or the time limit is reached.
// Returns false in the latter case.
bool WaitUntil(const std::function<bool()>& done,
               std::chrono::milliseconds limit);

// One request in flight.
class AsyncRequest {
 public:
  AsyncRequest(const std::string& method, const std::string& url,
               const std::string& body, const Headers& headers);

  bool Wait(std::chrono::milliseconds limit = std::chrono::seconds(60));
  HttpResponse response() const;
  bool finished() const { return reply_->isFinished(); }
  // The part of the body received so far.
  const std::string& received() const { return received_; }
  // Closes the connection without waiting for the response.
  void Abort() { reply_->abort(); }

 private:
  QNetworkAccessManager manager_;
  std::unique_ptr<QNetworkReply> reply_;
  std::string received_;
};

HttpResponse Send(const std::string& method, const std::string& url,
                  const std::string& body = "", const Headers& headers = {});

// The content of a stream of completion events.
struct EventStreamContent {
  std::string text;
  std::string last_id;
  bool done = false;
  // The error object of the error event, or null.
  nlohmann::json error;
  int tokens = 0;
};
EventStreamContent ParseEventStream(const std::string& received);

// Returns the text of `count` tokens from `first` on, as the stand-in engine
// generates it: " t0 t1 ...".
std::string ExpectedText(int first, int count);

}  // namespace balsam::processes
