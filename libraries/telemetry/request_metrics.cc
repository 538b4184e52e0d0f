// Metrics with prometheus-cpp.
#include "libraries/telemetry/request_metrics.h"

#include <prometheus/text_serializer.h>

namespace balsam::telemetry {
namespace {

const prometheus::Histogram::BucketBoundaries kSecondsBuckets = {
    0.005, 0.02, 0.056, 0.1, 0.25, 0.72, 2, 8, 30};
const prometheus::Histogram::BucketBoundaries kCountBuckets = {0, 1, 2, 4, 8};

template <typename Builder>
auto& Register(Builder builder, prometheus::Registry& registry,
               const std::string& process, const std::string& name,
               const std::string& help) {
  return builder.Name("balsam_" + name)
      .Help(help)
      .Labels({{"process", process}})
      .Register(registry);
}

}  // namespace

RequestMetrics::RequestMetrics(const std::string& process,
                               std::size_t max_label_sets)
    : process_(process),
      max_label_sets_(max_label_sets),
      first_token_(Register(prometheus::BuildHistogram(), registry_, process,
                            "first_token_seconds",
                            "Time from a request to its first token")),
      between_tokens_(Register(prometheus::BuildHistogram(), registry_, process,
                               "between_tokens_seconds",
                               "Time between two tokens of a generation")),
      stall_(Register(prometheus::BuildHistogram(), registry_, process,
                      "stall_seconds",
                      "Time beyond 250 ms between two tokens, a generation")),
      queueing_(Register(prometheus::BuildHistogram(), registry_, process,
                         "queueing_seconds",
                         "Time from taking work on to its dispatch")),
      preemptions_(Register(prometheus::BuildHistogram(), registry_, process,
                            "preemptions", "Preemptions of one generation")),
      tokens_(Register(prometheus::BuildCounter(), registry_, process,
                       "tokens_total", "Tokens relayed")),
      outcomes_family_(Register(prometheus::BuildCounter(), registry_, process,
                                "outcomes_total", "Requests by result code")) {}

RequestInstruments& RequestMetrics::InstrumentsFor(
    const std::string& workspace, const std::string& service_class) {
  const std::lock_guard lock(mutex_);
  Labels labels{workspace, service_class};
  const auto existing = instruments_.find(labels);
  if (existing != instruments_.end()) return existing->second;
  if (instruments_.size() >= max_label_sets_) labels = {"other", "other"};
  const prometheus::Labels label_values = {{"workspace", labels.first},
                                           {"class", labels.second}};
  RequestInstruments& instruments = instruments_[labels];
  if (instruments.first_token != nullptr) return instruments;
  instruments.first_token = &first_token_.Add(label_values, kSecondsBuckets);
  instruments.between_tokens =
      &between_tokens_.Add(label_values, kSecondsBuckets);
  instruments.stall = &stall_.Add(label_values, kSecondsBuckets);
  instruments.queueing = &queueing_.Add(label_values, kSecondsBuckets);
  instruments.preemptions = &preemptions_.Add(label_values, kCountBuckets);
  instruments.tokens = &tokens_.Add(label_values);
  return instruments;
}

void RequestMetrics::CountOutcome(const std::string& workspace,
                                  ResultCode code) {
  CountOutcome(workspace, static_cast<int>(code), NameOf(code));
}

void RequestMetrics::CountOutcome(const std::string& workspace, int code,
                                  std::string_view name) {
  const std::lock_guard lock(mutex_);
  std::tuple key(workspace, code, std::string(name));
  if (outcomes_.size() >= max_label_sets_ && !outcomes_.contains(key)) {
    std::get<0>(key) = "other";
  }
  prometheus::Counter*& counter = outcomes_[key];
  if (counter == nullptr) {
    counter = &outcomes_family_.Add({{"workspace", std::get<0>(key)},
                                     {"code", std::to_string(code)},
                                     {"name", std::string(name)}});
  }
  counter->Increment();
}

void RequestMetrics::SetGauge(const std::string& name, double value) {
  const std::lock_guard lock(mutex_);
  Register(prometheus::BuildGauge(), registry_, process_, name, name)
      .Add({})
      .Set(value);
}

void RequestMetrics::CountEvent(const std::string& name) {
  const std::lock_guard lock(mutex_);
  Register(prometheus::BuildCounter(), registry_, process_, name, name)
      .Add({})
      .Increment();
}

std::string RequestMetrics::Serialize() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace balsam::telemetry
