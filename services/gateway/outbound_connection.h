// HTTP/1.1 connection to a backend server, a peer or the platform's store. It
// handles one request at a time and streams the response to callbacks.
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
#include "libraries/directory/presence_check.h"
#include "libraries/http1/message_parser.h"
#include "libraries/net/progress_limit.h"
#include "libraries/net/tcp_stream.h"

namespace balsam::gateway {

class OutboundConnection : public QObject {
  Q_OBJECT

 public:
  enum class EndReason {
    // The response is complete.
    kComplete,
    // The connection could not be opened; nothing was sent.
    kNotConnected,
    // The connection ended before any byte of the response arrived.
    kClosedWithoutResponse,
    // The connection ended within the response, or invalid bytes arrived.
    kBroken,
    // The response was not complete within the request's `response_timeout`, or
    // a bulk response made too little progress.
    kTimedOut,
  };

  static constexpr std::string_view NameOf(EndReason end) {
    switch (end) {
      case EndReason::kComplete:
        return "complete";
      case EndReason::kNotConnected:
        return "not_connected";
      case EndReason::kClosedWithoutResponse:
        return "closed_unanswered";
      case EndReason::kBroken:
        return "broken";
      case EndReason::kTimedOut:
        return "timed_out";
    }
    return "";
  }

  // Maximum body size of a response that `Call` returns. Many calls to servers
  // may be in progress at the same time.
  static constexpr std::size_t kMaxCallResponse = 128 << 10;
  // The same for calls of which there are only a few: pages of the store, and
  // the changes that a peer lacks, are a few MB at most.
  static constexpr std::size_t kMaxBulkResponse = 8 << 20;

  struct Timeouts {
    // From the connection attempt until the connection is established.
    std::chrono::milliseconds connect{400};
  };

  struct Request {
    // Head, and the body unless `body` has it.
    std::string bytes;
    // Sent after `bytes`, without a copy; may be null.
    std::shared_ptr<const std::string> body;
    bool is_head_request = false;
    // From `Send` to the end of the response; unlimited if unset.
    std::optional<std::chrono::milliseconds> response_timeout;
    std::function<void(const http1::ResponseHead&)> on_head;
    std::function<void(std::string_view)> on_body;
    // Called once. The connection may be reused if `reusable()` is true.
    std::function<void(EndReason)> on_end;
  };

  // A response, as far as it was received.
  struct Response {
    EndReason end = EndReason::kComplete;
    // What the attempt to connect came to.
    directory::Contact contact = directory::Contact::kAccepted;
    http1::ResponseHead head;
    std::string body;
  };

  OutboundConnection(directory::Endpoint endpoint, Timeouts timeouts,
                     QObject* parent);
  ~OutboundConnection() override;

  // Connects without a request. `on_opened` is called once, from the event
  // loop, unless `Abort` precedes it.
  void Open(std::function<void(directory::Contact)> on_opened);
  // Sends a request; none may be in progress. Connects first if necessary.
  void Send(Request request);
  // Sends a request without an id and returns its response as a whole. A
  // response that names a request, or is too long, counts as broken.
  // `on_response` is called once, unless the call is aborted. With bulk limits,
  // `response_timeout` is that of the first byte.
  void Call(std::string bytes, std::chrono::milliseconds response_timeout,
            std::function<void(const Response&)> on_response);
  // Ends the request in progress without a callback and closes the connection.
  void Abort();
  // Ends the request in progress as timed out.
  void GiveUp() { Finish(EndReason::kTimedOut); }
  // Allows responses of up to `kMaxBulkResponse` bytes to calls, which may take
  // as long as they make progress.
  void AllowBulkResponses(net::ProgressLimit::Limits limits) {
    bulk_limits_ = limits;
  }
  // While paused, no more of the response is read. Its end resumes reading.
  void SetPaused(bool paused);

  // Bytes that have arrived of the bulk response in progress.
  std::size_t received_bytes() const {
    return request_ != nullptr && progress_.has_value() ? progress_->bytes()
                                                        : 0;
  }
  // Connected, idle and able to send another request.
  bool reusable() const;
  // Whether the peer, while the connection is idle, wrote bytes or closed it,
  // which the event loop has not noticed yet.
  bool HasUnread() const { return stream_.HasUnread(); }
  // Whether the response, whose head must be complete, has neither a length nor
  // chunks, so that it ends with the connection.
  bool response_is_unframed() const {
    return parser_ != nullptr && parser_->ends_with_connection();
  }
  // Whether the peer closed the connection in an orderly way, so that it did
  // not break.
  bool closed_orderly() const { return closed_orderly_; }
  // Whether at least part of the request has been written.
  bool written() const { return written_; }
  const directory::Endpoint& endpoint() const { return endpoint_; }
  // Whether a response named no request. If the server writes it once more, it
  // looks like the response to a later request.
  bool has_nameless_response() const { return has_nameless_response_; }
  // How long the peer keeps an idle connection, as it last announced.
  std::optional<std::chrono::milliseconds> idle_limit() const {
    return idle_limit_;
  }

  // Whether a response names the request that it belongs to. None does if this
  // is unset.
  std::function<bool(const http1::ResponseHead&)> names_request;
  // Called with the head of any final response, before the request's `on_head`.
  // It belongs to the owner of the connection and persists across requests.
  std::function<void(const http1::ResponseHead&)> on_response_head;
  // The peer closed the idle connection, or sent unsolicited bytes.
  std::function<void()> on_idle_closed;

 private:
  void OnConnected();
  void OnConnectTimeout();
  // Ends an attempt to connect that failed.
  void OnNotConnected(directory::Contact contact);
  void ReportOpened();
  void OnReceived(std::string_view bytes);
  void OnClosed(net::CloseReason reason);
  void WriteRequest();
  void Parse();
  void OnResponseTimeout();
  void Finish(EndReason end);
  void ReportIdleClosed();

  directory::Endpoint endpoint_;
  Timeouts timeouts_;
  net::TcpStream stream_;
  QTimer connect_timer_;
  QTimer response_timer_;
  // Null while idle. Shared with the running callback, which may end the
  // request.
  std::shared_ptr<Request> request_;
  std::unique_ptr<http1::ResponseParser> parser_;
  // Null unless `Open` is in progress.
  std::function<void(directory::Contact)> on_opened_;
  // Received and not yet parsed.
  std::string input_;
  bool head_reported_ = false;
  std::optional<net::ProgressLimit::Limits> bulk_limits_;
  // Of the response in progress; unset if it is limited as a whole.
  std::optional<net::ProgressLimit> progress_;
  // Number of interim responses to this request.
  int interim_responses_ = 0;
  bool written_ = false;
  // What the latest attempt to connect came to.
  directory::Contact contact_ = directory::Contact::kAccepted;
  bool closed_orderly_ = false;
  // The connection cannot be used for another request.
  bool unusable_ = false;
  bool has_nameless_response_ = false;
  std::optional<std::chrono::milliseconds> idle_limit_;
};

}  // namespace balsam::gateway
