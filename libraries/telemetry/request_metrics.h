// Histograms and counters of requests, by workspace and service class. The
// number of label sets is bounded regardless of the requests.
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

// Converts a duration to the unit that time histograms observe.
inline double Seconds(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

// The instruments of one workspace and service class. Pointers stay valid for
// the lifetime of the RequestMetrics.
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
  // Default maximum number of label sets; each takes about 3 KB.
  static constexpr std::size_t kDefaultLabelSets = 4000;

  // `process` is the kind of process; it becomes a label of every metric.
  explicit RequestMetrics(const std::string& process,
                          std::size_t max_label_sets = kDefaultLabelSets);

  // Safe to call from any thread. Beyond `max_label_sets`, all further label
  // sets share one named "other".
  RequestInstruments& InstrumentsFor(const std::string& workspace,
                                     const std::string& service_class);
  void CountOutcome(const std::string& workspace, ResultCode code);
  // `code` is the number for `name`, such as an HTTP status.
  void CountOutcome(const std::string& workspace, int code,
                    std::string_view name);
  void SetGauge(const std::string& name, double value);
  void CountEvent(const std::string& name);

  // Returns all metrics in the Prometheus text format.
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
  prometheus::Family<prometheus::Counter>& outcomes_family_;
};

// The time between two tokens beyond this threshold counts as a stall.
inline constexpr std::chrono::milliseconds kStallThreshold{250};

}  // namespace balsam::telemetry
