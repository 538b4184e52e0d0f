// HTTP server for operators: health, readiness, metrics, status, explain and
// drain. All paths but health and readiness require the operators' key.
#pragma once

#include <QHttpServer>
#include <QObject>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "libraries/base/error.h"
#include "libraries/settings/process_settings.h"

namespace balsam::http {

class OperatorServer : public QObject {
  Q_OBJECT

 public:
  explicit OperatorServer(std::string operator_key, QObject* parent = nullptr);

  // Fails with kInvalidSettings if the address cannot be listened on.
  Result<void> Listen(const settings::Listener& listener);
  std::uint16_t port() const { return port_; }

  // Callbacks, set before `Listen`.
  std::function<bool()> is_ready;
  std::function<std::string()> metrics;
  std::function<nlohmann::json()> status;
  // Returns the response to `/explain` for its "request" parameter; an object.
  std::function<nlohmann::json(const std::string& query)> explain;
  std::function<void()> drain;

 private:
  bool IsAuthorized(const QHttpServerRequest& request) const;
  void Route(const QString& path, QHttpServerRequest::Method method,
             std::function<nlohmann::json(const QHttpServerRequest&)> handler);

  std::string operator_key_;
  QHttpServer server_;
  std::uint16_t port_ = 0;
};

// Returns the bearer token of the request, or an empty string.
std::string BearerToken(const QHttpServerRequest& request);
// Returns the value of the first header of this name, compared without case; an
// empty string if there is none.
std::string HeaderValue(const QHttpServerRequest& request, QByteArrayView name);

}  // namespace balsam::http
