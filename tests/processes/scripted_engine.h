// An engine in the process of the test, which decides on the bytes of each
// response and on how its connection ends. For faults that the stand-in engine
// does not have.
#pragma once

#include <QByteArray>
#include <QTcpServer>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

class QTcpSocket;

namespace balsam::processes {

// How the connection ends after a response was written.
enum class ConnectionEnd { kOrderly, kReset, kStaysOpen };

struct ScriptedResponse {
  QByteArray bytes;
  ConnectionEnd end = ConnectionEnd::kOrderly;
};

struct ScriptedRequest {
  QByteArray method;
  QByteArray path;
  // The value of `from` in the query; zero if there is none.
  int from = 0;
  // This request resumes a stream.
  bool is_resume = false;
};

class ScriptedEngine : public QObject {
 public:
  // `respond` is called for each generation and each resumption.
  explicit ScriptedEngine(
      std::function<ScriptedResponse(const ScriptedRequest&)> respond);
  ~ScriptedEngine() override;

  std::uint16_t port() const { return server_.serverPort(); }
  // Number of generations started, and of resumptions asked for.
  int started() const { return started_; }
  int resumed() const { return resumed_; }

 private:
  void Accept();
  void Read(QTcpSocket* socket);
  ScriptedResponse Respond(const ScriptedRequest& request);

  std::function<ScriptedResponse(const ScriptedRequest&)> respond_;
  QTcpServer server_;
  std::map<QTcpSocket*, QByteArray> received_;
  int started_ = 0;
  int resumed_ = 0;
};

// The head of a response with server-sent events that ends with its connection.
QByteArray EventStreamHead();
// Events of the tokens from `first` on, with the texts of the stand-in engine.
QByteArray TokenEvents(int first, int count);
inline const QByteArray kDoneEvent = "data: [DONE]\n\n";
// A complete response with this status and body.
QByteArray FullResponse(int status, const QByteArray& content_type,
                        const QByteArray& body);

}  // namespace balsam::processes
