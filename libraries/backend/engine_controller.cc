// Orders and state reads over HTTP.
#include "libraries/backend/engine_controller.h"

#include <QNetworkReply>
#include <nlohmann/json.hpp>

#include "libraries/backend/one_shot_body.h"
#include "libraries/base/log_event.h"
#include "libraries/decoding/bounded_json.h"

namespace balsam::backend {
namespace {

using nlohmann::json;
using orders::OrderResult;

constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpUnavailable = 503;

OrderResult OrderResultOf(int status) {
  switch (status) {
    case kHttpOk:
      return OrderResult::kApplied;
    case kHttpConflict:
      return OrderResult::kStaleFencingNumber;
    case kHttpTooManyRequests:
    case kHttpUnavailable:
      return OrderResult::kWeightStoreBusy;
    default:
      return OrderResult::kFailed;
  }
}

int StatusOf(const QNetworkReply& reply) {
  return reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
}

// Returns the member's text; empty if it is absent or not a string.
std::string MemberText(const json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

}  // namespace

EngineController::EngineController(QUrl base_url,
                                   std::chrono::milliseconds response_timeout,
                                   orders::EngineReconciler::Config config,
                                   QObject* parent)
    : QObject(parent),
      base_url_(std::move(base_url)),
      response_timeout_(response_timeout),
      reconciler_(config) {}

void EngineController::Tick(BootTime now) {
  if (reconciler_.BeginStateRead(now)) ReadState();
  if (const auto order = reconciler_.TakeOrder(now)) SendOrder(*order);
}

QNetworkRequest EngineController::RequestFor(const QString& path) const {
  QUrl url = base_url_;
  url.setPath(path);
  QNetworkRequest request(url);
  request.setTransferTimeout(static_cast<int>(response_timeout_.count()));
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  return request;
}

void EngineController::SendOrder(const orders::Order& order) {
  const json body = {{"fencing_number", order.fencing_number},
                     {"model", order.state.model},
                     {"adapter", order.state.adapter},
                     {"version", order.state.version},
                     {"role", order.state.role}};
  const QByteArray bytes = QByteArray::fromStdString(body.dump());
  QNetworkRequest request = RequestFor("/engine/orders");
  request.setHeader(QNetworkRequest::ContentLengthHeader, bytes.size());
  // Qt repeats a request when a kept-alive connection closes, unless its body
  // can be read only once. A repeated order could be outdated when it is sent.
  auto* content = new OneShotBody(bytes, this);
  QNetworkReply* reply = manager_.post(request, content);
  content->setParent(reply);
  connect(reply, &QNetworkReply::finished, this, [this, reply, order] {
    reply->deleteLater();
    const int status = StatusOf(*reply);
    reconciler_.OnOrderResult(OrderResultOf(status), BootClock::now());
    LogEvent("order")
        .With("number", order.fencing_number)
        .With("model", order.state.model)
        .With("adapter", order.state.adapter)
        .With("version", order.state.version)
        .With("role", order.state.role)
        .With("status", status);
  });
}

void EngineController::ReadState() {
  QNetworkReply* reply = manager_.get(RequestFor("/engine/state"));
  connect(reply, &QNetworkReply::finished, this, [this, reply] {
    reply->deleteLater();
    const json state = decoding::ParseJson(reply->readAll().toStdString());
    if (StatusOf(*reply) != kHttpOk || !state.is_object()) return;
    const auto number = state.find("fencing_number");
    const bool has_number =
        number != state.end() && number->is_number_unsigned();
    reconciler_.OnStateRead(
        {MemberText(state, "model"), MemberText(state, "adapter"),
         MemberText(state, "version"), MemberText(state, "role")},
        has_number ? number->get<std::uint64_t>() : 0, BootClock::now());
  });
}

}  // namespace balsam::backend
