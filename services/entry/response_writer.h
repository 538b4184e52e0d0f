// Writes the response to one caller: server-sent events as tokens arrive, or
// one body at the end. Reports when the caller disconnects, and how much output
// it has not read yet.
#pragma once

#include <QHttpServerResponder>
#include <QObject>
#include <QPointer>
#include <QTcpSocket>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "libraries/base/boot_clock.h"
#include "libraries/base/outcome.h"
#include "libraries/generation/generation_id.h"
#include "services/entry/caller_request.h"

namespace balsam::entry {

using ResponseHeaders = std::vector<std::pair<std::string, std::string>>;

class ResponseWriter : public QObject {
  Q_OBJECT

 public:
  ResponseWriter(QHttpServerResponder&& responder, ResponseFormat format,
                 bool stream, std::string model, QObject* parent = nullptr);

  // Sets what a resumed generation was requested as, before its tokens.
  void SetRequested(ResponseFormat format, std::string model);
  void WriteTokens(const generation::GenerationId& generation,
                   std::uint64_t first, std::span<const std::string> tokens);
  // Ends the response with the end of a generation, the response to a service
  // call, or an error. No other call may follow.
  void Finish(const std::optional<generation::GenerationId>& generation,
              const Outcome& outcome, const std::string& request_id);
  // Sends a comment event, so that proxies and load balancers on the way do not
  // close the connection as idle.
  void KeepAlive();
  // Aborts the connection; used for a caller that stopped reading.
  void Abort();

  bool IsOpen() const;
  qint64 pending_bytes() const;

  std::function<void()> on_caller_disconnected;
  std::function<void()> on_bytes_written;

 private:
  void StartEventStream(
      const std::optional<generation::GenerationId>& generation);
  void WriteChunk(const QByteArray& data);
  void FinishEventStream();
  void WriteFullResponse(int status, const std::string& content_type,
                         const std::string& body, ResponseHeaders headers);
  void FinishWithError(
      const std::optional<generation::GenerationId>& generation,
      const Outcome& outcome, const std::string& request_id);
  std::string CompletionEvent(const std::string& id, const std::string& text,
                              bool is_last) const;

  std::optional<QHttpServerResponder> responder_;
  // QHttpServerResponder does not report that its socket was closed.
  QPointer<QTcpSocket> socket_;
  ResponseFormat format_;
  bool stream_;
  std::string model_;
  bool stream_started_ = false;
  std::string buffered_text_;
};

// Returns the body of an error response: the error object that client libraries
// read, with the numeric result code and whether the request ran.
std::string ErrorBody(const Outcome& outcome, const std::string& request_id);

}  // namespace balsam::entry
