// Threads and operators' answers of an entry.
#include "services/entry/entry_node.h"

#include <algorithm>
#include <utility>

#include "libraries/base/log_event.h"

namespace balsam::entry {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStopCheckInterval{50};

}  // namespace

EntryNode::EntryNode(EntrySettings settings, QObject* parent)
    : QObject(parent),
      shared_(std::move(settings)),
      follower_(shared_),
      operators_(shared_.settings.operator_key) {
  follower_.on_ready = [this] { StartWorkers(); };
  operators_.is_ready = [this] {
    return caller_port_.load() != 0 && !shared_.draining.load();
  };
  operators_.metrics = [this] { return shared_.metrics.Serialize(); };
  operators_.status = [this] { return Status(); };
  operators_.explain = [this](const std::string& model) {
    return Explain(model);
  };
  operators_.drain = [this] { BeginStop(); };
  connect(&stop_timer_, &QTimer::timeout, this, &EntryNode::CheckStopped);
}

EntryNode::~EntryNode() {
  std::ranges::for_each(accepting_, [](Accepting& accepting) {
    // Sockets and timers must go on the thread that owns them.
    EntryWorker* worker = accepting.worker.release();
    QMetaObject::invokeMethod(
        worker, [worker] { delete worker; }, Qt::BlockingQueuedConnection);
    accepting.thread->quit();
    accepting.thread->wait();
  });
}

Result<void> EntryNode::Start() {
  BOOST_LEAF_CHECK(follower_.Start());
  BOOST_LEAF_CHECK(operators_.Listen(shared_.settings.operators));
  LogEvent("started")
      .With("vm", shared_.settings.vm.id)
      .With("peer_port", follower_.peer_port())
      .With("operator_port", operators_.port());
  return {};
}

void EntryNode::StartWorkers() {
  std::uint16_t port = shared_.settings.callers.port;
  for (int i = 0; i < shared_.settings.threads; ++i) {
    Accepting accepting{std::make_unique<QThread>(),
                        std::make_unique<EntryWorker>(
                            shared_, static_cast<std::uint64_t>(i) + 1)};
    EntryWorker* worker = accepting.worker.get();
    worker->moveToThread(accepting.thread.get());
    accepting.thread->start();
    accepting_.push_back(std::move(accepting));
    std::optional<Error> failed;
    QMetaObject::invokeMethod(
        worker,
        [&] {
          port = TryOr([&] { return worker->Start(port); },
                       [&](const Error& error) {
                         failed = error;
                         return port;
                       });
        },
        Qt::BlockingQueuedConnection);
    if (failed.has_value()) {
      LogEvent("start_failed", LogEvent::Level::kError)
          .With("code", static_cast<int>(failed->code))
          .With("reason", failed->detail);
      if (on_stopped) on_stopped();
      return;
    }
  }
  caller_port_.store(port);
  LogEvent("serving").With("port", port).With("threads", accepting_.size());
}

void EntryNode::BeginStop() {
  if (shared_.draining.exchange(true)) return;
  LogEvent("draining").With("vm", shared_.settings.vm.id);
  std::ranges::for_each(accepting_, [](const Accepting& accepting) {
    EntryWorker* worker = accepting.worker.get();
    QMetaObject::invokeMethod(worker, [worker] { worker->StopListening(); });
  });
  stop_deadline_ = BootClock::now() + shared_.settings.stop_deadline;
  stop_timer_.start(kStopCheckInterval);
}

void EntryNode::CheckStopped() {
  const std::int64_t open = shared_.open_requests.load();
  const bool late = BootClock::now() >= *stop_deadline_;
  if (open > 0 && !late) return;
  if (open > 0) {
    LogEvent("stop_deadline", LogEvent::Level::kWarning).With("left", open);
  }
  if (on_stopped) std::exchange(on_stopped, nullptr)();
}

nlohmann::json EntryNode::Status() const {
  return {{"process", "entry"},
          {"vm", shared_.settings.vm.id},
          {"data_center", shared_.settings.vm.data_center},
          {"template_revision", shared_.templates.Current()->revision()},
          {"rejected_revision", shared_.templates.rejected_revision()},
          {"list_revision", shared_.vms.Read()->revision()},
          {"caller_port", caller_port_.load()},
          {"open_requests", shared_.open_requests.load()},
          {"stray_tokens", shared_.stray_tokens.load()},
          {"retries_available", shared_.retries.available()},
          {"platform_calls", follower_.platform_calls()},
          {"watching", follower_.watching()},
          {"control_bytes", follower_.peer_bytes()},
          {"engines_told", follower_.orders().told()},
          {"engines_settled", follower_.orders().settled()},
          {"draining", shared_.draining.load()}};
}

nlohmann::json EntryNode::Explain(const std::string& model) const {
  const auto set = shared_.templates.Current();
  const std::string* service = set->FindServiceOfModel(model);
  if (service == nullptr) {
    return {{"error", "model \"" + model + "\" does not exist"}};
  }
  const auto list = shared_.vms.Read();
  const auto candidates = shared_.board.Candidates(
      list->BackendVmsOf(*service, /*live_only=*/true));
  nlohmann::json rows = nlohmann::json::array();
  std::ranges::for_each(candidates, [&rows](const auto& candidate) {
    rows.push_back({{"vm", candidate.vm},
                    {"forecast_load", placement::ForecastLoad({}, candidate)},
                    {"open_requests", candidate.open_requests},
                    {"reported", candidate.report.has_value()}});
  });
  return {{"model", model}, {"service", *service}, {"candidates", rows}};
}

}  // namespace balsam::entry
