// Writes one answer to one caller: server-sent events as tokens come, or the
// whole at the end. It notices a caller that left or stopped reading.
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
  ResponseWriter(QHttpServerResponder&& responder, AnswerForm form, bool stream,
                 std::string model, QObject* parent = nullptr);

  void WriteTokens(const generation::GenerationId& generation,
                   std::uint64_t first, std::span<const std::string> tokens);
  // The last call: a generation's end, a call's answer or an error.
  void Finish(const std::optional<generation::GenerationId>& generation,
              const Outcome& outcome, const std::string& request_id);
  // Sends a comment, so that what lies between keeps the connection.
  void KeepAlive();
  // Cuts the connection, for a reader that does not read.
  void Abort();

  bool IsOpen() const;
  qint64 pending_bytes() const;

  std::function<void()> on_caller_gone;
  std::function<void()> on_drained;

 private:
  void BeginStream(const std::optional<generation::GenerationId>& generation);
  void WriteChunk(const QByteArray& data);
  void EndStream();
  void WriteWhole(int status, const std::string& content_type,
                  const std::string& body, ResponseHeaders headers);
  void FinishError(const std::optional<generation::GenerationId>& generation,
                   const Outcome& outcome, const std::string& request_id);
  std::string EventBody(const std::string& id, const std::string& text,
                        bool last) const;

  std::optional<QHttpServerResponder> responder_;
  // The responder does not notice that its socket is gone.
  QPointer<QTcpSocket> socket_;
  AnswerForm form_;
  bool stream_;
  std::string model_;
  bool streaming_ = false;
  std::string whole_text_;
};

// The body of an error answer: the envelope that client libraries read, with
// the numbered code and whether the request ran.
std::string ErrorBody(const Outcome& outcome, const std::string& request_id);

}  // namespace balsam::entry
