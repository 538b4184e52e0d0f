// A connection owns itself and is deleted when its socket closes.
#include "services/gateway/simple_http_server.h"

#include <QTimer>
#include <memory>

#include "libraries/http1/message_parser.h"

namespace balsam::gateway {
namespace {

// Idle connections are closed after this time.
constexpr std::chrono::seconds kIdleTime{30};
constexpr http1::ParseLimits kLimits{16 << 10, 1 << 20};

class SimpleHttpConnection : public QObject {
 public:
  SimpleHttpConnection(int descriptor, const SimpleHttpServer::Handler& handler,
                       QObject* parent)
      : QObject(parent), handler_(handler) {
    connect(&stream_, &net::TcpStream::Received, this,
            &SimpleHttpConnection::OnReceived);
    connect(&stream_, &net::TcpStream::Closed, this, [this] { deleteLater(); });
    idle_.setSingleShot(true);
    connect(&idle_, &QTimer::timeout, this, [this] {
      stream_.Abort();
      deleteLater();
    });
    idle_.start(kIdleTime);
    stream_.Adopt(descriptor);
  }

 private:
  void OnReceived(std::string_view bytes) {
    idle_.start(kIdleTime);
    input_ += bytes;
    while (!input_.empty()) {
      if (parser_ == nullptr) {
        parser_ = std::make_unique<http1::RequestParser>(kLimits);
        body_.clear();
      }
      input_.erase(0, parser_->Consume(input_, body_));
      if (parser_->error() != http1::ParseError::kNone) {
        stream_.Abort();
        deleteLater();
        return;
      }
      if (!parser_->complete()) return;
      Respond();
    }
  }

  void Respond() {
    const HttpResponse response = handler_(parser_->head(), body_);
    const bool keep = parser_->keep_alive();
    http1::ResponseHead head;
    head.status = response.status;
    head.fields = response.fields;
    head.fields.Add("Content-Type", response.content_type);
    if (!keep) head.fields.Add("Connection", "close");
    stream_.Write(http1::Serialize(head, {response.body.size(), false}) +
                  response.body);
    parser_.reset();
    if (!keep) stream_.CloseAfterWriting();
  }

  net::TcpStream stream_;
  const SimpleHttpServer::Handler& handler_;
  std::unique_ptr<http1::RequestParser> parser_;
  std::string input_;
  std::string body_;
  QTimer idle_;
};

}  // namespace

SimpleHttpServer::SimpleHttpServer(Handler handler, QObject* parent)
    : QObject(parent), handler_(std::move(handler)) {
  connect(&server_, &net::Listener::Accepted, this,
          &SimpleHttpServer::OnAccepted);
}

Result<void> SimpleHttpServer::Listen(const directory::Endpoint& endpoint) {
  return server_.ListenAt(endpoint.ip, endpoint.port);
}

void SimpleHttpServer::OnAccepted(int descriptor) {
  new SimpleHttpConnection(descriptor, handler_, this);
}

}  // namespace balsam::gateway
