// An HTTP/1.1 connection to a backend server, to a peer or to the platform's
// store: one request at a time, its answer streamed to callbacks.
#pragma once

#include <QPointer>
#include <QTimer>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/directory/backend_directory.h"
#include "libraries/http1/message_parser.h"
#include "libraries/net/tcp_stream.h"

namespace balsam::gateway {

class OutboundConnection : public QObject {
  Q_OBJECT

 public:
  enum class End {
    // The answer is complete.
    kComplete,
    // The connection could not be opened; nothing was sent.
    kNotConnected,
    // It ended before any byte of the answer came.
    kClosedUnanswered,
    // It ended, or bytes came that are no answer, within the answer.
    kBroken,
    // The answer was not complete within the request's `answer_time`.
    kTimedOut,
  };

  static constexpr std::string_view NameOf(End end) {
    switch (end) {
      case End::kComplete:
        return "complete";
      case End::kNotConnected:
        return "not_connected";
      case End::kClosedUnanswered:
        return "closed_unanswered";
      case End::kBroken:
        return "broken";
      case End::kTimedOut:
        return "timed_out";
    }
    return "";
  }

  // Bytes of the body of an answer that is handed over whole. The longest are a
  // page of the store and the changes that a peer lacks, of a few MB at most.
  static constexpr std::size_t kMaxCallAnswer = 8 << 20;

  struct Timeouts {
    // From the request for a connection until it stands.
    std::chrono::milliseconds connect{400};
  };

  struct Request {
    // Head and body.
    std::string bytes;
    bool is_head_request = false;
    // From `Send` to the end of the answer; unset: as long as it takes.
    std::optional<std::chrono::milliseconds> answer_time;
    std::function<void(const http1::ResponseHead&)> on_head;
    std::function<void(std::string_view)> on_body;
    // Called once. The connection may be reused if `reusable()` holds.
    std::function<void(End)> on_end;
  };

  // A whole answer; empty as far as it did not come.
  struct Answer {
    End end = End::kComplete;
    http1::ResponseHead head;
    std::string body;
  };

  OutboundConnection(directory::Endpoint endpoint, Timeouts timeouts,
                     QObject* parent);
  ~OutboundConnection() override;

  // Sends a request; none may be under way. Connects first if need be.
  void Send(Request request);
  // Sends a request whose answer is short, and hands it over whole; one that is
  // longer than `kMaxCallAnswer` is broken. `on_answer` is called once, unless
  // the call is aborted.
  void Call(std::string bytes, std::chrono::milliseconds answer_time,
            std::function<void(const Answer&)> on_answer);
  // Ends whatever is under way without a callback; the peer sees a close.
  void Abort();
  // While set, no more of the answer is read.
  void SetPaused(bool paused);

  // Idle, open, and fit for another request.
  bool reusable() const;
  // Whether the request has been written, in part at least.
  bool written() const { return written_; }
  const directory::Endpoint& endpoint() const { return endpoint_; }
  // How long an idle connection may be kept, as the peer last stated it.
  std::optional<std::chrono::milliseconds> idle_limit() const {
    return idle_limit_;
  }

  // The head of any final answer came; called before the request's `on_head`.
  // Belongs to whoever keeps the connection, and outlives requests.
  std::function<void(const http1::ResponseHead&)> on_answer_head;
  // The idle connection was closed by the peer or got bytes unasked.
  std::function<void()> on_idle_closed;

 private:
  void OnConnected();
  void OnReceived(std::string_view bytes);
  void OnClosed(net::CloseReason reason);
  void WriteRequest();
  void Parse();
  void Finish(End end);
  void ReportIdleClosed();

  directory::Endpoint endpoint_;
  Timeouts timeouts_;
  net::TcpStream stream_;
  QTimer connect_timer_;
  QTimer answer_timer_;
  // Null while idle. Shared with the callback that runs, which may end it.
  std::shared_ptr<Request> request_;
  std::unique_ptr<http1::ResponseParser> parser_;
  // Received and not yet parsed.
  std::string input_;
  bool head_reported_ = false;
  // Interim answers to this request.
  int interim_answers_ = 0;
  bool written_ = false;
  // An answer ended in a way that forbids another request.
  bool spoiled_ = false;
  std::optional<std::chrono::milliseconds> idle_limit_;
};

}  // namespace balsam::gateway
