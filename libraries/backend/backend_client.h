// The sidecar's HTTP client for its backend server: streams generations from a
// model engine and makes calls to a plain service. Each request is sent at most
// once, and every failure reports whether the request may have arrived.
#pragma once

#include <QNetworkAccessManager>
#include <QObject>
#include <QPointer>
#include <QUrl>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libraries/backend/engine_stream.h"
#include "libraries/backend/http_caller.h"
#include "libraries/execution/work_record.h"

class QNetworkReply;

namespace balsam::backend {

struct BackendSettings {
  QUrl base_url;
  // A stream or response without received data for this long is broken.
  std::chrono::milliseconds silence_limit{10000};
};

class BackendClient : public QObject {
  Q_OBJECT

 public:
  explicit BackendClient(BackendSettings settings, QObject* parent = nullptr);
  ~BackendClient() override;

  // Sends a generation's request. `stream` identifies it at the engine.
  void StartGeneration(execution::LocalId local_id, const std::string& stream,
                       const execution::WorkItem& work);
  // Asks the engine to continue `stream` from token `first`, and to repeat the
  // tokens before it, `repeated`, which show that it continues there.
  void ResumeGeneration(execution::LocalId local_id, const std::string& stream,
                        std::uint64_t first,
                        std::vector<std::string> repeated = {});
  // Cancels the generation at the engine and drops its exchange. The call is
  // repeated a few times unless the engine confirms it: an engine may go on
  // with a generation whose connection has closed.
  void CancelGeneration(execution::LocalId local_id, const std::string& stream);
  void StartCall(execution::LocalId local_id, const std::string& stream,
                 const execution::WorkItem& work);

  // Callbacks, set by the owner before the first request.
  std::function<void(execution::LocalId, std::uint64_t first,
                     const std::vector<std::string>& tokens)>
      on_tokens;
  // The generation or call completed.
  std::function<void(execution::LocalId, Outcome)> on_completed;
  // No byte of the request was sent.
  std::function<void(execution::LocalId, const std::string& reason)>
      on_not_sent;
  std::function<void(execution::LocalId, const std::string& reason)> on_broken;
  // The engine does not know the stream, or nothing listens there.
  std::function<void(execution::LocalId)> on_resume_failed;
  // The engine reported a preemption of this generation.
  std::function<void(execution::LocalId)> on_preempted;

 private:
  struct Exchange {
    QPointer<QNetworkReply> reply;
    QNetworkAccessManager* manager = nullptr;
    EngineStream stream;
    bool is_resume = false;
    std::uint64_t next = 0;
  };

  // Returns a manager that can open one more connection to the backend server.
  QNetworkAccessManager* ManagerForStream();
  // Returns a request on a connection of its own.
  QNetworkRequest RequestFor(const QString& path, const std::string& stream,
                             const execution::WorkItem* work);
  QNetworkReply* SendWithoutRetry(QNetworkAccessManager* manager,
                                  QNetworkRequest request,
                                  const std::string& method,
                                  const std::string& body);
  void Track(execution::LocalId local_id, Exchange exchange);
  void ReadEvents(execution::LocalId local_id);
  void OnReplyFinished(execution::LocalId local_id, QNetworkReply* reply);
  void FinishCall(execution::LocalId local_id, HttpCaller::Response response);
  void FinishStream(execution::LocalId local_id, const Exchange& exchange,
                    QNetworkReply* reply);
  void Abort(execution::LocalId local_id);
  void SendCancel(const std::string& stream, std::size_t calls_left);

  BackendSettings settings_;
  std::vector<std::unique_ptr<QNetworkAccessManager>> managers_;
  // Number of streams of each manager. Qt opens at most six connections per
  // manager and host.
  std::map<QNetworkAccessManager*, int> streams_per_manager_;
  std::uint64_t connections_ = 0;
  QNetworkAccessManager control_manager_;
  // Generations.
  std::map<execution::LocalId, Exchange> exchanges_;
  // Calls to plain services, which a break must not complete.
  HttpCaller caller_;
};

}  // namespace balsam::backend
