// The stand-in of the platform's configuration service: values with revisions,
// read and watched over HTTP; written, and made to fail, by tests.
#pragma once

#include <QObject>
#include <QTimer>
#include <map>
#include <vector>

#include "utilities/standin/http_parts.h"

namespace balsam::standin {

class PlatformServer : public QObject {
  Q_OBJECT

 public:
  explicit PlatformServer(QObject* parent = nullptr);
  std::uint16_t Start(std::uint16_t port) {
    return Serve(server_, port,
                 [this](const StandinRequest& request, LateAnswerPointer a) {
                   Handle(request, std::move(a));
                 });
  }
  // Publishes as an operator does; returns the new revision.
  std::uint64_t Publish(const std::string& name, const std::string& value);

 private:
  struct Version {
    std::uint64_t revision = 0;
    std::string value;
  };
  struct Value {
    // All versions, oldest first.
    std::vector<Version> versions;
    // A reader sees this version at most; zero: the newest.
    std::uint64_t stale_revision = 0;
  };
  struct Watch {
    std::string name;
    std::uint64_t after = 0;
    LateAnswerPointer answer;
    std::chrono::steady_clock::time_point until;
  };

  void Handle(const StandinRequest& request, LateAnswerPointer answer);
  void Read(const StandinRequest& request, LateAnswerPointer answer);
  void Put(const StandinRequest& request, const LateAnswerPointer& answer);
  const Version* Visible(const std::string& name) const;
  bool Answer(const std::string& name, std::uint64_t after,
              const LateAnswerPointer& answer) const;
  void CheckWatches();

  QHttpServer server_;
  std::map<std::string, Value> values_;
  std::vector<Watch> watches_;
  QTimer watch_timer_;
  bool down_ = false;
  std::uint64_t calls_ = 0;
};

}  // namespace balsam::standin
