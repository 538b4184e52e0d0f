// Serves the engine model over HTTP.
//
// A prompt may contain directives for tests: "[[tokens=N]]" sets the output
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
constexpr std::size_t kMaxFinishedStreams = 2000;
constexpr std::chrono::milliseconds kCrashDelay{60};

std::string ReadPrompt(const json& body) {
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

void EngineServer::HandleRequest(const StandinHttpRequest& request,
                                 DeferredResponsePtr response) {
  if (request.method == "POST" && request.path.starts_with("/v1/")) {
    StartGeneration(request, std::move(response));
    return;
  }
  if (request.path.starts_with("/v1/streams/")) {
    HandleStream(request, std::move(response));
    return;
  }
  if (request.path == "/engine/orders" && request.method == "POST") {
    HandleOrder(request, response);
    return;
  }
  if (request.path == "/engine/state") {
    json state = loaded_state_;
    if (options_.checks_fencing) state["fencing_number"] = fencing_number_;
    state["loads"] = loads_;
    response->SendJson(200, state);
    return;
  }
  if (request.path == "/load") {
    response->SendJson(200,
                       {{"used_tokens", model_.used_tokens()},
                        {"memory_tokens", options_.parameters.memory_tokens},
                        {"running", model_.running()},
                        {"waiting", model_.waiting()},
                        {"preemptions", model_.preemptions()},
                        {"prefix_hits", model_.prefix_hits()},
                        {"started", started_count_},
                        {"tokens", produced_tokens_}});
    return;
  }
  response->SendJson(404, {{"error", "path does not exist"}});
}

void EngineServer::HandleOrder(const StandinHttpRequest& request,
                               const DeferredResponsePtr& response) {
  json order = json::parse(request.body, nullptr, false);
  if (!order.is_object()) {
    response->SendJson(400, {{"error", "the order is not a JSON object"}});
    return;
  }
  const auto number = order.value("fencing_number", std::uint64_t{0});
  if (options_.checks_fencing && number < fencing_number_) {
    response->SendJson(409, {{"error", "outdated fencing number"}});
    return;
  }
  fencing_number_ = number;
  order.erase("fencing_number");
  // An order for what is already loaded does not read the weight store again.
  if (order != loaded_state_) loads_.push_back(order.value("version", ""));
  loaded_state_ = std::move(order);
  response->SendJson(200, {{"applied", number}});
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

void EngineServer::StartGeneration(const StandinHttpRequest& request,
                                   DeferredResponsePtr response) {
  const json body = json::parse(request.body, nullptr, false);
  const std::string id = request.header("x-stream-id");
  if (!body.is_object() || id.empty() || streams_.contains(id)) {
    response->SendJson(
        400, {{"error", "invalid body, or stream id already in use"}});
    return;
  }
  const std::string prompt = ReadPrompt(body);
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
  ++started_count_;
  AttachReader(streams_[id], std::move(response), 0);
  if (prompt.find("[[crash]]") != std::string::npos) {
    QTimer::singleShot(kCrashDelay, [] { std::_Exit(1); });
  }
  if (!step_scheduled_) ScheduleStep(std::chrono::microseconds(0));
}

void EngineServer::HandleStream(const StandinHttpRequest& request,
                                DeferredResponsePtr response) {
  const std::string id = request.path.substr(sizeof("/v1/streams/") - 1);
  const auto stream = streams_.find(id);
  if (stream == streams_.end()) {
    response->SendJson(404, {{"error", "unknown stream"}});
    return;
  }
  if (request.method == "DELETE") {
    model_.Cancel(id);
    streams_.erase(stream);
    response->SendJson(200, {{"cancelled", id}});
    return;
  }
  AttachReader(stream->second, std::move(response),
               std::strtoull(request.parameter("from").c_str(), nullptr, 10));
}

void EngineServer::AttachReader(Stream& stream, DeferredResponsePtr response,
                                std::uint64_t from) {
  stream.reader = std::move(response);
  stream.sent = from;
  stream.reader->StartEventStream();
  SendTokens(stream);
}

void EngineServer::SendTokens(Stream& stream) {
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
  step_scheduled_ = true;
  // Timers have a resolution of one millisecond; the remainder is added to the
  // delay of the next step.
  remaining_delay_ += std::chrono::microseconds(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) / options_.time_scale));
  const auto whole =
      std::chrono::floor<std::chrono::milliseconds>(remaining_delay_);
  remaining_delay_ -= whole;
  step_timer_.start(whole);
}

void EngineServer::RunStep() {
  if (model_.IsIdle()) {
    step_scheduled_ = false;
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
    ++produced_tokens_;
  });
  std::ranges::for_each(result.ended, [this](const std::string& id) {
    streams_[id].ended = true;
    finished_streams_.push_back(id);
  });
  std::ranges::for_each(result.tokens, [this](const std::string& id) {
    SendTokens(streams_[id]);
  });
  while (finished_streams_.size() > kMaxFinishedStreams) {
    streams_.erase(finished_streams_.front());
    finished_streams_.pop_front();
  }
  ScheduleStep(result.duration);
}

}  // namespace balsam::standin
