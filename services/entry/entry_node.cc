// Worker threads and operator responses of an entry.
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
      config_sync_(shared_),
      operator_server_(shared_.settings.operator_key) {
  config_sync_.on_ready = [this] { StartWorkers(); };
  operator_server_.is_ready = [this] {
    return caller_port_.load() != 0 && !shared_.draining.load();
  };
  operator_server_.metrics = [this] { return shared_.metrics.Serialize(); };
  operator_server_.status = [this] { return Status(); };
  operator_server_.explain = [this](const std::string& model) {
    return Explain(model);
  };
  operator_server_.drain = [this] { BeginStop(); };
  connect(&stop_timer_, &QTimer::timeout, this, &EntryNode::CheckStopped);
}

EntryNode::~EntryNode() {
  std::ranges::for_each(worker_threads_, [](WorkerThread& worker_thread) {
    // Sockets and timers must be deleted on the thread that owns them.
    EntryWorker* worker = worker_thread.worker.release();
    QMetaObject::invokeMethod(
        worker, [worker] { delete worker; }, Qt::BlockingQueuedConnection);
    worker_thread.thread->quit();
    worker_thread.thread->wait();
  });
}

Result<void> EntryNode::Start() {
  BOOST_LEAF_CHECK(config_sync_.Start());
  BOOST_LEAF_CHECK(operator_server_.Listen(shared_.settings.operators));
  LogEvent("started")
      .With("vm", shared_.settings.vm.id)
      .With("peer_port", config_sync_.peer_port())
      .With("operator_port", operator_server_.port());
  return {};
}

void EntryNode::StartWorkers() {
  std::uint16_t port = shared_.settings.callers.port;
  for (int i = 0; i < shared_.settings.threads; ++i) {
    WorkerThread worker_thread{std::make_unique<QThread>(),
                               std::make_unique<EntryWorker>(
                                   shared_, static_cast<std::uint64_t>(i) + 1)};
    EntryWorker* worker = worker_thread.worker.get();
    worker->moveToThread(worker_thread.thread.get());
    worker_thread.thread->start();
    worker_threads_.push_back(std::move(worker_thread));
    std::optional<Error> failure;
    QMetaObject::invokeMethod(
        worker,
        [&] {
          port = TryOr([&] { return worker->Start(port); },
                       [&](const Error& error) {
                         failure = error;
                         return port;
                       });
        },
        Qt::BlockingQueuedConnection);
    if (failure.has_value()) {
      LogEvent("start_failed", LogEvent::Level::kError)
          .With("code", static_cast<int>(failure->code))
          .With("reason", failure->detail);
      if (on_stopped) on_stopped();
      return;
    }
  }
  caller_port_.store(port);
  LogEvent("serving")
      .With("port", port)
      .With("threads", worker_threads_.size());
}

void EntryNode::BeginStop() {
  if (shared_.draining.exchange(true)) return;
  LogEvent("draining").With("vm", shared_.settings.vm.id);
  std::ranges::for_each(worker_threads_, [](const WorkerThread& worker_thread) {
    EntryWorker* worker = worker_thread.worker.get();
    QMetaObject::invokeMethod(worker, [worker] { worker->StopListening(); });
  });
  stop_deadline_ = BootClock::now() + shared_.settings.stop_deadline;
  stop_timer_.start(kStopCheckInterval);
}

void EntryNode::CheckStopped() {
  const std::int64_t open = shared_.open_requests.load();
  const bool deadline_passed = BootClock::now() >= *stop_deadline_;
  if (open > 0 && !deadline_passed) return;
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
          {"list_revision", shared_.vm_list.Read()->revision()},
          {"caller_port", caller_port_.load()},
          {"open_requests", shared_.open_requests.load()},
          {"stray_tokens", shared_.stray_tokens.load()},
          {"retries_available", shared_.retry_budget.available()},
          {"platform_calls", config_sync_.platform_calls()},
          {"watching", config_sync_.watching()},
          {"control_bytes", config_sync_.peer_bytes()},
          {"engines_told", config_sync_.order_notifier().notified()},
          {"engines_settled", config_sync_.order_notifier().settled()},
          {"draining", shared_.draining.load()}};
}

nlohmann::json EntryNode::Explain(const std::string& model) const {
  const auto set = shared_.templates.Current();
  const std::string* service = set->FindServiceOfModel(model);
  if (service == nullptr) {
    return {{"error", "model \"" + model + "\" does not exist"}};
  }
  const auto list = shared_.vm_list.Read();
  const auto candidates = shared_.load_tracker.Candidates(
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
