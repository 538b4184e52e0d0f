// What the stand-ins share: an HTTP server whose requests go to one handler,
// and small answers.
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

// An answer that may be given later; harmless once the caller has left.
class LateAnswer {
 public:
  explicit LateAnswer(QHttpServerResponder&& responder);

  void Send(int status, const std::string& body,
            const std::string& content_type = "application/json");
  void SendJson(int status, const nlohmann::json& body) {
    Send(status, body.dump());
  }
  // Begins an event stream; then `Write` parts and `End`.
  void BeginEvents();
  void Write(const std::string& data);
  void End();
  // Closes the connection without an answer.
  void Cut();
  bool IsOpen() const;
  QTcpSocket* socket() const { return socket_; }

 private:
  std::unique_ptr<QHttpServerResponder> responder_;
  QPointer<QTcpSocket> socket_;
};

using LateAnswerPointer = std::shared_ptr<LateAnswer>;

struct StandinRequest {
  std::string method;
  std::string path;
  std::string query;
  std::string body;
  std::function<std::string(const char*)> header;
  std::function<std::string(const char*)> parameter;
};

// Listens on 127.0.0.1; returns the port, or 0 if that failed.
std::uint16_t Serve(
    QHttpServer& server, std::uint16_t port,
    std::function<void(const StandinRequest&, LateAnswerPointer)> handler);

}  // namespace balsam::standin
