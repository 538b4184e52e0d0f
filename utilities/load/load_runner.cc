// Open-loop load generator on libcurl's multi interface. QNetworkAccessManager
// is not used because it opens at most six connections to a host.
#include "utilities/load/load_runner.h"

#include <curl/curl.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>

namespace balsam::load {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr microseconds kStallThreshold{250000};
constexpr int kBytesPerToken = 4;

microseconds Since(Clock::time_point start, Clock::time_point now) {
  return std::chrono::duration_cast<microseconds>(now - start);
}

// One request in flight.
struct Transfer {
  RequestResult result;
  CURL* handle = nullptr;
  curl_slist* headers = nullptr;
  std::string body;
  std::string input;
  Clock::time_point sent;
  Clock::time_point last_token;
  std::vector<float>* gaps_ms = nullptr;
  bool direct = false;

  void ParseLine(std::string_view line, Clock::time_point now);
  void RecordTokens(std::int64_t next, Clock::time_point now);
};

void Transfer::RecordTokens(std::int64_t next, Clock::time_point now) {
  const std::int64_t count = next - result.tokens;
  if (count <= 0) return;
  if (result.tokens == 0) {
    result.first_token = Since(sent, now);
  } else {
    const microseconds gap = Since(last_token, now);
    if (!result.planned.whole && gaps_ms != nullptr) {
      gaps_ms->push_back(static_cast<float>(gap.count()) / 1000.0F);
      // Tokens that arrived together count as having no gap between them.
      gaps_ms->insert(gaps_ms->end(), static_cast<std::size_t>(count - 1),
                      0.0F);
    }
    result.stall += std::max(gap - kStallThreshold, microseconds(0));
  }
  result.tokens = next;
  last_token = now;
}

void Transfer::ParseLine(std::string_view line, Clock::time_point now) {
  constexpr std::string_view kId = "id: ";
  constexpr std::string_view kDone = "data: [DONE]";
  constexpr std::string_view kCode = "\"code\":";
  constexpr std::string_view kDirectToken = "data: {\"choices\"";
  if (line.starts_with(kId)) {
    const auto colon = line.rfind(':');
    RecordTokens(std::atoll(std::string(line.substr(colon + 1)).c_str()), now);
  } else if (direct && line.starts_with(kDirectToken)) {
    RecordTokens(result.tokens + 1, now);
  } else if (line == kDone) {
    result.complete = true;
  } else if (const auto at = line.find(kCode);
             at != std::string_view::npos &&
             line.find("\"error\"") != std::string_view::npos) {
    result.code =
        std::atoi(std::string(line.substr(at + kCode.size(), 8)).c_str());
  }
}

std::size_t OnBytes(char* data, std::size_t size, std::size_t count,
                    void* user) {
  auto& transfer = *static_cast<Transfer*>(user);
  const Clock::time_point now = Clock::now();
  transfer.input.append(data, size * count);
  std::size_t start = 0;
  for (auto end = transfer.input.find('\n'); end != std::string::npos;
       end = transfer.input.find('\n', start)) {
    transfer.ParseLine(
        std::string_view(transfer.input).substr(start, end - start), now);
    start = end + 1;
  }
  transfer.input.erase(0, start);
  return size * count;
}

std::size_t AppendTo(char* data, std::size_t size, std::size_t count,
                     void* user) {
  static_cast<std::string*>(user)->append(data, size * count);
  return size * count;
}

nlohmann::json FetchJson(const std::string& url) {
  std::string text;
  CURL* handle = curl_easy_init();
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, AppendTo);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &text);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, 5000L);
  curl_easy_perform(handle);
  curl_easy_cleanup(handle);
  auto parsed = nlohmann::json::parse(text, nullptr, false);
  return parsed.is_object() ? parsed : nlohmann::json::object();
}

// Returns the sum of one counter over all engines.
std::int64_t SumOverEngines(const LoadOptions& options, const char* name) {
  std::int64_t sum = 0;
  std::ranges::for_each(options.engines, [&](const std::string& engine) {
    sum += FetchJson(engine + "/load").value(name, std::int64_t{0});
  });
  return sum;
}

std::string MakeRequestBody(const LoadOptions& options,
                            const PlannedRequest& request, std::size_t number) {
  std::string prompt = "[[tokens=" + std::to_string(request.output_tokens) +
                       "]] request " + std::to_string(number) + " ";
  prompt.resize(
      std::max<std::size_t>(
          prompt.size(),
          static_cast<std::size_t>(request.prompt_tokens) * kBytesPerToken),
      'x');
  nlohmann::json body = {
      {"model", options.model}, {"stream", true}, {"prompt", prompt}};
  if (options.send_exact_lengths) body["max_tokens"] = request.output_tokens;
  return body.dump();
}

class Runner {
 public:
  Runner(const LoadOptions& options, const std::vector<PlannedRequest>& plan,
         bool show_progress)
      : options_(options),
        plan_(plan),
        show_progress_(show_progress && isatty(STDERR_FILENO) == 1),
        multi_(curl_multi_init()) {}
  ~Runner() { curl_multi_cleanup(multi_); }
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  LoadResult Run();

 private:
  void Send(std::size_t number);
  void Finish(CURL* handle, CURLcode outcome);
  void CollectFinished();
  void AbortOpenTransfers();
  void PollUntil(Clock::time_point until);

