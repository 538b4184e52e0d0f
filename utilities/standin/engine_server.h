// The stand-in engine over HTTP: completions as server-sent events, resume and
// cancel by stream id, load, and switches for faults.
#pragma once

#include <QObject>
#include <QTimer>
#include <map>
#include <random>
#include <set>

#include "utilities/standin/engine_model.h"
#include "utilities/standin/http_parts.h"

namespace balsam::standin {

struct EngineServerOptions {
  EngineParameters parameters;
  // Virtual seconds for each real one.
  double time_scale = 1.0;
  std::uint64_t seed = 1;
  double median_output_tokens = 60.0;
  double output_sigma = 0.8;
  // Whether an order with an old fencing number is refused.
  bool checks_fencing = true;
};

class EngineServer : public QObject {
  Q_OBJECT

 public:
  explicit EngineServer(EngineServerOptions options, QObject* parent = nullptr);
  std::uint16_t Start(std::uint16_t port) {
    return Serve(server_, port,
                 [this](const StandinRequest& request, LateAnswerPointer a) {
                   Handle(request, std::move(a));
                 });
  }

 private:
  struct Stream {
    std::vector<std::string> tokens;
    bool ended = false;
    LateAnswerPointer reader;
    std::uint64_t sent = 0;
  };

  void Handle(const StandinRequest& request, LateAnswerPointer answer);
  void Begin(const StandinRequest& request, LateAnswerPointer answer);
  void Resume(const StandinRequest& request, LateAnswerPointer answer);
  void TakeOrder(const StandinRequest& request,
                 const LateAnswerPointer& answer);
  void Attach(Stream& stream, LateAnswerPointer answer, std::uint64_t from);
  void Flush(Stream& stream);
  void RunStep();
  void ScheduleStep(std::chrono::microseconds duration);
  std::int64_t OutputTokensFor(const std::string& prompt,
                               std::int64_t max_tokens);

  EngineServerOptions options_;
  EngineModel model_;
  QHttpServer server_;
  QTimer step_timer_;
  bool stepping_ = false;
  std::chrono::microseconds debt_{0};
  std::map<std::string, Stream> streams_;
  std::deque<std::string> ended_order_;
  std::mt19937_64 random_;
  std::uint64_t started_ = 0;
  std::uint64_t tokens_ = 0;
  std::uint64_t fencing_number_ = 0;
  nlohmann::json loaded_ = nlohmann::json::object();
  // The versions that were loaded, in order.
  nlohmann::json loads_ = nlohmann::json::array();
};

}  // namespace balsam::standin
