// Stand-in for the platform's configuration service: stores values with
// revisions, which clients read and watch over HTTP. Tests publish values and
// inject faults.
#pragma once

#include <QObject>
#include <QTimer>
#include <map>
#include <vector>

#include "utilities/standin/http_server.h"

namespace balsam::standin {

class PlatformServer : public QObject {
  Q_OBJECT

 public:
  explicit PlatformServer(QObject* parent = nullptr);
  std::uint16_t Start(std::uint16_t port) {
    return ListenAndServe(server_, port,
                          [this](const StandinHttpRequest& request,
                                 DeferredResponsePtr response) {
                            HandleRequest(request, std::move(response));
                          });
  }
  // Publishes a value as an operator would; returns the new revision.
  std::uint64_t Publish(const std::string& name, const std::string& value);

 private:
  struct Version {
    std::uint64_t revision = 0;
    std::string value;
  };
  struct Value {
    // All versions, oldest first.
    std::vector<Version> versions;
    // The revision that readers get, to simulate stale reads; zero means the
    // newest.
    std::uint64_t stale_revision = 0;
  };
  struct Watch {
    std::string name;
    std::uint64_t after = 0;
    DeferredResponsePtr response;
    std::chrono::steady_clock::time_point until;
  };

  void HandleRequest(const StandinHttpRequest& request,
                     DeferredResponsePtr response);
  void Read(const StandinHttpRequest& request, DeferredResponsePtr response);
  void Put(const StandinHttpRequest& request,
           const DeferredResponsePtr& response);
  const Version* VisibleVersion(const std::string& name) const;
  bool SendIfNewer(const std::string& name, std::uint64_t after,
                   const DeferredResponsePtr& response) const;
  void CheckWatches();

  QHttpServer server_;
  std::map<std::string, Value> values_;
  std::vector<Watch> watches_;
  QTimer watch_timer_;
  bool down_ = false;
  std::uint64_t calls_ = 0;
};

}  // namespace balsam::standin
