// HTTP client for tests on QNetworkAccessManager.
#include "tests/processes/http_client.h"

#include <QCoreApplication>
#include <QTimer>
#include <sstream>

namespace balsam::processes {

using nlohmann::json;

int HttpResponse::Code() const {
  const json parsed = Json();
  if (!parsed.is_object() || !parsed.contains("error")) return 0;
  return parsed["error"].value("code", 0);
}

std::string HttpResponse::Ran() const {
  const auto found = headers.find("balsam-ran");
  return found == headers.end() ? std::string() : found->second;
}

bool WaitUntil(const std::function<bool()>& done,
               std::chrono::milliseconds limit) {
  QElapsedTimer timer;
  timer.start();
  while (!done()) {
    if (timer.elapsed() > limit.count()) return false;
    QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
    QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
  }
  return true;
}

AsyncRequest::AsyncRequest(const std::string& method, const std::string& url,
                           const std::string& body, const Headers& headers) {
  QNetworkRequest request(QUrl(QString::fromStdString(url)));
  request.setRawHeader("Connection", "close");
  for (const auto& [name, value] : headers) {
    request.setRawHeader(QByteArray::fromStdString(name),
                         QByteArray::fromStdString(value));
  }
  reply_.reset(manager_.sendCustomRequest(request,
                                          QByteArray::fromStdString(method),
                                          QByteArray::fromStdString(body)));
  QObject::connect(reply_.get(), &QNetworkReply::readyRead,
                   [this] { received_ += reply_->readAll().toStdString(); });
}

bool AsyncRequest::Wait(std::chrono::milliseconds limit) {
  return WaitUntil([this] { return finished(); }, limit);
}

HttpResponse AsyncRequest::response() const {
  HttpResponse response;
  response.status =
      reply_->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
  response.body = received_ + reply_->readAll().toStdString();
  for (const auto& [name, value] : reply_->rawHeaderPairs()) {
    response.headers[name.toLower().toStdString()] = value.toStdString();
  }
  return response;
}

HttpResponse Send(const std::string& method, const std::string& url,
                  const std::string& body, const Headers& headers) {
  AsyncRequest request(method, url, body, headers);
  request.Wait();
  return request.response();
}

EventStreamContent ParseEventStream(const std::string& received) {
  EventStreamContent result;
  std::istringstream lines(received);
  std::string line;
  bool is_error = false;
  std::string id;
  while (std::getline(lines, line)) {
    if (line.starts_with("event: error")) is_error = true;
    if (line.starts_with("id: ")) id = line.substr(4);
    if (!line.starts_with("data: ")) continue;
    const std::string data = line.substr(6);
    if (data == "[DONE]") {
      result.done = true;
      continue;
    }
    const json event = json::parse(data, nullptr, false);
    if (!event.is_object()) continue;
    if (is_error) {
      result.error = event["error"];
      continue;
    }
    const std::string text = event["choices"][0].value("text", "");
    if (text.empty()) continue;
    result.text += text;
    result.last_id = id;
  }
  result.tokens =
      static_cast<int>(std::count(result.text.begin(), result.text.end(), ' '));
  return result;
}

std::string ExpectedText(int first, int count) {
  std::string text;
  for (int i = first; i < first + count; ++i) text += " t" + std::to_string(i);
  return text;
}

}  // namespace balsam::processes
