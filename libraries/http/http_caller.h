// Makes single HTTP calls with libcurl on Qt's event loop. Unlike
// QNetworkAccessManager it tells a connection that was reset from one that was
// closed, and only the latter ends a response without a length. What is a
// response, and where it ends, is decided by http1::ResponseParser.
#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/http1/message_head.h"

class QSocketNotifier;

namespace balsam::http {

class HttpCaller : public QObject {
  Q_OBJECT

 public:
  struct Request {
    std::string url;
    std::string method;
    // "Name: value".
    std::vector<std::string> fields;
    std::string body;
    // A call without received data for this long is broken.
    std::chrono::milliseconds silence_limit{0};
    // If set, one that receives less is broken, too (`net::ProgressLimit`). Not
    // for streams, which may pause.
    std::optional<std::size_t> min_bytes_per_second;
    // A longer body breaks the call, in bytes. Not for `on_body`, whose owner
    // ends the call itself.
    std::size_t max_body_bytes = std::size_t{8} << 20;
    // If set, receives the body as it arrives; `Response::body` stays empty.
    // Called from the event loop, and may abort any call.
    std::function<void(const http1::ResponseHead&, std::string_view)> on_body;
  };

  enum class End {
    kComplete,
    // No connection was established, so that nothing was sent.
    kNotSent,
    // The response is missing or not known to be complete.
    kBroken,
  };

  struct Response {
    End end = End::kBroken;
    // Its status is zero if no valid head was received in full.
    http1::ResponseHead head;
    // What was received of the body.
    std::string body;
    // Why the call did not complete.
    std::string reason;
  };

  using Id = std::uint64_t;
  using OnResponse = std::function<void(Response)>;

  explicit HttpCaller(QObject* parent = nullptr);
  ~HttpCaller() override;

  // Sends the request once, on a connection of its own. `on_response` is called
  // from the event loop, unless the call is aborted before.
  Id Send(Request request, OnResponse on_response);
  // Ends the call without a callback. An unknown id is ignored.
  void Abort(Id id);

 private:
  struct Call;
  struct Multi;

  void WatchSocket(int socket, int events);
  void OnSocketReady(int socket, int events);
  void OnSilence(Id id);
  // Hands out the bodies that have arrived.
  void DeliverBodies();
  // Reports the calls that libcurl has finished.
  void ReportFinished();
  void Finish(Id id, Response response);

  std::unique_ptr<Multi> multi_;
  std::map<Id, std::unique_ptr<Call>> calls_;
  Id last_id_ = 0;
  // Calls with a part of a body to hand out.
  std::vector<Id> with_new_body_;
  // Notifiers of a socket, for reading and writing.
  std::map<int, std::vector<std::unique_ptr<QSocketNotifier>>> notifiers_;
  QTimer timer_;
};

}  // namespace balsam::http
