// HTTP server shared by the stand-ins: passes all requests to one handler,
// which may respond later.
#pragma once

#include <QHttpServer>
#include <QHttpServerResponder>
#include <QPointer>
#include <QTcpSocket>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace balsam::standin {

// A response that may be sent later. Calls have no effect once the client has
// disconnected.
class DeferredResponse {
 public:
  explicit DeferredResponse(QHttpServerResponder&& responder);

  void Send(int status, const std::string& body,
            const std::string& content_type = "application/json");
  void SendJson(int status, const nlohmann::json& body) {
    Send(status, body.dump());
  }
  // Starts a stream of server-sent events, to be continued by `Write` and ended
  // by `End`.
  void StartEventStream();
  void Write(const std::string& data);
  void End();
  // Aborts the connection without a response.
  void CloseWithoutResponse();
  bool IsOpen() const;
  QTcpSocket* socket() const { return socket_; }

 private:
  std::unique_ptr<QHttpServerResponder> responder_;
  QPointer<QTcpSocket> socket_;
};

using DeferredResponsePtr = std::shared_ptr<DeferredResponse>;

struct StandinHttpRequest {
  std::string method;
  std::string path;
  std::string query;
  std::string body;
  std::function<std::string(const char*)> header;
  std::function<std::string(const char*)> parameter;
};

// Listens on 127.0.0.1; returns the port, or 0 if that failed.
std::uint16_t ListenAndServe(
    QHttpServer& server, std::uint16_t port,
    std::function<void(const StandinHttpRequest&, DeferredResponsePtr)>
        handler);

}  // namespace balsam::standin
