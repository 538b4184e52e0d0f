// Orders and state reads over HTTP.
#include "libraries/backend/engine_controller.h"

#include <nlohmann/json.hpp>

#include "libraries/base/log_event.h"
#include "libraries/decoding/bounded_json.h"

namespace balsam::backend {
namespace {

using nlohmann::json;
using orders::OrderResult;

constexpr std::size_t kMaxBodyBytes = 64 << 10;
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

// Zero if the call was not answered in full.
int StatusOf(const http::HttpCaller::Response& response) {
  return response.end == http::HttpCaller::End::kComplete ? response.head.status
                                                          : 0;
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

http::HttpCaller::Request EngineController::RequestFor(
    const std::string& method, const QString& path) const {
  QUrl url = base_url_;
  url.setPath(path);
  http::HttpCaller::Request request;
  request.url = url.toEncoded().toStdString();
  request.method = method;
  request.fields = {"Content-Type: application/json"};
  request.silence_limit = response_timeout_;
  request.max_body_bytes = kMaxBodyBytes;
  return request;
}

void EngineController::SendOrder(const orders::Order& order) {
  const json body = {{"fencing_number", order.fencing_number},
                     {"model", order.state.model},
                     {"adapter", order.state.adapter},
                     {"version", order.state.version},
                     {"role", order.state.role}};
  http::HttpCaller::Request request = RequestFor("POST", "/engine/orders");
  request.body = body.dump();
  const auto on_response = [this,
                            order](const http::HttpCaller::Response& response) {
    const int status = StatusOf(response);
    reconciler_.OnOrderResult(OrderResultOf(status), BootClock::now());
    LogEvent("order")
        .With("number", order.fencing_number)
        .With("model", order.state.model)
        .With("adapter", order.state.adapter)
        .With("version", order.state.version)
        .With("role", order.state.role)
        .With("status", status);
  };
  caller_.Send(std::move(request), on_response);
}

void EngineController::ReadState() {
  const auto on_response = [this](const http::HttpCaller::Response& response) {
    const json state = decoding::ParseJson(response.body);
    if (StatusOf(response) != kHttpOk || !state.is_object()) return;
    const auto number = state.find("fencing_number");
    const bool has_number =
        number != state.end() && number->is_number_unsigned();
    reconciler_.OnStateRead(
        {MemberText(state, "model"), MemberText(state, "adapter"),
         MemberText(state, "version"), MemberText(state, "role")},
        has_number ? number->get<std::uint64_t>() : 0, BootClock::now());
  };
  caller_.Send(RequestFor("GET", "/engine/state"), on_response);
}

}  // namespace balsam::backend
