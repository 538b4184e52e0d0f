// Responses through QHttpServerResponder.
#include "services/entry/response_writer.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>

namespace balsam::entry {
namespace {

using nlohmann::json;
using Status = QHttpServerResponder::StatusCode;

constexpr int kHttpOk = 200;
constexpr auto kReplaceInvalidUtf8 = json::error_handler_t::replace;

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
  return json{{"error", error}}.dump(-1, ' ', false, kReplaceInvalidUtf8);
}

ResponseWriter::ResponseWriter(QHttpServerResponder&& responder,
                               ResponseFormat format, bool stream,
                               std::string model, QObject* parent)
    : QObject(parent),
      responder_(std::move(responder)),
      socket_(responder_->socket()),
      format_(format),
      stream_(stream),
      model_(std::move(model)) {
  if (!socket_) return;
  connect(socket_, &QTcpSocket::disconnected, this, [this] {
    if (on_caller_disconnected) on_caller_disconnected();
  });
  connect(socket_, &QTcpSocket::bytesWritten, this, [this] {
    if (on_bytes_written) on_bytes_written();
  });
}

bool ResponseWriter::IsOpen() const {
  return responder_.has_value() && socket_ &&
         socket_->state() == QAbstractSocket::ConnectedState;
}

qint64 ResponseWriter::pending_bytes() const {
  return socket_ ? socket_->bytesToWrite() : 0;
}

void ResponseWriter::SetRequested(ResponseFormat format, std::string model) {
  format_ = format;
  model_ = std::move(model);
}

void ResponseWriter::WriteTokens(const generation::GenerationId& generation,
                                 std::uint64_t first,
                                 std::span<const std::string> tokens) {
  std::string text =
      std::accumulate(tokens.begin(), tokens.end(), std::string());
  if (!stream_) {
    buffered_text_ += text;
    return;
  }
  if (!IsOpen()) return;
  if (!stream_started_) StartEventStream(generation);
  const generation::EventId event{generation, first + tokens.size()};
  WriteChunk(QByteArray::fromStdString(
      "id: " + event.ToText() +
      "\ndata: " + CompletionEvent(generation.ToText(), text, false) + "\n\n"));
}

std::string ResponseWriter::CompletionEvent(const std::string& id,
                                            const std::string& text,
                                            bool is_last) const {
  json choice = {{"index", 0}};
  if (format_ == ResponseFormat::kChat) {
    choice["delta"] = is_last ? json::object() : json{{"content", text}};
  } else {
    choice["text"] = text;
  }
  choice["finish_reason"] = is_last ? json("stop") : json(nullptr);
  const json event = {
      {"id", id},
      {"object", format_ == ResponseFormat::kChat ? "chat.completion.chunk"
                                                  : "text_completion"},
      {"model", model_},
      {"choices", json::array({choice})}};
  return event.dump(-1, ' ', false, kReplaceInvalidUtf8);
}

void ResponseWriter::Finish(
    const std::optional<generation::GenerationId>& generation,
    const Outcome& outcome, const std::string& request_id) {
  if (!IsOpen()) {
    responder_.reset();
    return;
  }
  if (outcome.code != ResultCode::kOk) {
    FinishWithError(generation, outcome, request_id);
    return;
  }
  const std::string id =
      generation.has_value() ? generation->ToText() : std::string();
  if (format_ == ResponseFormat::kCall) {
    WriteFullResponse(outcome.http_status, outcome.content_type, outcome.body,
                      {{"Balsam-Ran", "ran"},
                       {"Balsam-Ticket", id},
                       {"Balsam-Request", request_id}});
    return;
  }
  if (stream_) {
    if (!stream_started_) StartEventStream(generation);
    WriteChunk(QByteArray::fromStdString(
        "data: " + CompletionEvent(id, "", true) + "\n\ndata: [DONE]\n\n"));
    FinishEventStream();
    return;
  }
  json choice = {{"index", 0}, {"finish_reason", "stop"}};
  if (format_ == ResponseFormat::kChat) {
    choice["message"] = {{"role", "assistant"}, {"content", buffered_text_}};
  } else {
    choice["text"] = buffered_text_;
  }
  const json body = {
      {"id", id},
      {"object", format_ == ResponseFormat::kChat ? "chat.completion"
                                                  : "text_completion"},
      {"model", model_},
      {"choices", json::array({choice})},
      {"usage", {{"completion_tokens", outcome.total_tokens}}}};
  WriteFullResponse(
      kHttpOk, "application/json",
      body.dump(-1, ' ', false, kReplaceInvalidUtf8),
      {{"Balsam-Generation", id}, {"Balsam-Request", request_id}});
}

void ResponseWriter::FinishWithError(
    const std::optional<generation::GenerationId>& generation,
    const Outcome& outcome, const std::string& request_id) {
  const std::string body = ErrorBody(outcome, request_id);
  if (stream_started_) {
    WriteChunk(
        QByteArray::fromStdString("event: error\ndata: " + body + "\n\n"));
    FinishEventStream();
    return;
  }
  ResponseHeaders headers = {
      {"Balsam-Ran", std::string(NameOf(outcome.run_state))},
      {"Balsam-Request", request_id}};
  if (outcome.retry_after.count() > 0) {
    headers.emplace_back("Retry-After",
                         std::to_string(CeilSeconds(outcome.retry_after)));
  }
  if (generation.has_value() && format_ == ResponseFormat::kCall) {
    headers.emplace_back("Balsam-Ticket", generation->ToText());
  }
  WriteFullResponse(HttpStatusOf(outcome.code), "application/json", body,
                    std::move(headers));
}

void ResponseWriter::KeepAlive() {
  if (!stream_ || !IsOpen()) return;
  if (!stream_started_) StartEventStream(std::nullopt);
  WriteChunk(": waiting\n\n");
}

void ResponseWriter::Abort() {
  if (socket_) socket_->abort();
  responder_.reset();
}

void ResponseWriter::StartEventStream(
    const std::optional<generation::GenerationId>& generation) {
  stream_started_ = true;
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

void ResponseWriter::FinishEventStream() {
  if (IsOpen()) responder_->writeBody("0\r\n\r\n");
  responder_.reset();
}

void ResponseWriter::WriteFullResponse(int status,
                                       const std::string& content_type,
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
