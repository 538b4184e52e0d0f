// Serving the engine model.
//
// A prompt may hold directives for tests: "[[tokens=N]]" fixes the output's
// length, "[[crash]]" ends the process while the request runs.
#include "utilities/standin/engine_server.h"

#include <QElapsedTimer>
#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <regex>

#include "libraries/membership/rendezvous.h"

namespace balsam::standin {
namespace {

using nlohmann::json;

constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kPrefixBytes = 256;
constexpr std::size_t kKeptStreams = 2000;
constexpr std::chrono::milliseconds kCrashDelay{60};

std::string PromptOf(const json& body) {
  if (body.contains("prompt") && body["prompt"].is_string()) {
    return body["prompt"].get<std::string>();
  }
  return body.value("messages", json::array()).dump();
}

}  // namespace

EngineServer::EngineServer(EngineServerOptions options, QObject* parent)
    : QObject(parent),
      options_(options),
      model_(options.parameters),
      random_(options.seed) {
  step_timer_.setSingleShot(true);
  step_timer_.setTimerType(Qt::PreciseTimer);
  connect(&step_timer_, &QTimer::timeout, this, &EngineServer::RunStep);
}

void EngineServer::Handle(const StandinRequest& request,
                          LateAnswerPointer answer) {
  if (request.method == "POST" && request.path.starts_with("/v1/")) {
    Begin(request, std::move(answer));
    return;
  }
  if (request.path.starts_with("/v1/streams/")) {
    Resume(request, std::move(answer));
    return;
  }
  if (request.path == "/engine/orders" && request.method == "POST") {
    TakeOrder(request, answer);
    return;
  }
  if (request.path == "/engine/state") {
    json state = loaded_;
    if (options_.checks_fencing) state["fencing_number"] = fencing_number_;
    state["loads"] = loads_;
    answer->SendJson(200, state);
    return;
  }
  if (request.path == "/load") {
    answer->SendJson(200, {{"used_tokens", model_.used_tokens()},
                           {"memory_tokens", options_.parameters.memory_tokens},
                           {"running", model_.running()},
                           {"waiting", model_.waiting()},
                           {"preemptions", model_.preemptions()},
                           {"prefix_hits", model_.prefix_hits()},
                           {"started", started_},
                           {"tokens", tokens_}});
    return;
  }
  answer->SendJson(404, {{"error", "no such path"}});
}

void EngineServer::TakeOrder(const StandinRequest& request,
                             const LateAnswerPointer& answer) {
  json order = json::parse(request.body, nullptr, false);
  if (!order.is_object()) {
    answer->SendJson(400, {{"error", "bad order"}});
    return;
  }
  const auto number = order.value("fencing_number", std::uint64_t{0});
  if (options_.checks_fencing && number < fencing_number_) {
    answer->SendJson(409, {{"error", "old fencing number"}});
    return;
  }
  fencing_number_ = number;
  order.erase("fencing_number");
  // Loading what is loaded takes nothing from the weight store.
  if (order != loaded_) loads_.push_back(order.value("version", ""));
  loaded_ = std::move(order);
  answer->SendJson(200, {{"applied", number}});
}

std::int64_t EngineServer::OutputTokensFor(const std::string& prompt,
                                           std::int64_t max_tokens) {
  static const std::regex kDirective(R"(\[\[tokens=(\d{1,7})\]\])");
  std::smatch match;
  if (std::regex_search(prompt, match, kDirective)) {
    return std::clamp<std::int64_t>(std::stoll(match[1]), 1, max_tokens);
  }
  std::lognormal_distribution<double> lengths(
      std::log(options_.median_output_tokens), options_.output_sigma);
  return std::clamp<std::int64_t>(static_cast<std::int64_t>(lengths(random_)),
                                  1, max_tokens);
}

void EngineServer::Begin(const StandinRequest& request,
                         LateAnswerPointer answer) {
  const json body = json::parse(request.body, nullptr, false);
  const std::string id = request.header("x-stream-id");
  if (!body.is_object() || id.empty() || streams_.contains(id)) {
    answer->SendJson(400, {{"error", "bad body, or stream id used before"}});
    return;
  }
  const std::string prompt = PromptOf(body);
  EngineRequest work;
  work.id = id;
  work.prompt_tokens =
      static_cast<std::int64_t>(prompt.size() / kBytesPerToken + 1);
  work.output_tokens =
      OutputTokensFor(prompt, body.value("max_tokens", std::int64_t{4096}));
  work.priority = std::atoi(request.header("x-priority").c_str());
  work.prefix = membership::StableHash(prompt.substr(0, kPrefixBytes));
  work.prefix_tokens = static_cast<std::int64_t>(
      std::min(prompt.size(), kPrefixBytes) / kBytesPerToken);
  model_.Add(work);
  ++started_;
  Attach(streams_[id], std::move(answer), 0);
  if (prompt.find("[[crash]]") != std::string::npos) {
    QTimer::singleShot(kCrashDelay, [] { std::_Exit(1); });
  }
  if (!stepping_) ScheduleStep(std::chrono::microseconds(0));
}

void EngineServer::Resume(const StandinRequest& request,
                          LateAnswerPointer answer) {
  const std::string id = request.path.substr(sizeof("/v1/streams/") - 1);
  const auto stream = streams_.find(id);
  if (stream == streams_.end()) {
    answer->SendJson(404, {{"error", "unknown stream"}});
    return;
  }
  if (request.method == "DELETE") {
    model_.Cancel(id);
    streams_.erase(stream);
    answer->SendJson(200, {{"cancelled", id}});
    return;
  }
  Attach(stream->second, std::move(answer),
         std::strtoull(request.parameter("from").c_str(), nullptr, 10));
}

void EngineServer::Attach(Stream& stream, LateAnswerPointer answer,
                          std::uint64_t from) {
  stream.reader = std::move(answer);
  stream.sent = from;
  stream.reader->BeginEvents();
  Flush(stream);
}

void EngineServer::Flush(Stream& stream) {
  if (stream.reader == nullptr || !stream.reader->IsOpen()) return;
  while (stream.sent < stream.tokens.size()) {
    const json event = {
        {"choices",
         json::array({{{"index", 0}, {"text", stream.tokens[stream.sent]}}})}};
    stream.reader->Write("data: " + event.dump() + "\n\n");
    ++stream.sent;
  }
  if (!stream.ended) return;
  stream.reader->Write("data: [DONE]\n\n");
  stream.reader->End();
  stream.reader = nullptr;
}

void EngineServer::ScheduleStep(std::chrono::microseconds duration) {
  stepping_ = true;
  // Timers have a resolution of a millisecond; what is left over is carried
  // into the next step.
  debt_ += std::chrono::microseconds(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) / options_.time_scale));
  const auto whole = std::chrono::floor<std::chrono::milliseconds>(debt_);
  debt_ -= whole;
  step_timer_.start(whole);
}

void EngineServer::RunStep() {
  if (model_.IsIdle()) {
    stepping_ = false;
    return;
  }
  const StepResult result = model_.Step();
  std::ranges::for_each(result.preempted, [this](const std::string& id) {
    const auto stream = streams_.find(id);
    if (stream != streams_.end() && stream->second.reader != nullptr) {
      stream->second.reader->Write("data: {\"preempted\":true}\n\n");
    }
  });
  std::ranges::for_each(result.tokens, [this](const std::string& id) {
    Stream& stream = streams_[id];
    stream.tokens.push_back(" t" + std::to_string(stream.tokens.size()));
    ++tokens_;
  });
  std::ranges::for_each(result.ended, [this](const std::string& id) {
    streams_[id].ended = true;
    ended_order_.push_back(id);
  });
  std::ranges::for_each(result.tokens,
                        [this](const std::string& id) { Flush(streams_[id]); });
  while (ended_order_.size() > kKeptStreams) {
    streams_.erase(ended_order_.front());
    ended_order_.pop_front();
  }
  ScheduleStep(result.duration);
}

}  // namespace balsam::standin
