// The histograms and counters of requests, for each workspace and class. The
// number of label sets is bounded, whatever callers send.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "libraries/base/result_code.h"

namespace balsam::telemetry {

// The instruments of one workspace and class; pointers stay valid.
struct RequestInstruments {
  prometheus::Histogram* first_token = nullptr;
  prometheus::Histogram* between_tokens = nullptr;
  prometheus::Histogram* stall = nullptr;
  prometheus::Histogram* queueing = nullptr;
  prometheus::Histogram* preemptions = nullptr;
  prometheus::Counter* tokens = nullptr;
};

class RequestMetrics {
 public:
  // `process` names the kind of process in each metric's labels.
  explicit RequestMetrics(const std::string& process);

  // Safe from any thread. Beyond the bound, label sets share one named
  // "other".
  RequestInstruments& For(const std::string& workspace,
                          const std::string& service_class);
  void CountOutcome(const std::string& workspace, ResultCode code);
  void SetGauge(const std::string& name, double value);
  void CountEvent(const std::string& name);

  // The text exposition format of all metrics.
  std::string Serialize() const;

 private:
  using Labels = std::pair<std::string, std::string>;

  prometheus::Registry registry_;
  std::string process_;
  std::mutex mutex_;
  std::map<Labels, RequestInstruments> instruments_;
  std::map<std::pair<std::string, int>, prometheus::Counter*> outcomes_;
  prometheus::Family<prometheus::Histogram>& first_token_;
  prometheus::Family<prometheus::Histogram>& between_tokens_;
  prometheus::Family<prometheus::Histogram>& stall_;
  prometheus::Family<prometheus::Histogram>& queueing_;
  prometheus::Family<prometheus::Histogram>& preemptions_;
  prometheus::Family<prometheus::Counter>& tokens_;
  prometheus::Family<prometheus::Counter>& outcome_;
};

// Time for which a stream gave nothing beyond this is a stall.
inline constexpr std::chrono::milliseconds kStallThreshold{250};

}  // namespace balsam::telemetry
