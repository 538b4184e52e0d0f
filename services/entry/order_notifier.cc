// Scheduling and sending of order notices.
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
    std::function<peer::PeerLink&(const membership::Vm&)> get_link,
    std::function<bool()> is_watcher, QObject* parent)
    : QObject(parent),
      shared_(shared),
      get_link_(std::move(get_link)),
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
  const auto list = shared_.vm_list.Read();
  const BootTime now = BootClock::now();
  std::erase_if(engines_, [&set](const auto& entry) {
    return !set->engines().contains(entry.first);
  });
  for (const auto& [vm, desired] : set->engines()) {
    const membership::Vm* listed_vm = list->Find(vm);
    const bool is_local =
        listed_vm != nullptr &&
        listed_vm->role == membership::VmRole::kBackend &&
        listed_vm->data_center == shared_.settings.vm.data_center;
    if (!is_local) continue;
    Engine& engine = engines_[vm];
    if (engine.desired != desired) {
      engine = {desired, false, now, engine.challenge};
    }
    if (engine.next_notice <= now) Notify(*listed_vm, engine, now);
  }
}

void OrderNotifier::Notify(const membership::Vm& vm, Engine& engine,
                           BootTime now) {
  engine.next_notice =
      now + (engine.settled ? kSettledInterval : kUnsettledInterval);
  peer::PeerLink::Handlers handlers;
  handlers.on_message = [this, id = vm.id](const peer::Message& message) {
    const auto* reply = std::get_if<peer::OrderReply>(&message);
    const auto found = engines_.find(id);
    if (reply == nullptr || found == engines_.end()) return;
    Engine& current = found->second;
    // The notice did not confirm the order; the next one will.
    if (std::exchange(current.challenge, reply->challenge) !=
        reply->challenge) {
      current.next_notice = BootClock::now();
    }
    if (reply->revision != current.desired.revision) return;
    const bool settled = reply->settled && !reply->superseded;
    // An engine that no longer matches its order is notified at once, and then
    // at the short interval.
    if (!settled && current.settled) current.next_notice = BootClock::now();
    current.settled = settled;
  };
  get_link_(vm).Open(peer::kOrderPath,
                     peer::OrderNotice{vm.id, engine.desired, engine.challenge},
                     std::move(handlers));
}

}  // namespace balsam::entry
