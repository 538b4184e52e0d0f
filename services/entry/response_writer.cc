// Answers over Qt's HTTP responder.
#include "services/entry/response_writer.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>

namespace balsam::entry {
namespace {

using nlohmann::json;
using Status = QHttpServerResponder::StatusCode;

constexpr int kHttpOk = 200;
constexpr auto kReplaceInvalid = json::error_handler_t::replace;

std::int64_t CeilSeconds(std::chrono::milliseconds duration) {
  return std::chrono::ceil<std::chrono::seconds>(duration).count();
}

}  // namespace

std::string ErrorBody(const Outcome& outcome, const std::string& request_id) {
  json error = {{"message", outcome.detail},
                {"type", NameOf(outcome.code)},
                {"code", static_cast<int>(outcome.code)},
                {"ran", NameOf(outcome.run_state)},
                {"request_id", request_id}};
  if (outcome.retry_after.count() > 0) {
    error["retry_after_ms"] = outcome.retry_after.count();
  }
  return json{{"error", error}}.dump(-1, ' ', false, kReplaceInvalid);
}

ResponseWriter::ResponseWriter(QHttpServerResponder&& responder,
                               AnswerForm form, bool stream, std::string model,
                               QObject* parent)
    : QObject(parent),
      responder_(std::move(responder)),
      socket_(responder_->socket()),
      form_(form),
      stream_(stream),
      model_(std::move(model)) {
  if (!socket_) return;
  connect(socket_, &QTcpSocket::disconnected, this, [this] {
    if (on_caller_gone) on_caller_gone();
  });
  connect(socket_, &QTcpSocket::bytesWritten, this, [this] {
    if (on_drained) on_drained();
  });
}

bool ResponseWriter::IsOpen() const {
  return responder_.has_value() && socket_ &&
         socket_->state() == QAbstractSocket::ConnectedState;
}

qint64 ResponseWriter::pending_bytes() const {
  return socket_ ? socket_->bytesToWrite() : 0;
}

void ResponseWriter::WriteTokens(const generation::GenerationId& generation,
                                 std::uint64_t first,
                                 std::span<const std::string> tokens) {
  std::string text =
      std::accumulate(tokens.begin(), tokens.end(), std::string());
  if (!stream_) {
    whole_text_ += text;
    return;
  }
  if (!IsOpen()) return;
  if (!streaming_) BeginStream(generation);
  const generation::EventId event{generation, first + tokens.size()};
  WriteChunk(QByteArray::fromStdString(
      "id: " + event.ToText() +
      "\ndata: " + EventBody(generation.ToText(), text, false) + "\n\n"));
}

std::string ResponseWriter::EventBody(const std::string& id,
                                      const std::string& text,
                                      bool last) const {
  json choice = {{"index", 0}};
  if (form_ == AnswerForm::kChat) {
    choice["delta"] = last ? json::object() : json{{"content", text}};
  } else {
    choice["text"] = text;
  }
  choice["finish_reason"] = last ? json("stop") : json(nullptr);
  const json event = {
      {"id", id},
      {"object", form_ == AnswerForm::kChat ? "chat.completion.chunk"
                                            : "text_completion"},
      {"model", model_},
      {"choices", json::array({choice})}};
  return event.dump(-1, ' ', false, kReplaceInvalid);
}

void ResponseWriter::Finish(
    const std::optional<generation::GenerationId>& generation,
    const Outcome& outcome, const std::string& request_id) {
  if (!IsOpen()) {
    responder_.reset();
    return;
  }
  if (outcome.code != ResultCode::kOk) {
    FinishError(generation, outcome, request_id);
    return;
  }
  const std::string id =
      generation.has_value() ? generation->ToText() : std::string();
  if (form_ == AnswerForm::kCall) {
    WriteWhole(outcome.http_status, outcome.content_type, outcome.body,
               {{"Balsam-Ran", "ran"},
                {"Balsam-Ticket", id},
                {"Balsam-Request", request_id}});
    return;
  }
  if (stream_) {
    if (!streaming_) BeginStream(generation);
    WriteChunk(QByteArray::fromStdString("data: " + EventBody(id, "", true) +
                                         "\n\ndata: [DONE]\n\n"));
    EndStream();
    return;
  }
  json choice = {{"index", 0}, {"finish_reason", "stop"}};
  if (form_ == AnswerForm::kChat) {
    choice["message"] = {{"role", "assistant"}, {"content", whole_text_}};
  } else {
    choice["text"] = whole_text_;
  }
  const json body = {{"id", id},
                     {"object", form_ == AnswerForm::kChat ? "chat.completion"
                                                           : "text_completion"},
                     {"model", model_},
                     {"choices", json::array({choice})},
                     {"usage", {{"completion_tokens", outcome.total_tokens}}}};
  WriteWhole(kHttpOk, "application/json",
             body.dump(-1, ' ', false, kReplaceInvalid),
             {{"Balsam-Generation", id}, {"Balsam-Request", request_id}});
}

void ResponseWriter::FinishError(
    const std::optional<generation::GenerationId>& generation,
    const Outcome& outcome, const std::string& request_id) {
  const std::string body = ErrorBody(outcome, request_id);
  if (streaming_) {
    WriteChunk(
        QByteArray::fromStdString("event: error\ndata: " + body + "\n\n"));
    EndStream();
    return;
  }
  ResponseHeaders headers = {
      {"Balsam-Ran", std::string(NameOf(outcome.run_state))},
      {"Balsam-Request", request_id}};
  if (outcome.retry_after.count() > 0) {
    headers.emplace_back("Retry-After",
                         std::to_string(CeilSeconds(outcome.retry_after)));
  }
  if (generation.has_value() && form_ == AnswerForm::kCall) {
    headers.emplace_back("Balsam-Ticket", generation->ToText());
  }
  WriteWhole(HttpStatusOf(outcome.code), "application/json", body,
             std::move(headers));
}

void ResponseWriter::KeepAlive() {
  if (!stream_ || !IsOpen()) return;
  if (!streaming_) BeginStream(std::nullopt);
  WriteChunk(": waiting\n\n");
}

void ResponseWriter::Abort() {
  if (socket_) socket_->abort();
  responder_.reset();
}

void ResponseWriter::BeginStream(
    const std::optional<generation::GenerationId>& generation) {
  streaming_ = true;
  responder_->writeStatusLine(Status::Ok);
  responder_->writeHeader("Content-Type", "text/event-stream");
  responder_->writeHeader("Cache-Control", "no-store");
  responder_->writeHeader("Transfer-Encoding", "chunked");
  if (generation.has_value()) {
    responder_->writeHeader("Balsam-Generation",
                            QByteArray::fromStdString(generation->ToText()));
  }
}

void ResponseWriter::WriteChunk(const QByteArray& data) {
  if (!IsOpen()) return;
  responder_->writeBody(QByteArray::number(data.size(), 16) + "\r\n" + data +
                        "\r\n");
}

void ResponseWriter::EndStream() {
  if (IsOpen()) responder_->writeBody("0\r\n\r\n");
  responder_.reset();
}

void ResponseWriter::WriteWhole(int status, const std::string& content_type,
                                const std::string& body,
                                ResponseHeaders headers) {
  responder_->writeStatusLine(static_cast<Status>(status));
  headers.emplace_back("Content-Type", content_type);
  headers.emplace_back("Content-Length", std::to_string(body.size()));
  std::ranges::for_each(headers, [this](const auto& header) {
    responder_->writeHeader(QByteArray::fromStdString(header.first),
                            QByteArray::fromStdString(header.second));
  });
  responder_->writeBody(QByteArray::fromStdString(body));
  responder_.reset();
}

}  // namespace balsam::entry
