// Stand-in for a plain service, such as one that opens lockers. Counts how
// often each request ran.
#pragma once

#include <QObject>
#include <map>
#include <string>

#include "utilities/standin/http_server.h"

namespace balsam::standin {

class ServiceServer : public QObject {
  Q_OBJECT

 public:
  std::uint16_t Start(std::uint16_t port) {
    return ListenAndServe(server_, port,
                          [this](const StandinHttpRequest& request,
                                 const DeferredResponsePtr& response) {
                            HandleRequest(request, response);
                          });
  }

 private:
  void HandleRequest(const StandinHttpRequest& request,
                     const DeferredResponsePtr& response);

  QHttpServer server_;
  // Number of runs by request body.
  std::map<std::string, std::uint64_t> run_counts_;
  // Responses are delayed by this time.
  std::chrono::milliseconds delay_{0};
  // Requests run, but their connections are closed without a response.
  bool closes_without_response_ = false;
};

}  // namespace balsam::standin
