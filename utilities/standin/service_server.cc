// Runs, run counters and faults of the stand-in service.
#include "utilities/standin/service_server.h"

#include <QTimer>

namespace balsam::standin {

using nlohmann::json;

void ServiceServer::HandleRequest(const StandinHttpRequest& request,
                                  const DeferredResponsePtr& response) {
  if (request.path == "/counters") {
    response->SendJson(200, {{"runs", run_counts_}});
    return;
  }
  if (request.path == "/faults") {
    const json body = json::parse(request.body, nullptr, false);
    if (body.is_object()) {
      delay_ =
          std::chrono::milliseconds(body.value("delay_ms", delay_.count()));
      closes_without_response_ =
          body.value("cut_answers", closes_without_response_);
    }
    response->SendJson(200, {{"delay_ms", delay_.count()}});
    return;
  }
  const std::uint64_t runs = ++run_counts_[request.body];
  if (closes_without_response_) {
    response->CloseWithoutResponse();
    return;
  }
  const json reply = {{"done", request.path}, {"run", runs}};
  QTimer::singleShot(delay_, this,
                     [response, reply] { response->SendJson(200, reply); });
}

}  // namespace balsam::standin
