// Drives libcurl's multi interface with socket notifiers and a timer.
#include "libraries/http/http_caller.h"

#include <curl/curl.h>

#include <QSocketNotifier>
#include <memory>
#include <string_view>
#include <utility>

#include "libraries/http1/message_parser.h"
#include "libraries/net/progress_limit.h"

namespace balsam::http {
namespace {

using std::chrono::milliseconds;

struct HandleDeleter {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
struct ListDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

bool WasNeverConnected(CURLcode code) {
  return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST;
}

// Those below are of interim responses.
constexpr int kFirstFinalStatus = 200;
// Of all heads of a call, interim ones too.
constexpr std::size_t kMaxHeadBytes = 64 << 10;
constexpr http1::ParseLimits kLimits{.head_bytes = kMaxHeadBytes,
                                     .body_bytes = std::uint64_t{1} << 40,
                                     .fields = 256};

}  // namespace

struct HttpCaller::Call {
  Id id = 0;
  Request request;
  OnResponse on_response;
  std::unique_ptr<curl_slist, ListDeleter> fields;
  std::unique_ptr<CURL, HandleDeleter> handle{curl_easy_init()};
  QTimer silence;
  HttpCaller* caller = nullptr;
  // Reads the response with its framing.
  std::unique_ptr<http1::ResponseParser> parser;
  // Received and not yet parsed.
  std::string input;
  // Of all heads, interim ones too.
  std::size_t head_bytes = 0;
  // Received and not handed out.
  std::string body;

  // libcurl ends a call whose callback returns this.
  static constexpr std::size_t kRejected = 0;

  bool has_final_head() const {
    return parser->head_complete() &&
           parser->head().status >= kFirstFinalStatus;
  }

  // Returns false if what was received is no response.
  bool Parse(std::string_view bytes) {
    input += bytes;
    input.erase(0, parser->Consume(input, body));
    return parser->error() == http1::ParseError::kNone;
  }

  // Signature of CURLOPT_WRITEFUNCTION; gets chunks with their framing.
  static std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                            void* call) {
    auto& self = *static_cast<Call*>(call);
    const bool had_body = !self.body.empty();
    if (!self.has_final_head() || !self.Parse({data, size * count})) {
      return kRejected;
    }
    if (self.request.on_body) {
      if (!had_body && !self.body.empty()) {
        self.caller->with_new_body_.push_back(self.id);
      }
    } else if (self.body.size() > self.request.max_body_bytes) {
      return kRejected;
    }
    return size * count;
  }
  // Signature of CURLOPT_HEADERFUNCTION, which gets line by line.
  static std::size_t OnHeadLine(char* data, std::size_t size, std::size_t count,
                                void* call) {
    const std::string_view line(data, size * count);
    auto& self = *static_cast<Call*>(call);
    // Trailers are parsed with the body.
    if (self.parser->head_complete() && self.has_final_head()) {
      return line.size();
    }
    self.head_bytes += line.size();
    if (self.head_bytes > kMaxHeadBytes) return kRejected;
    // The final response follows an interim one.
    if (self.parser->head_complete()) self.CreateParser();
    return self.Parse(line) ? line.size() : kRejected;
  }
  // Signature of CURLOPT_XFERINFOFUNCTION.
  static int OnProgress(void* call, curl_off_t /*download_total*/,
                        curl_off_t downloaded, curl_off_t /*upload_total*/,
                        curl_off_t /*uploaded*/) {
    auto& self = *static_cast<Call*>(call);
    const curl_off_t before = std::exchange(self.downloaded, downloaded);
    if (downloaded <= before) return 0;
    if (self.progress.has_value()) {
      const BootTime now = BootClock::now();
      self.progress->OnBytes(static_cast<std::size_t>(downloaded - before),
                             now);
      self.silence.setInterval(self.progress->TimeLeft(now));
    }
    self.silence.start();
    return 0;
  }

  void CreateParser() {
    parser = std::make_unique<http1::ResponseParser>(kLimits,
                                                     request.method == "HEAD");
  }
  void SetOptions();

