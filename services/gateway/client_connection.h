// One client connection: reads requests one after another within the configured
// limits and writes their responses.
#pragma once

#include <QObject>
#include <QTimer>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/base/boot_clock.h"
#include "libraries/http1/message_parser.h"
#include "libraries/intake/client_account.h"
#include "libraries/net/tcp_stream.h"
#include "services/gateway/exchange.h"
#include "services/gateway/gateway_context.h"
#include "services/gateway/response_sink.h"

namespace balsam::gateway {

class ClientConnection : public QObject, public ResponseSink {
  Q_OBJECT

 public:
  // Takes ownership of an accepted socket.
  ClientConnection(GatewayContext& context, int descriptor);
  ~ClientConnection() override;

  // Closes the connection unless a request is in progress.
  void CloseIfIdle();
  // Closes the connection without a response, to free its descriptor.
  void CloseAtOnce();
  // Whether a response can still say truly that the request has not run.
  bool MayRefuse() const;
  // Requests hold too much memory: gives up what this one holds.
  void RefuseForMemory();
  bool busy() const { return exchange_ != nullptr || parser_started_; }

  // ResponseSink
  void SendComplete(http1::ResponseHead head, std::string body) override;
  void BeginBody(http1::ResponseHead head) override;
  void WriteBody(std::string_view bytes) override;
  void EndBody() override;
  void BreakOff() override;
  bool IsFull() const override;

  // The connection has been closed; called once.
  std::function<void()> on_closed;

 private:
  void OnReceived(std::string_view bytes);
  void OnClosed();
  void OnTimeout();
  // Parses what was kept and then `bytes`, and keeps what is left.
  void ParseInput(std::string_view bytes);
  // Charges the memory that this connection holds, and refuses requests,
  // possibly its own, until the limit is kept.
  void ChargeMemory();
  void BeginRequest();
  void StartReadTimer();
  // Responds to a request that is not served and closes the connection.
  void Reject(int status, std::optional<std::chrono::milliseconds> retry_after =
                              std::nullopt);
  void OnParseError();
  // The response has been written: reads the next request or closes.
  void FinishResponse();
  // Discards what the client sends for a while, then closes.
  void Linger();
  void Close();
  // Tells the account what the connection does now, or will do once the
  // response before is sent.
  void EnterStage(intake::Stage stage);
  // Gives up what was received of a request.
  void ReleaseBuffers();
  // Writes the response head with the connection fields.
  void WriteHead(http1::ResponseHead head, const http1::Framing& framing);

  GatewayContext& context_;
  net::TcpStream stream_;
  std::string input_;
  std::unique_ptr<http1::RequestParser> parser_;
  std::string body_;
  // Memory of the request being answered, in bytes.
  std::size_t request_bytes_ = 0;
  // Belongs to the account until the connection is closed.
  intake::Holding* holding_;
  // Entered when the kernel has accepted the queued response.
  std::optional<intake::Stage> next_stage_;
  // The request being answered; null between requests.
  std::unique_ptr<Exchange> exchange_;
  QTimer timer_;
  bool parser_started_ = false;
  bool continue_sent_ = false;
  // The request being answered must get a head only.
  bool is_head_request_ = false;
  bool close_after_response_ = false;
  // No more requests are read; data that still arrives is discarded.
  bool closing_ = false;
  bool lingering_ = false;
  bool closed_ = false;
};

}  // namespace balsam::gateway
