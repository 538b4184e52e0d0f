// When a sidecar is told of its engine's order.
#include "services/entry/order_notifier.h"

#include <algorithm>
#include <utility>

namespace balsam::entry {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{200};
constexpr milliseconds kUnsettledInterval{1000};
constexpr milliseconds kSettledInterval{30000};

}  // namespace

OrderNotifier::OrderNotifier(
    SharedState& shared,
    std::function<peer::PeerLink&(const membership::Vm&)> link_to,
    std::function<bool()> is_watcher, QObject* parent)
    : QObject(parent),
      shared_(shared),
      link_to_(std::move(link_to)),
      is_watcher_(std::move(is_watcher)) {
  connect(&timer_, &QTimer::timeout, this, &OrderNotifier::Tick);
}

void OrderNotifier::Start() { timer_.start(kTickInterval); }

std::size_t OrderNotifier::settled() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      engines_, [](const auto& entry) { return entry.second.settled; }));
}

void OrderNotifier::Tick() {
  if (!is_watcher_()) {
    engines_.clear();
    return;
  }
  const auto set = shared_.templates.Current();
  const auto list = shared_.vms.Read();
  const BootTime now = BootClock::now();
  std::erase_if(engines_, [&set](const auto& entry) {
    return !set->engines().contains(entry.first);
  });
  for (const auto& [vm, desired] : set->engines()) {
    const membership::Vm* row = list->Find(vm);
    const bool is_ours = row != nullptr &&
                         row->role == membership::VmRole::kBackend &&
                         row->data_center == shared_.settings.vm.data_center;
    if (!is_ours) continue;
    Engine& engine = engines_[vm];
    if (engine.desired != desired) {
      engine = {desired, false, now};
    }
    if (engine.next <= now) Tell(*row, engine, now);
  }
}

void OrderNotifier::Tell(const membership::Vm& vm, Engine& engine,
                         BootTime now) {
  engine.next = now + (engine.settled ? kSettledInterval : kUnsettledInterval);
  peer::PeerLink::Handlers handlers;
  handlers.on_message = [this, id = vm.id](const peer::Message& message) {
    const auto* reply = std::get_if<peer::OrderReply>(&message);
    const auto found = engines_.find(id);
    if (reply == nullptr || found == engines_.end()) return;
    Engine& told = found->second;
    if (reply->revision != told.desired.revision) return;
    const bool settled = reply->settled && !reply->superseded;
    // What came loose is followed closely from now on.
    if (!settled && told.settled) told.next = BootClock::now();
    told.settled = settled;
  };
  link_to_(vm).Open(peer::kOrderPath, peer::OrderNotice{vm.id, engine.desired},
                    std::move(handlers));
}

}  // namespace balsam::entry
