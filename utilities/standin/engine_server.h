// HTTP server of the stand-in engine: completions as server-sent events,
// resumption and cancellation by stream id, orders, and load.
#pragma once

#include <QObject>
#include <QTimer>
#include <map>
#include <random>
#include <set>

#include "utilities/standin/engine_model.h"
#include "utilities/standin/http_server.h"

namespace balsam::standin {

struct EngineServerOptions {
  EngineParameters parameters;
  // Virtual seconds per real second.
  double time_scale = 1.0;
  std::uint64_t seed = 1;
  double median_output_tokens = 60.0;
  double output_sigma = 0.8;
  // Whether an order with an outdated fencing number is rejected.
  bool checks_fencing = true;
};

class EngineServer : public QObject {
  Q_OBJECT

 public:
  explicit EngineServer(EngineServerOptions options, QObject* parent = nullptr);
  std::uint16_t Start(std::uint16_t port) {
    return ListenAndServe(server_, port,
                          [this](const StandinHttpRequest& request,
                                 DeferredResponsePtr response) {
                            HandleRequest(request, std::move(response));
                          });
  }

 private:
  struct Stream {
    std::vector<std::string> tokens;
    bool ended = false;
    DeferredResponsePtr reader;
    std::uint64_t sent = 0;
  };

  void HandleRequest(const StandinHttpRequest& request,
                     DeferredResponsePtr response);
  void StartGeneration(const StandinHttpRequest& request,
                       DeferredResponsePtr response);
  void HandleStream(const StandinHttpRequest& request,
                    DeferredResponsePtr response);
  void HandleOrder(const StandinHttpRequest& request,
                   const DeferredResponsePtr& response);
  void AttachReader(Stream& stream, DeferredResponsePtr response,
                    std::uint64_t from);
  void SendTokens(Stream& stream);
  void RunStep();
  void ScheduleStep(std::chrono::microseconds duration);
  std::int64_t OutputTokensFor(const std::string& prompt,
                               std::int64_t max_tokens);

  EngineServerOptions options_;
  EngineModel model_;
  QHttpServer server_;
  QTimer step_timer_;
  bool step_scheduled_ = false;
  std::chrono::microseconds remaining_delay_{0};
  std::map<std::string, Stream> streams_;
  std::deque<std::string> finished_streams_;
  std::mt19937_64 random_;
  std::uint64_t started_count_ = 0;
  std::uint64_t produced_tokens_ = 0;
  std::uint64_t fencing_number_ = 0;
  nlohmann::json loaded_state_ = nlohmann::json::object();
  // The loaded versions, in the order of loading.
  nlohmann::json loads_ = nlohmann::json::array();
};

}  // namespace balsam::standin
