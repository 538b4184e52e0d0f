// The sidecar's HTTP client for its backend server: streams generations from a
// model engine and makes calls to a plain service. Each request is sent at most
// once, and every failure reports whether the request may have arrived.
#pragma once

#include <QObject>
#include <QUrl>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "libraries/backend/engine_stream.h"
#include "libraries/execution/work_record.h"
#include "libraries/http/http_caller.h"

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
    http::HttpCaller::Id call = 0;
    EngineStream stream;
    bool is_resume = false;
    std::uint64_t next = 0;
  };

  http::HttpCaller::Request RequestFor(const std::string& method,
                                       const QString& path,
                                       const std::string& stream) const;
  // The same with the body and fields of `work`.
  http::HttpCaller::Request RequestFor(const execution::WorkItem& work,
                                       const std::string& stream) const;
  // Sends the request of a stream and keeps the exchange.
  void Track(execution::LocalId local_id, http::HttpCaller::Request request,
             Exchange exchange);
  void ReadEvents(execution::LocalId local_id, std::string_view bytes);
  // The response is no stream, as its head says.
  void OnStreamRefused(execution::LocalId local_id,
                       const http1::ResponseHead& head);
  void OnStreamEnded(execution::LocalId local_id,
                     const http::HttpCaller::Response& response);
  void FinishCall(execution::LocalId local_id,
                  http::HttpCaller::Response response);
  void Abort(execution::LocalId local_id);
  void SendCancel(const std::string& stream, std::size_t calls_left);

  BackendSettings settings_;
  // Generations.
  std::map<execution::LocalId, Exchange> exchanges_;
  http::HttpCaller caller_;
};

}  // namespace balsam::backend
