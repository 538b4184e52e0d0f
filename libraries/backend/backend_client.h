// Speaks to the backend server beside a sidecar: streams generations from a
// model engine, and makes calls to a plain service. Each request is sent at
// most once; whether it may have arrived is part of every failure.
#pragma once

#include <QNetworkAccessManager>
#include <QObject>
#include <QPointer>
#include <QUrl>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libraries/execution/generation_record.h"

class QNetworkReply;

namespace balsam::backend {

struct BackendSettings {
  QUrl base_url;
  // A stream or an answer with nothing received for this long is broken.
  std::chrono::milliseconds silence_limit{10000};
};

class BackendClient : public QObject {
  Q_OBJECT

 public:
  explicit BackendClient(BackendSettings settings, QObject* parent = nullptr);
  ~BackendClient() override;

  // Sends a generation's request. `stream` names it at the engine.
  void StartGeneration(execution::Counter counter, const std::string& stream,
                       const execution::Work& work);
  // Asks the engine to go on with `stream` from token `first`.
  void ResumeGeneration(execution::Counter counter, const std::string& stream,
                        std::uint64_t first);
  // Tells the engine to stop, and forgets the generation.
  void CancelGeneration(execution::Counter counter, const std::string& stream);
  void StartCall(execution::Counter counter, const std::string& stream,
                 const execution::Work& work);

  // Hooks, set by the owner before the first call.
  std::function<void(execution::Counter, std::uint64_t first,
                     const std::vector<std::string>& tokens)>
      on_tokens;
  // The generation or call ended by itself.
  std::function<void(execution::Counter, Outcome)> on_completed;
  // Nothing of the request left this process.
  std::function<void(execution::Counter, const std::string& reason)>
      on_not_sent;
  std::function<void(execution::Counter, const std::string& reason)> on_broken;
  std::function<void(execution::Counter)> on_resume_failed;
  // The engine reported a preemption of this generation.
  std::function<void(execution::Counter)> on_preempted;

 private:
  struct Exchange {
    QPointer<QNetworkReply> reply;
    QNetworkAccessManager* manager = nullptr;
    QByteArray input;
    bool is_resume = false;
    bool is_call = false;
    bool ended_in_order = false;
    std::uint64_t next = 0;
  };

  // A manager with room for one more connection to the backend server.
  QNetworkAccessManager* ManagerForStream();
  QNetworkRequest RequestFor(const QString& path, const std::string& stream,
                             const execution::Work* work) const;
  QNetworkReply* SendOnce(QNetworkAccessManager* manager,
                          QNetworkRequest request, const std::string& method,
                          const std::string& body);
  void Track(execution::Counter counter, Exchange exchange);
  void ReadEvents(execution::Counter counter);
  void TakeEvent(execution::Counter counter, Exchange& exchange,
                 const QByteArray& line, std::vector<std::string>& tokens);
  void OnReplyFinished(execution::Counter counter, QNetworkReply* reply);
  void FinishCall(execution::Counter counter, QNetworkReply* reply);
  void FinishStream(execution::Counter counter, const Exchange& exchange,
                    QNetworkReply* reply);
  void Forget(execution::Counter counter);

  BackendSettings settings_;
  std::vector<std::unique_ptr<QNetworkAccessManager>> managers_;
  // Streams that each manager carries; Qt opens at most six connections to a
  // host for each.
  std::map<QNetworkAccessManager*, int> load_;
  QNetworkAccessManager calls_;
  QNetworkAccessManager control_;
  std::map<execution::Counter, Exchange> exchanges_;
};

}  // namespace balsam::backend