  const LoadOptions& options_;
  const std::vector<PlannedRequest>& plan_;
  bool show_progress_;
  CURLM* multi_;
  Clock::time_point start_;
  std::vector<std::unique_ptr<Transfer>> open_;
  LoadResult result_;
};

void Runner::Send(std::size_t number) {
  const PlannedRequest& planned = plan_[number];
  auto transfer = std::make_unique<Transfer>();
  transfer->result.planned = planned;
  transfer->body = MakeRequestBody(options_, planned, number);
  const bool is_measured = planned.at >= options_.warm_up;
  transfer->gaps_ms = is_measured ? &result_.gaps_ms : nullptr;
  const std::string& workspace = options_.workspaces[planned.workspace];
  const std::string bearer = workspace.substr(workspace.find(':') + 1);
  const std::string& name =
      planned.whole ? options_.whole_template : options_.live_template;
  curl_slist* headers = nullptr;
  headers = curl_slist_append(headers, "Content-Type: application/json");
  headers =
      curl_slist_append(headers, ("Authorization: Bearer " + bearer).c_str());
  headers = curl_slist_append(headers, ("Balsam-Template: " + name).c_str());
  headers = curl_slist_append(headers, "Expect:");
  transfer->direct = options_.direct;
  if (options_.direct) {
    const std::string id = "direct-" + std::to_string(number);
    headers = curl_slist_append(headers, ("X-Stream-Id: " + id).c_str());
  }
  transfer->headers = headers;
  CURL* handle = curl_easy_init();
  transfer->handle = handle;
  const std::string url =
      options_.entries[number % options_.entries.size()] + "/v1/completions";
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(handle, CURLOPT_POSTFIELDS, transfer->body.c_str());
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, OnBytes);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, transfer.get());
  curl_easy_setopt(handle, CURLOPT_PRIVATE, transfer.get());
  transfer->sent = Clock::now();
  result_.max_send_delay = std::max(result_.max_send_delay,
                                    Since(start_, transfer->sent) - planned.at);
  curl_multi_add_handle(multi_, handle);
  open_.push_back(std::move(transfer));
}

void Runner::Finish(CURL* handle, CURLcode outcome) {
  const auto found = std::ranges::find(
      open_, handle, [](const auto& transfer) { return transfer->handle; });
  if (found == open_.end()) return;
  Transfer& transfer = **found;
  long status = 0;  // NOLINT(google-runtime-int): libcurl's type.
  curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
  transfer.result.status = outcome == CURLE_OK ? static_cast<int>(status) : 0;
  if (!transfer.input.empty()) transfer.ParseLine(transfer.input, Clock::now());
  transfer.result.total = Since(transfer.sent, Clock::now());
  result_.requests.push_back(transfer.result);
  curl_multi_remove_handle(multi_, handle);
  curl_easy_cleanup(handle);
  curl_slist_free_all(transfer.headers);
  open_.erase(found);
}

void Runner::CollectFinished() {
  int remaining = 0;
  while (CURLMsg* message = curl_multi_info_read(multi_, &remaining)) {
    if (message->msg == CURLMSG_DONE) {
      Finish(message->easy_handle, message->data.result);
    }
  }
}

void Runner::PollUntil(Clock::time_point until) {
  do {
    int running = 0;
    curl_multi_perform(multi_, &running);
    CollectFinished();
    const auto wait = std::chrono::duration_cast<milliseconds>(
        std::max(until - Clock::now(), Clock::duration::zero()));
    curl_multi_poll(multi_, nullptr, 0,
                    static_cast<int>(std::min<std::int64_t>(wait.count(), 50)),
                    nullptr);
  } while (Clock::now() < until);
}

void Runner::AbortOpenTransfers() {
  while (!open_.empty()) {
    Finish(open_.back()->handle, CURLE_OPERATION_TIMEDOUT);
  }
}

LoadResult Runner::Run() {
  const std::int64_t preemptions_before =
      SumOverEngines(options_, "preemptions");
  const std::int64_t tokens_before = SumOverEngines(options_, "tokens");
  start_ = Clock::now();
  for (std::size_t i = 0; i < plan_.size(); ++i) {
    const Clock::time_point at = start_ + plan_[i].at;
    if (Clock::now() < at) PollUntil(at);
    Send(i);
    if (show_progress_ && i % 50 == 0) {
      std::fprintf(stderr, "\rsent %zu of %zu, open %zu ", i, plan_.size(),
                   open_.size());
    }
  }
  PollUntil(start_ + options_.duration);
  result_.engine_tokens = SumOverEngines(options_, "tokens") - tokens_before;
  result_.elapsed = Since(start_, Clock::now());
  const Clock::time_point end = Clock::now() + options_.drain;
  while (!open_.empty() && Clock::now() < end) {
    PollUntil(Clock::now() + milliseconds(20));
  }
  AbortOpenTransfers();
  if (show_progress_) std::fprintf(stderr, "\n");
  result_.preemptions =
      SumOverEngines(options_, "preemptions") - preemptions_before;
  return std::move(result_);
}

}  // namespace

LoadResult RunLoad(const LoadOptions& options,
                   const std::vector<PlannedRequest>& plan,
                   bool show_progress) {
  return Runner(options, plan, show_progress).Run();
}

}  // namespace balsam::load
