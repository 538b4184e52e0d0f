// The server side of HTTP/1.1.
#include "services/gateway/client_connection.h"

#include <utility>

#include "libraries/base/log_event.h"

namespace balsam::gateway {
namespace {

using std::chrono::milliseconds;

// Number of unsent response bytes above which reading from the backend server
// is paused.
constexpr std::size_t kWriteHighWatermark = 256 << 10;
// Maximum number of bytes of pipelined requests that are read while a request
// is being answered.
constexpr std::size_t kMaxPipelinedBytes = 16 << 10;
// How long data that the client sends after a final response is discarded, so
// that a reset does not destroy the response.
constexpr milliseconds kLingerTime{500};
// Time limit for the client to read the end of a response.
constexpr milliseconds kCloseTimeout{5000};

}  // namespace

ClientConnection::ClientConnection(GatewayContext& context, int descriptor)
    : context_(context),
      holding_(&context.client_account.Add(this, BootClock::now())) {
  connect(&stream_, &net::TcpStream::Received, this,
          &ClientConnection::OnReceived);
  connect(&stream_, &net::TcpStream::Closed, this, &ClientConnection::OnClosed);
  connect(&stream_, &net::TcpStream::Drained, this, [this] {
    if (exchange_ != nullptr && !IsFull()) exchange_->OnSinkDrained();
    if (stream_.pending() == 0 && next_stage_.has_value()) {
      EnterStage(*next_stage_);
    }
  });
  timer_.setSingleShot(true);
  connect(&timer_, &QTimer::timeout, this, &ClientConnection::OnTimeout);
  stream_.Adopt(descriptor);
  StartReadTimer();
}

ClientConnection::~ClientConnection() {
  if (!closed_) context_.client_account.Remove(this);
}

void ClientConnection::StartReadTimer() {
  const routing::ClientLimits limits = context_.ClientLimits();
  timer_.start(parser_started_ ? limits.header_timeout : limits.idle_timeout);
  EnterStage(parser_started_ || !input_.empty() ? intake::Stage::kReceiving
                                                : intake::Stage::kIdle);
}

void ClientConnection::EnterStage(intake::Stage stage) {
  // A response that is still being sent is not given up for a descriptor.
  const bool is_sending = stream_.pending() > 0;
  next_stage_ = is_sending ? std::optional(stage) : std::nullopt;
  context_.client_account.Enter(*holding_,
                                is_sending ? intake::Stage::kServing : stage,
                                BootClock::now());
}

void ClientConnection::OnReceived(std::string_view bytes) {
  if (closing_) return;
  if (exchange_ == nullptr) {
    ParseInput(bytes);
    return;
  }
  // Pipelined requests are buffered up to a limit.
  input_ += bytes;
  if (input_.size() > kMaxPipelinedBytes) stream_.SetReadEnabled(false);
  ChargeMemory();
}

void ClientConnection::ChargeMemory() {
  intake::ClientAccount<ClientConnection>& account = context_.client_account;
  account.Resize(
      *holding_,
      input_.capacity() + body_.capacity() + request_bytes_ +
          (parser_ == nullptr ? 0 : parser_->head().fields.MemoryBytes()));
  const BootTime now = BootClock::now();
  while (ClientConnection* client = account.NextToRefuse(
             now, [](const ClientConnection* c) { return c->MayRefuse(); })) {
    client->RefuseForMemory();
  }
}

bool ClientConnection::MayRefuse() const {
  if (closing_) return false;
  return exchange_ == nullptr ? parser_ != nullptr : exchange_->MayRefuse();
}

void ClientConnection::RefuseForMemory() {
  LogEvent("refused_for_memory", LogEvent::Level::kWarning)
      .With("peer", stream_.peer())
      .With("bytes", holding_->bytes)
      .With("held", context_.client_account.bytes())
      .With("complete", exchange_ == nullptr ? 0 : 1);
  context_.metrics.CountEvent("refused_for_memory_total");
  if (exchange_ != nullptr) {
    exchange_->OnMemoryShortage();
  } else {
    Reject(503, kMemoryRetryAfter);
  }
}

void ClientConnection::ParseInput(std::string_view bytes) {
  if (parser_ == nullptr) {
    if (input_.empty() && bytes.empty()) return;
    const routing::ClientLimits limits = context_.ClientLimits();
    parser_ = std::make_unique<http1::RequestParser>(
        http1::ParseLimits{limits.max_header_bytes, limits.max_body_bytes});
    parser_started_ = true;
    StartReadTimer();
  }
  const bool had_head = parser_->head_complete();
  // What arrives is copied only if something precedes or is left of it.
  std::size_t taken = 0;
  if (input_.empty()) {
    taken = parser_->Consume(bytes, body_);
    input_ = bytes.substr(taken);
  } else {
    input_ += bytes;
    taken = parser_->Consume(input_, body_);
    input_.erase(0, taken);
    if (input_.empty()) input_.shrink_to_fit();
  }
  context_.client_account.OnReceived(*holding_, BootClock::now());
  ChargeMemory();
  if (closing_) return;
  if (parser_->error() != http1::ParseError::kNone) {
    OnParseError();
    return;
  }
  if (parser_->complete()) {
    BeginRequest();
    return;
  }
  if (!parser_->head_complete()) return;
  // A body may take any time as long as data keeps arriving.
  if (!had_head || taken > 0) {
    timer_.start(context_.ClientLimits().idle_timeout);
  }
  const std::string* expect = parser_->head().fields.Find("Expect");
  if (expect != nullptr && !std::exchange(continue_sent_, true)) {
    stream_.Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void ClientConnection::OnParseError() {
  switch (parser_->error()) {
    case http1::ParseError::kHeadTooLarge:
      Reject(431);
      return;
    case http1::ParseError::kBodyTooLarge:
      Reject(413);
      return;
    default:
      Reject(400);
      return;
  }
}

void ClientConnection::Reject(int status,
                              std::optional<milliseconds> retry_after) {
  LogEvent("request_rejected", LogEvent::Level::kWarning)
      .With("status", status)
      .With("peer", stream_.peer());
  close_after_response_ = true;
  const http1::ResponseHead head =
      context_.dialect.MakeGatewayResponse(status, {}, retry_after);
  WriteHead(head, {0, false});
  FinishResponse();
}

void ClientConnection::BeginRequest() {
  timer_.stop();
  close_after_response_ = !parser_->keep_alive();
  request_bytes_ = parser_->head().fields.MemoryBytes() + body_.capacity();
  EnterStage(intake::Stage::kServing);
  http1::RequestHead head = parser_->TakeHead();
  is_head_request_ = head.method == "HEAD";
  parser_.reset();
  parser_started_ = false;
  continue_sent_ = false;
  exchange_ =
      std::make_unique<Exchange>(context_, *this, std::move(head),
                                 std::exchange(body_, {}), BootClock::now());
  exchange_->Start();
}

void ClientConnection::WriteHead(http1::ResponseHead head,
                                 const http1::Framing& framing) {
  head.fields.RemoveHopByHopFields();
  if (context_.stop.has_value()) close_after_response_ = true;
  if (close_after_response_) head.fields.Add("Connection", "close");
  stream_.Write(http1::Serialize(head, framing));
}

void ClientConnection::SendComplete(http1::ResponseHead head,
                                    std::string body) {
  http1::Framing framing;
  const bool no_body = head.status == 204 || head.status == 304;
  if (!no_body) framing.content_length = body.size();
  WriteHead(std::move(head), framing);
  if (!is_head_request_) stream_.Write(body);
  FinishResponse();
}

void ClientConnection::BeginBody(http1::ResponseHead head) {
  WriteHead(std::move(head), {std::nullopt, true});
}

void ClientConnection::WriteBody(std::string_view bytes) {
  if (bytes.empty()) return;
  stream_.Write(http1::EncodeChunk(bytes));
}

void ClientConnection::EndBody() {
  stream_.Write(http1::kLastChunk);
  FinishResponse();
}

void ClientConnection::BreakOff() {
  // Without the last chunk the client detects the truncation. What was already
  // relayed is still sent.
  Close();
}

bool ClientConnection::IsFull() const {
  return stream_.pending() > kWriteHighWatermark;
}

void ClientConnection::FinishResponse() {
  if (exchange_ != nullptr) exchange_.release()->deleteLater();
  request_bytes_ = 0;
  context_.client_account.Resize(*holding_, input_.capacity());
  if (close_after_response_) {
    Linger();
    return;
  }
  StartReadTimer();
  stream_.SetReadEnabled(true);
  // The next request may have been received already.
  if (!input_.empty()) {
    QMetaObject::invokeMethod(
        this,
        [this] {
          if (exchange_ == nullptr && !closing_) ParseInput({});
        },
        Qt::QueuedConnection);
  }
}

void ClientConnection::Linger() {
  closing_ = true;
  if (parser_ == nullptr && input_.empty()) {
    // The client owes no more data, so a reset cannot destroy the response.
    Close();
    return;
  }
  lingering_ = true;
  ReleaseBuffers();
  context_.client_account.Resize(*holding_, 0);
  EnterStage(intake::Stage::kClosing);
  timer_.start(kLingerTime);
}

void ClientConnection::OnTimeout() {
  if (std::exchange(lingering_, false)) {
    Close();
    return;
  }
  if (closing_) {
    stream_.Abort();
    OnClosed();
    return;
  }
  if (exchange_ != nullptr) return;
  if (parser_started_) {
    Reject(408);
    return;
  }
  Close();
}

void ClientConnection::CloseIfIdle() {
  if (busy() || closing_) return;
  Close();
}

void ClientConnection::ReleaseBuffers() {
  parser_.reset();
  // An assignment would keep the capacity.
  std::string().swap(input_);
  std::string().swap(body_);
}

void ClientConnection::CloseAtOnce() {
  LogEvent("connection_closed_for_descriptors", LogEvent::Level::kWarning)
      .With("peer", stream_.peer());
  context_.metrics.CountEvent("closed_for_descriptors_total");
  stream_.Abort();
  OnClosed();
}

void ClientConnection::Close() {
  closing_ = true;
  stream_.CloseAfterWriting();
  // Bounds the wait for a client that does not read.
  timer_.start(kCloseTimeout);
}

void ClientConnection::OnClosed() {
  if (std::exchange(closed_, true)) return;
  timer_.stop();
  closing_ = true;
  if (exchange_ != nullptr) exchange_->Cancel();
  ReleaseBuffers();
  context_.client_account.Remove(this);
  if (on_closed) on_closed();
}

}  // namespace balsam::gateway
