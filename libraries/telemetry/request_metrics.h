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
#include <string_view>
#include <tuple>
#include <utility>

#include "libraries/base/result_code.h"

namespace balsam::telemetry {

// What histograms of time observe.
inline double Seconds(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

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
  // Label sets that a process keeps by default; each takes about 3 KB.
  static constexpr std::size_t kDefaultLabelSets = 4000;

  // `process` names the kind of process in each metric's labels.
  explicit RequestMetrics(const std::string& process,
                          std::size_t max_label_sets = kDefaultLabelSets);

  // Safe from any thread. Beyond the bound, label sets share one named
  // "other".
  RequestInstruments& For(const std::string& workspace,
                          const std::string& service_class);
  void CountOutcome(const std::string& workspace, ResultCode code);
  // `code`: a number that belongs to `name`, such as the status of an answer.
  void CountOutcome(const std::string& workspace, int code,
                    std::string_view name);
  void SetGauge(const std::string& name, double value);
  void CountEvent(const std::string& name);

  // The text exposition format of all metrics.
  std::string Serialize() const;

 private:
  using Labels = std::pair<std::string, std::string>;

  prometheus::Registry registry_;
  std::string process_;
  std::size_t max_label_sets_;
  std::mutex mutex_;
  std::map<Labels, RequestInstruments> instruments_;
  std::map<std::tuple<std::string, int, std::string>, prometheus::Counter*>
      outcomes_;
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
