// A small HTTP/1.1 server for requests that are answered synchronously:
// readiness, metrics and requests of peers.
#pragma once

#include <functional>
#include <string>

#include "libraries/base/error.h"
#include "libraries/directory/backend_directory.h"
#include "libraries/http1/message_head.h"
#include "libraries/net/tcp_stream.h"

namespace balsam::gateway {

struct HttpResponse {
  int status = 200;
  std::string content_type = "text/plain";
  std::string body;
  // Fields beside those of the content and the connection.
  http1::FieldList fields = {};
};

class SimpleHttpServer : public QObject {
  Q_OBJECT

 public:
  using Handler = std::function<HttpResponse(const http1::RequestHead&,
                                             const std::string& body)>;

  explicit SimpleHttpServer(Handler handler, QObject* parent = nullptr);

  // Fails with kInvalidSettings if the address cannot be listened on.
  Result<void> Listen(const directory::Endpoint& endpoint);

 private:
  void OnAccepted(int descriptor);

  Handler handler_;
  net::Listener server_;
};

}  // namespace balsam::gateway
