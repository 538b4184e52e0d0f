// The client side of HTTP/1.1.
#include "services/gateway/outbound_connection.h"

#include <algorithm>
#include <charconv>

#include "libraries/base/log_event.h"

namespace balsam::gateway {
namespace {

constexpr http1::ParseLimits kResponseLimits{
    .head_bytes = 64 << 10,
    .body_bytes = std::uint64_t{1} << 40,
    .fields = 256};
// A server that sends more interim responses than this is assumed never to send
// the final one.
constexpr int kMaxInterimResponses = 16;
// A longer time is meaningless, and would overflow in milliseconds.
constexpr std::chrono::seconds kMaxKeepAlive = std::chrono::hours(24);

std::optional<std::chrono::milliseconds> KeepAliveTimeout(
    const http1::FieldList& fields) {
  const std::string* value = fields.Find("Keep-Alive");
  if (value == nullptr) return std::nullopt;
  constexpr std::string_view kName = "timeout=";
  const std::size_t begin = value->find(kName);
  if (begin == std::string::npos) return std::nullopt;
  std::int64_t seconds = 0;
  const char* first = value->data() + begin + kName.size();
  const auto [number_end, error] =
      std::from_chars(first, value->data() + value->size(), seconds);
  if (error != std::errc() || seconds < 0) return std::nullopt;
  return std::min(std::chrono::seconds(seconds), kMaxKeepAlive);
}

// The length of the body as far as it is announced, and accepted.
std::size_t AnnouncedBytes(const http1::FieldList& fields) {
  const std::string* value = fields.Find("Content-Length");
  if (value == nullptr) return 0;
  std::size_t bytes = 0;
  const char* last = value->data() + value->size();
  const auto [end, error] = std::from_chars(value->data(), last, bytes);
  return error == std::errc() && end == last
             ? std::min(bytes, OutboundConnection::kMaxBulkResponse)
             : 0;
}

}  // namespace

OutboundConnection::OutboundConnection(directory::Endpoint endpoint,
                                       Timeouts timeouts, QObject* parent)
    : QObject(parent), endpoint_(std::move(endpoint)), timeouts_(timeouts) {
  connect_timer_.setSingleShot(true);
  connect(&stream_, &net::TcpStream::Connected, this,
          &OutboundConnection::OnConnected);
  connect(&stream_, &net::TcpStream::Received, this,
          &OutboundConnection::OnReceived);
  connect(&stream_, &net::TcpStream::Closed, this,
          &OutboundConnection::OnClosed);
  connect(&connect_timer_, &QTimer::timeout, this,
          &OutboundConnection::OnConnectTimeout);
  stream_.SetWritesAfterPeerClose(true);
  response_timer_.setSingleShot(true);
  connect(&response_timer_, &QTimer::timeout, this,
          &OutboundConnection::OnResponseTimeout);
}

OutboundConnection::~OutboundConnection() { stream_.Abort(); }

void OutboundConnection::Open(
    std::function<void(directory::Contact)> on_opened) {
  on_opened_ = std::move(on_opened);
  connect_timer_.start(timeouts_.connect);
  stream_.Connect(endpoint_.ip, endpoint_.port);
}

void OutboundConnection::OnConnectTimeout() {
  stream_.Abort();
  OnNotConnected(directory::Contact::kTimedOut);
}

void OutboundConnection::OnNotConnected(directory::Contact contact) {
  contact_ = contact;
  unusable_ = true;
  if (on_opened_ != nullptr) {
    ReportOpened();
  } else {
    Finish(EndReason::kNotConnected);
  }
}

void OutboundConnection::ReportOpened() {
  connect_timer_.stop();
  // The callback may end this connection's lease.
  const auto on_opened = std::exchange(on_opened_, nullptr);
  on_opened(contact_);
}

void OutboundConnection::Send(Request request) {
  request_ = std::make_shared<Request>(std::move(request));
  parser_ = std::make_unique<http1::ResponseParser>(kResponseLimits,
                                                    request_->is_head_request);
  head_reported_ = false;
  interim_responses_ = 0;
  written_ = false;
  progress_.reset();
  if (bulk_limits_.has_value()) progress_.emplace(*bulk_limits_);
  if (request_->response_timeout.has_value()) {
    response_timer_.start(*request_->response_timeout);
  }
  if (stream_.connected()) {
    WriteRequest();
    return;
  }
  connect_timer_.start(timeouts_.connect);
  stream_.Connect(endpoint_.ip, endpoint_.port);
}

void OutboundConnection::Call(
    std::string bytes, std::chrono::milliseconds response_timeout,
    std::function<void(const Response&)> on_response) {
  auto response = std::make_shared<Response>();
  Request request;
  request.bytes = std::move(bytes);
  request.response_timeout = response_timeout;
  request.on_head = [this, response](const http1::ResponseHead& head) {
    if (!names_request || !names_request(head)) {
      response->head = head;
      // A long body would be copied each time that its memory grows.
      if (progress_.has_value()) {
        response->body.reserve(AnnouncedBytes(head.fields));
      }
      return;
    }
    LogEvent("call_answer_rejected", LogEvent::Level::kWarning)
        .With("server", endpoint_.ToString())
        .With("status", head.status);
    Finish(EndReason::kBroken);
  };
  request.on_body = [this, response](std::string_view body) {
    response->body += body;
    const std::size_t limit =
        bulk_limits_.has_value() ? kMaxBulkResponse : kMaxCallResponse;
    if (response->body.size() > limit) Finish(EndReason::kBroken);
  };
  request.on_end = [this, response,
                    on_response = std::move(on_response)](EndReason end) {
    response->end = end;
    response->contact = contact_;
    on_response(*response);
  };
  Send(std::move(request));
}

void OutboundConnection::OnConnected() {
  connect_timer_.stop();
  contact_ = directory::Contact::kAccepted;
  if (on_opened_ != nullptr) {
    ReportOpened();
    return;
  }
  if (request_ != nullptr) WriteRequest();
}

void OutboundConnection::WriteRequest() {
  written_ = true;
  stream_.Write(request_->bytes);
  std::string().swap(request_->bytes);
  if (request_->body != nullptr) {
    stream_.WriteShared(std::exchange(request_->body, nullptr));
  }
}

void OutboundConnection::OnReceived(std::string_view bytes) {
  if (request_ == nullptr) {
    // Unsolicited bytes belong to no request.
    unusable_ = true;
    stream_.Abort();
    ReportIdleClosed();
    return;
  }
  if (progress_.has_value()) {
    const BootTime now = BootClock::now();
    progress_->OnBytes(bytes.size(), now);
    response_timer_.start(progress_->TimeLeft(now));
  }
  input_ += bytes;
  Parse();
}

void OutboundConnection::OnResponseTimeout() {
  // While this process was busy or suspended, bytes may have arrived in time.
  if (progress_.has_value() && stream_.connected() && stream_.HasUnread()) {
    response_timer_.start(std::chrono::milliseconds(0));
    return;
  }
  Finish(EndReason::kTimedOut);
}

void OutboundConnection::Parse() {
  const QPointer<OutboundConnection> self(this);
  const std::shared_ptr<Request> request = request_;
  std::string body;
  const std::size_t taken = parser_->Consume(input_, body);
  input_.erase(0, taken);
  if (parser_->error() != http1::ParseError::kNone) {
    unusable_ = true;
    Finish(EndReason::kBroken);
    return;
  }
  if (parser_->head_complete() && !head_reported_) {
    if (parser_->head().status / 100 == 1) {
      if (++interim_responses_ > kMaxInterimResponses) {
        Finish(EndReason::kBroken);
        return;
      }
      // After an interim response the final one follows.
      parser_ = std::make_unique<http1::ResponseParser>(
          kResponseLimits, request_->is_head_request);
      if (!input_.empty()) Parse();
      return;
    }
    head_reported_ = true;
    idle_limit_ = KeepAliveTimeout(parser_->head().fields);
    has_nameless_response_ |= !names_request || !names_request(parser_->head());
    if (on_response_head) {
      on_response_head(parser_->head());
      if (!self || request_ != request) return;
    }
    request->on_head(parser_->head());
    if (!self || request_ != request) return;
  }
  if (!body.empty()) {
    request->on_body(body);
    if (!self || request_ != request) return;
  }
  if (!parser_->complete()) return;
  // Bytes after a complete response belong to no request.
  if (!parser_->keep_alive() || !input_.empty()) unusable_ = true;
  Finish(EndReason::kComplete);
}

void OutboundConnection::OnClosed(net::CloseReason reason) {
  connect_timer_.stop();
  unusable_ = true;
  closed_orderly_ = reason == net::CloseReason::kOrderly;
  const bool is_waiting = request_ != nullptr || on_opened_ != nullptr;
  if (!is_waiting) {
    ReportIdleClosed();
    return;
  }
  if (!written_) {
    // Another reason may be this process's own.
    OnNotConnected(reason == net::CloseReason::kRefused
                       ? directory::Contact::kRefused
                       : directory::Contact::kInconclusive);
    return;
  }
  // Only an orderly close ends a body without a length.
  if (reason == net::CloseReason::kOrderly && parser_->head_complete()) {
    parser_->OnClosed();
    if (parser_->complete()) {
      Finish(EndReason::kComplete);
      return;
    }
  }
  Finish(parser_->started() ? EndReason::kBroken
                            : EndReason::kClosedWithoutResponse);
}

void OutboundConnection::ReportIdleClosed() {
  // The callback may be replaced while it runs.
  const auto callback = on_idle_closed;
  if (callback) callback();
}

void OutboundConnection::Finish(EndReason end) {
  if (request_ == nullptr) return;
  const std::shared_ptr<Request> request = std::move(request_);
  connect_timer_.stop();
  response_timer_.stop();
  if (end != EndReason::kComplete) unusable_ = true;
  if (unusable_) {
    input_.clear();
    stream_.Abort();
  } else {
    SetPaused(false);
  }
  request->on_end(end);
}

void OutboundConnection::Abort() {
  request_.reset();
  on_opened_ = nullptr;
  unusable_ = true;
  connect_timer_.stop();
  response_timer_.stop();
  stream_.Abort();
}

void OutboundConnection::SetPaused(bool paused) {
  stream_.SetReadEnabled(!paused);
}

bool OutboundConnection::reusable() const {
  return !unusable_ && request_ == nullptr && stream_.connected() &&
         !stream_.write_failed();
}

}  // namespace balsam::gateway
