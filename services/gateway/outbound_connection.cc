// The client side of HTTP/1.1.
#include "services/gateway/outbound_connection.h"

#include <charconv>

namespace balsam::gateway {
namespace {

constexpr http1::ParseLimits kAnswerLimits{64 << 10, std::uint64_t{1} << 40};
// A server that sends more interim answers than this will not come to the
// final one.
constexpr int kMaxInterimAnswers = 16;

std::optional<std::chrono::milliseconds> KeepAliveTimeout(
    const http1::FieldList& fields) {
  const std::string* value = fields.Find("Keep-Alive");
  if (value == nullptr) return std::nullopt;
  constexpr std::string_view kName = "timeout=";
  const std::size_t begin = value->find(kName);
  if (begin == std::string::npos) return std::nullopt;
  std::int64_t seconds = 0;
  const char* first = value->data() + begin + kName.size();
  const auto [rest, error] =
      std::from_chars(first, value->data() + value->size(), seconds);
  if (error != std::errc() || seconds < 0) return std::nullopt;
  return std::chrono::seconds(seconds);
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
          [this] { Finish(End::kNotConnected); });
  answer_timer_.setSingleShot(true);
  connect(&answer_timer_, &QTimer::timeout, this,
          [this] { Finish(End::kTimedOut); });
}

OutboundConnection::~OutboundConnection() { stream_.Abort(); }

void OutboundConnection::Send(Request request) {
  request_ = std::make_shared<Request>(std::move(request));
  parser_ = std::make_unique<http1::ResponseParser>(kAnswerLimits,
                                                    request_->is_head_request);
  head_reported_ = false;
  interim_answers_ = 0;
  written_ = false;
  if (request_->answer_time.has_value()) {
    answer_timer_.start(*request_->answer_time);
  }
  if (stream_.connected()) {
    WriteRequest();
    return;
  }
  connect_timer_.start(timeouts_.connect);
  stream_.Connect(endpoint_.ip, endpoint_.port);
}

void OutboundConnection::Call(std::string bytes,
                              std::chrono::milliseconds answer_time,
                              std::function<void(const Answer&)> on_answer) {
  auto answer = std::make_shared<Answer>();
  Request request;
  request.bytes = std::move(bytes);
  request.answer_time = answer_time;
  request.on_head = [answer](const http1::ResponseHead& head) {
    answer->head = head;
  };
  request.on_body = [this, answer](std::string_view body) {
    answer->body += body;
    if (answer->body.size() > kMaxCallAnswer) Finish(End::kBroken);
  };
  request.on_end = [answer, on_answer = std::move(on_answer)](End end) {
    answer->end = end;
    on_answer(*answer);
  };
  Send(std::move(request));
}

void OutboundConnection::OnConnected() {
  connect_timer_.stop();
  if (request_ != nullptr) WriteRequest();
}

void OutboundConnection::WriteRequest() {
  written_ = true;
  stream_.Write(request_->bytes);
  request_->bytes.clear();
  request_->bytes.shrink_to_fit();
}

void OutboundConnection::OnReceived(std::string_view bytes) {
  if (request_ == nullptr) {
    // Bytes that nobody asked for belong to no request.
    spoiled_ = true;
    stream_.Abort();
    ReportIdleClosed();
    return;
  }
  input_ += bytes;
  Parse();
}

void OutboundConnection::Parse() {
  const QPointer<OutboundConnection> self(this);
  const std::shared_ptr<Request> request = request_;
  std::string body;
  const std::size_t taken = parser_->Consume(input_, body);
  input_.erase(0, taken);
  if (parser_->error() != http1::ParseError::kNone) {
    spoiled_ = true;
    Finish(End::kBroken);
    return;
  }
  if (parser_->head_complete() && !head_reported_) {
    if (parser_->head().status / 100 == 1) {
      if (++interim_answers_ > kMaxInterimAnswers) {
        Finish(End::kBroken);
        return;
      }
      // An interim answer: the final one follows.
      parser_ = std::make_unique<http1::ResponseParser>(
          kAnswerLimits, request_->is_head_request);
      if (!input_.empty()) Parse();
      return;
    }
    head_reported_ = true;
    idle_limit_ = KeepAliveTimeout(parser_->head().fields);
    if (on_answer_head) {
      on_answer_head(parser_->head());
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
  // Bytes after a complete answer belong to no request.
  if (!parser_->keep_alive() || !input_.empty()) spoiled_ = true;
  Finish(End::kComplete);
}

void OutboundConnection::OnClosed(net::CloseReason reason) {
  connect_timer_.stop();
  spoiled_ = true;
  if (request_ == nullptr) {
    ReportIdleClosed();
    return;
  }
  if (!written_) {
    Finish(End::kNotConnected);
    return;
  }
  // Only an orderly close ends a body that has no length.
  if (reason == net::CloseReason::kOrderly && parser_->head_complete()) {
    parser_->OnClosed();
    if (parser_->complete()) {
      Finish(End::kComplete);
      return;
    }
  }
  Finish(parser_->started() ? End::kBroken : End::kClosedUnanswered);
}

void OutboundConnection::ReportIdleClosed() {
  // The callback may be replaced while it runs.
  const auto callback = on_idle_closed;
  if (callback) callback();
}

void OutboundConnection::Finish(End end) {
  if (request_ == nullptr) return;
  const std::shared_ptr<Request> request = std::move(request_);
  connect_timer_.stop();
  answer_timer_.stop();
  if (end != End::kComplete) spoiled_ = true;
  if (spoiled_) {
    input_.clear();
    stream_.Abort();
  }
  request->on_end(end);
}

void OutboundConnection::Abort() {
  request_.reset();
  spoiled_ = true;
  connect_timer_.stop();
  answer_timer_.stop();
  stream_.Abort();
}

void OutboundConnection::SetPaused(bool paused) { stream_.SetReading(!paused); }

bool OutboundConnection::reusable() const {
  return !spoiled_ && request_ == nullptr && stream_.connected();
}

}  // namespace balsam::gateway
