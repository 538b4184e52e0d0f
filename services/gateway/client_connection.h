// One client connection: reads requests one after another within the configured
// limits and writes their responses.
#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <memory>
#include <string>

#include "libraries/base/boot_clock.h"
#include "libraries/http1/message_parser.h"
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
  void ParseInput();
  void BeginRequest();
  void StartReadTimer();
  // Responds to an invalid request and closes the connection.
  void Reject(int status);
  void OnParseError();
  // The response has been written: reads the next request or closes.
  void FinishResponse();
  // Discards what the client sends for a while, then closes.
  void Linger();
  void Close();
  // Writes the response head with the connection fields.
  void WriteHead(http1::ResponseHead head, const http1::Framing& framing);

  GatewayContext& context_;
  net::TcpStream stream_;
  std::string input_;
  std::unique_ptr<http1::RequestParser> parser_;
  std::string body_;
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