  curl_off_t downloaded = 0;
  std::optional<net::ProgressLimit> progress;
};

void HttpCaller::Call::SetOptions() {
  for (const std::string& field : request.fields) {
    fields.reset(curl_slist_append(fields.release(), field.c_str()));
  }
  // Otherwise libcurl waits for an interim response before it sends a body.
  fields.reset(curl_slist_append(fields.release(), "Expect:"));
  CURL* curl = handle.get();
  curl_easy_setopt(curl, CURLOPT_URL, request.url.c_str());
  const bool is_without_body =
      request.body.empty() &&
      (request.method == "GET" || request.method == "DELETE");
  if (request.method == "HEAD") {
    curl_easy_setopt(curl, CURLOPT_NOBODY, 1L);
  } else if (is_without_body) {
    curl_easy_setopt(curl, CURLOPT_HTTPGET, 1L);
  } else {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.body.c_str());
  }
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, fields.get());
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &Call::OnBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, &Call::OnHeadLine);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, &Call::OnProgress);
  curl_easy_setopt(curl, CURLOPT_XFERINFODATA, this);
  curl_easy_setopt(curl, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(curl, CURLOPT_PRIVATE, this);
  curl_easy_setopt(curl, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  // The parser reads the chunks.
  curl_easy_setopt(curl, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
  // libcurl sends a request again if a kept connection turns out to be dead.
  curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
}

struct HttpCaller::Multi {
  CURLM* handle = curl_multi_init();

  Multi() = default;
  Multi(const Multi&) = delete;
  Multi& operator=(const Multi&) = delete;
  ~Multi() { curl_multi_cleanup(handle); }

  // Signature of CURLMOPT_SOCKETFUNCTION.
  static int OnSocket(CURL* /*handle*/, curl_socket_t socket, int events,
                      void* caller, void* /*socket_data*/) {
    static_cast<HttpCaller*>(caller)->WatchSocket(socket, events);
    return 0;
  }
  // Signature of CURLMOPT_TIMERFUNCTION.
  // NOLINTNEXTLINE(google-runtime-int): libcurl's type
  static int OnTimer(CURLM* /*handle*/, long timeout_ms, void* caller) {
    QTimer& timer = static_cast<HttpCaller*>(caller)->timer_;
    if (timeout_ms < 0) {
      timer.stop();
    } else {
      timer.start(milliseconds(timeout_ms));
    }
    return 0;
  }
};

HttpCaller::HttpCaller(QObject* parent)
    : QObject(parent), multi_(std::make_unique<Multi>()) {
  curl_multi_setopt(multi_->handle, CURLMOPT_SOCKETFUNCTION, &Multi::OnSocket);
  curl_multi_setopt(multi_->handle, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_->handle, CURLMOPT_TIMERFUNCTION, &Multi::OnTimer);
  curl_multi_setopt(multi_->handle, CURLMOPT_TIMERDATA, this);
  timer_.setSingleShot(true);
  connect(&timer_, &QTimer::timeout, this,
          [this] { OnSocketReady(CURL_SOCKET_TIMEOUT, 0); });
}

HttpCaller::~HttpCaller() {
  while (!calls_.empty()) Abort(calls_.begin()->first);
}

HttpCaller::Id HttpCaller::Send(Request request, OnResponse on_response) {
  const Id id = ++last_id_;
  auto call = std::make_unique<Call>();
  call->id = id;
  call->caller = this;
  call->request = std::move(request);
  call->on_response = std::move(on_response);
  call->CreateParser();
  call->SetOptions();
  call->silence.setSingleShot(true);
  call->silence.setInterval(call->request.silence_limit);
  if (const auto rate = call->request.min_bytes_per_second) {
    call->progress.emplace(
        net::ProgressLimit::Limits{call->request.silence_limit, *rate});
  }
  connect(&call->silence, &QTimer::timeout, this,
          [this, id] { OnSilence(id); });
  call->silence.start();
  CURL* handle = call->handle.get();
  calls_.emplace(id, std::move(call));
  // Only sets a timer, so that no callback runs before this returns.
  curl_multi_add_handle(multi_->handle, handle);
  return id;
}

void HttpCaller::Abort(Id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  curl_multi_remove_handle(multi_->handle, found->second->handle.get());
  calls_.erase(found);
}

void HttpCaller::WatchSocket(int socket, int events) {
  // A notifier of this socket may be what this was called from.
  const auto found = notifiers_.find(socket);
  if (found != notifiers_.end()) {
    for (auto& notifier : found->second) {
      notifier->setEnabled(false);
      notifier.release()->deleteLater();
    }
    notifiers_.erase(found);
  }
  const auto watch = [&](QSocketNotifier::Type type, int event) {
    auto notifier = std::make_unique<QSocketNotifier>(socket, type);
    connect(notifier.get(), &QSocketNotifier::activated, this,
            [this, socket, event] { OnSocketReady(socket, event); });
    notifiers_[socket].push_back(std::move(notifier));
  };
  if (events == CURL_POLL_IN || events == CURL_POLL_INOUT) {
    watch(QSocketNotifier::Read, CURL_CSELECT_IN);
  }
  if (events == CURL_POLL_OUT || events == CURL_POLL_INOUT) {
    watch(QSocketNotifier::Write, CURL_CSELECT_OUT);
  }
}

void HttpCaller::OnSocketReady(int socket, int events) {
  int running = 0;
  curl_multi_socket_action(multi_->handle, socket, events, &running);
  DeliverBodies();
  ReportFinished();
}

void HttpCaller::DeliverBodies() {
  // A callback may abort any call.
  for (const Id id : std::exchange(with_new_body_, {})) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) continue;
    const Call& call = *found->second;
    const auto on_body = call.request.on_body;
    const http1::ResponseHead head = call.parser->head();
    on_body(head, std::exchange(found->second->body, {}));
  }
}

void HttpCaller::ReportFinished() {
  std::vector<std::pair<Id, Response>> finished;
  int remaining = 0;
  while (const CURLMsg* message =
             curl_multi_info_read(multi_->handle, &remaining)) {
    if (message->msg != CURLMSG_DONE) continue;
    CURL* handle = message->easy_handle;
    Call* call = nullptr;
    curl_easy_getinfo(handle, CURLINFO_PRIVATE, &call);
    const CURLcode code = message->data.result;
    Response response;
    if (code != CURLE_OK) {
      response.end = WasNeverConnected(code) ? End::kNotSent : End::kBroken;
      response.reason = curl_easy_strerror(code);
    } else {
      call->parser->OnClosed();
      if (call->has_final_head() && call->parser->complete()) {
        response.end = End::kComplete;
      } else {
        response.reason = "the response was broken off";
      }
    }
    if (call->has_final_head()) response.head = call->parser->head();
    response.body = std::move(call->body);
    finished.emplace_back(call->id, std::move(response));
  }
  // A callback may abort other calls.
  for (auto& [id, response] : finished) Finish(id, std::move(response));
}

void HttpCaller::OnSilence(Id id) {
  Response response;
  response.reason = "no data, or too little, within the limit";
  Finish(id, std::move(response));
}

void HttpCaller::Finish(Id id, Response response) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const OnResponse on_response = std::move(found->second->on_response);
  Abort(id);
  on_response(std::move(response));
}

}  // namespace balsam::http
