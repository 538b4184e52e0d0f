// Watching, gossip and the gate at the start.
#include "services/entry/state_follower.h"

#include <QHostAddress>
#include <algorithm>
#include <utility>

#include "libraries/base/log_event.h"
#include "libraries/membership/rendezvous.h"

namespace balsam::entry {
namespace {

using std::chrono::milliseconds;

// Watchers for each data centre.
constexpr std::size_t kWatchers = 2;
// An entry that hears of no watcher for this long watches by itself.
constexpr milliseconds kWatcherPatience{3000};
// The start waits this long for other entries to say what they have.
constexpr milliseconds kStartPatience{2000};

config_service::WatcherSettings WatcherFrom(const EntrySettings& settings) {
  config_service::WatcherSettings watcher;
  watcher.base_url = QUrl(QString::fromStdString(settings.platform_url));
  return watcher;
}

peer::PeerAddress AddressOf(const membership::Vm& vm) {
  return {QHostAddress(QString::fromStdString(vm.address)), vm.peer_port};
}

}  // namespace

StateFollower::StateFollower(SharedState& shared, QObject* parent)
    : QObject(parent),
      shared_(shared),
      server_(QByteArray::fromStdString(shared.settings.peer_key), {}),
      template_watcher_("templates", WatcherFrom(shared.settings)),
      list_watcher_("vms", WatcherFrom(shared.settings)),
      started_(BootClock::now()),
      heard_watcher_(started_),
      orders_(
          shared,
          [this](const membership::Vm& vm) -> peer::PeerLink& {
            return LinkTo(vm);
          },
          [this] { return watching(); }),
      random_(std::random_device{}()) {
  template_watcher_.on_value = [this](std::uint64_t revision,
                                      const std::string& text) {
    OfferTemplates(revision, text, "platform");
  };
  list_watcher_.on_value = [this](std::uint64_t revision,
                                  const std::string& text) {
    OfferList(revision, text, "platform");
  };
  const auto warn = [](const std::string& reason) {
    LogEvent("platform_unavailable", LogEvent::Level::kWarning)
        .With("reason", reason);
  };
  template_watcher_.on_unavailable = warn;
  list_watcher_.on_unavailable = warn;
  server_.on_request = [this](const peer::ServerStream& stream,
                              const peer::Message& message) {
    OnRequest(stream, message);
  };
  connect(&timer_, &QTimer::timeout, this, &StateFollower::Tick);
}

Result<void> StateFollower::Start() {
  BOOST_LEAF_CHECK(server_.Listen(
      QHostAddress(QString::fromStdString(shared_.settings.peers.address)),
      shared_.settings.peers.port));
  list_watcher_.SetWatching(true);
  template_watcher_.SetWatching(true);
  std::ranges::for_each(
      shared_.settings.seeds, [this](const settings::Listener& seed) {
        const peer::PeerAddress address{
            QHostAddress(QString::fromStdString(seed.address)), seed.port};
        AskAddress("seed " + seed.address + ":" + std::to_string(seed.port),
                   address);
      });
  timer_.start(shared_.settings.gossip_interval);
  orders_.Start();
  return {};
}

std::uint64_t StateFollower::platform_calls() const {
  return template_watcher_.calls() + list_watcher_.calls();
}

std::uint64_t StateFollower::peer_bytes() const {
  std::uint64_t sum = server_.bytes() + closed_link_bytes_;
  std::ranges::for_each(
      links_, [&sum](const auto& entry) { sum += entry.second->bytes(); });
  return sum;
}

std::vector<std::string> StateFollower::OtherEntries(
    bool same_data_center) const {
  const auto list = shared_.vms.Read();
  const settings::VmIdentity& self = shared_.settings.vm;
  auto entries = list->EntryVms();
  std::erase_if(entries, [&](const std::string& vm) {
    const bool same = list->Find(vm)->data_center == self.data_center;
    return vm == self.id || (same_data_center && !same);
  });
  return entries;
}

std::vector<std::string> StateFollower::Watchers() const {
  const settings::VmIdentity& self = shared_.settings.vm;
  auto entries = OtherEntries(/*same_data_center=*/true);
  entries.push_back(self.id);
  auto watchers = membership::RendezvousOrder(self.data_center, entries);
  watchers.resize(std::min(watchers.size(), kWatchers));
  return watchers;
}

void StateFollower::UpdateRole() {
  const auto watchers = Watchers();
  const bool is_watcher =
      std::ranges::find(watchers, shared_.settings.vm.id) != watchers.end();
  const bool alone = BootClock::now() - heard_watcher_ > kWatcherPatience;
  const bool watch = is_watcher || alone || shared_.vms.Read()->revision() == 0;
  list_watcher_.SetWatching(watch);
  template_watcher_.SetWatching(watch);
}

template <typename Kept>
void StateFollower::CloseIdleLinks(const Kept& kept) {
  std::erase_if(links_, [&](const auto& link) {
    const bool closes =
        link.second->open_streams() == 0 &&
        std::ranges::find(kept, link.first) == std::ranges::end(kept);
    if (closes) closed_link_bytes_ += link.second->bytes();
    return closes;
  });
}

void StateFollower::Tick() {
  UpdateRole();
  CheckReady();
  const auto entries = OtherEntries(/*same_data_center=*/false);
  if (entries.empty()) return;
  const auto pick = [this](const std::vector<std::string>& from) {
    std::uniform_int_distribution<std::size_t> any(0, from.size() - 1);
    return from[any(random_)];
  };
  auto watchers = Watchers();
  std::erase(watchers, shared_.settings.vm.id);
  // Idle links would be probed for ever, and their number grows with the fleet.
  CloseIdleLinks(watchers);
  if (!watchers.empty()) Ask(pick(watchers));
  Ask(pick(entries));
}

peer::GossipRequest StateFollower::Knowledge() const {
  peer::GossipRequest request;
  request.vm = shared_.settings.vm.id;
  request.template_revision = shared_.templates.Current()->revision();
  request.list_revision = shared_.vms.Read()->revision();
  request.whole = wants_whole_;
  return request;
}

void StateFollower::Ask(const std::string& vm) {
  const auto list = shared_.vms.Read();
  const membership::Vm* row = list->Find(vm);
  if (row != nullptr) AskAddress(vm, AddressOf(*row));
}

peer::PeerLink& StateFollower::LinkTo(const membership::Vm& vm) {
  return LinkTo(vm.id, AddressOf(vm));
}

peer::PeerLink& StateFollower::LinkTo(const std::string& name,
                                      const peer::PeerAddress& address) {
  auto& link = links_[name];
  if (link == nullptr || link->address() != address) {
    link = std::make_unique<peer::PeerLink>(
        address, QByteArray::fromStdString(shared_.settings.peer_key),
        peer::ConnectionLimits{});
  }
  return *link;
}

void StateFollower::AskAddress(const std::string& name,
                               const peer::PeerAddress& address) {
  peer::PeerLink::Handlers handlers;
  handlers.on_message = [this, name](const peer::Message& message) {
    const auto* reply = std::get_if<peer::GossipReply>(&message);
    if (reply == nullptr) return;
    const auto watchers = Watchers();
    if (std::ranges::find(watchers, name) != watchers.end()) {
      heard_watcher_ = BootClock::now();
    }
    if (const auto text =
            TextOf(shared_.list_history, reply->list_change, name)) {
      OfferList(reply->list_revision, *text, name);
    }
    if (const auto text =
            TextOf(template_history_, reply->template_change, name)) {
      OfferTemplates(reply->template_revision, *text, name);
    }
  };
  handlers.on_end = [this, name](peer::StreamEnd) {
    awaited_.erase(name);
    CheckReady();
  };
  LinkTo(name, address)
      .Open(peer::kGossipPath, Knowledge(), std::move(handlers));
}

void StateFollower::OnRequest(const peer::ServerStream& stream,
                              const peer::Message& message) {
  const auto* request = std::get_if<peer::GossipRequest>(&message);
  if (request == nullptr) {
    stream.Refuse();
    return;
  }
  const auto set = shared_.templates.Current();
  const auto list = shared_.vms.Read();
  peer::GossipReply reply;
  reply.template_revision = set->revision();
  reply.list_revision = list->revision();
  const auto known = [request](std::uint64_t revision, std::uint64_t own) {
    return request->whole && revision < own ? 0 : revision;
  };
  reply.template_change = template_history_.DeltaFrom(
      known(request->template_revision, reply.template_revision));
  reply.list_change = shared_.list_history.DeltaFrom(
      known(request->list_revision, reply.list_revision));
  stream.Send(reply, true);
  // The asker knows more: learn it now rather than at the next turn.
  const bool behind = request->template_revision > set->revision() ||
                      request->list_revision > list->revision();
  if (behind && !request->vm.empty()) Ask(request->vm);
}

void StateFollower::Announce() {
  // A revision number is enough: who lacks the content asks for it.
  std::ranges::for_each(OtherEntries(/*same_data_center=*/true),
                        [this](const std::string& vm) { Ask(vm); });
}

void StateFollower::PushListToSidecars() {
  const auto list = shared_.vms.Read();
  const auto with_keys =
      shared_.templates.Current()->ServicesWithNonIdempotentMethods();
  std::ranges::for_each(list->vms(), [&](const membership::Vm& vm) {
    const bool needs_list =
        vm.role == membership::VmRole::kBackend &&
        (vm.state == membership::VmState::kLeaving ||
         std::ranges::find(with_keys, vm.service) != with_keys.end());
    if (needs_list) PushListTo(vm);
  });
}

void StateFollower::PushListTo(const membership::Vm& vm) {
  peer::PeerLink::Handlers handlers;
  handlers.on_message = [this, id = vm.id](const peer::Message& message) {
    const auto* reply = std::get_if<peer::GossipReply>(&message);
    const auto list = shared_.vms.Read();
    const membership::Vm* row = list->Find(id);
    if (reply == nullptr || row == nullptr) return;
    const revisions::TextDelta change =
        shared_.list_history.DeltaFrom(reply->list_revision);
    if (change.frame.empty()) return;
    peer::GossipRequest gossip = Knowledge();
    gossip.list_change = change;
    LinkTo(*row).Open(peer::kGossipPath, gossip, {});
  };
  // The sidecar says first what it has.
  LinkTo(vm).Open(peer::kGossipPath, Knowledge(), std::move(handlers));
}

std::optional<std::string> StateFollower::TextOf(
    const revisions::RevisionedText& history,
    const revisions::TextDelta& change, const std::string& source) {
  if (change.frame.empty()) return std::nullopt;
  return TryOr(
      [&]() -> Result<std::optional<std::string>> {
        BOOST_LEAF_AUTO(text, history.Read(change));
        // Only a whole text mends what a change could not be read against.
        if (change.base == 0) wants_whole_ = false;
        return std::optional(std::move(text));
      },
      [&](const Error& error) -> std::optional<std::string> {
        LogEvent("change_unreadable", LogEvent::Level::kWarning)
            .With("source", source)
            .With("reason", error.detail);
        wants_whole_ = true;
        return std::nullopt;
      });
}

void StateFollower::OfferTemplates(std::uint64_t revision,
                                   const std::string& text,
                                   const std::string& source) {
  if (text.empty()) return;
  templates::TemplateSet::Problems problems;
  switch (shared_.templates.Offer(revision, text, problems)) {
    case templates::OfferResult::kNotNewer:
      return;
    case templates::OfferResult::kRejected:
      LogEvent("templates_rejected", LogEvent::Level::kWarning)
          .With("revision", revision)
          .With("source", source)
          .With("problems", problems.size())
          .With("first", problems.front().ToLine());
      shared_.metrics.CountEvent("templates_rejected_total");
      return;
    case templates::OfferResult::kAccepted:
      LogEvent("templates_in_force")
          .With("revision", revision)
          .With("source", source);
      template_history_.SetCurrent(revision, text);
      template_watcher_.SetKnownRevision(revision);
      ShareBudgets();
      if (watching()) Announce();
      CheckReady();
      return;
  }
}

void StateFollower::OfferList(std::uint64_t revision, const std::string& text,
                              const std::string& source) {
  if (text.empty() || revision <= shared_.vms.Read()->revision()) return;
  auto list = TryOr(
      [&]() -> Result<std::shared_ptr<const membership::VmList>> {
        BOOST_LEAF_AUTO(parsed, membership::VmList::Parse(revision, text));
        return std::make_shared<const membership::VmList>(std::move(parsed));
      },
      [&](const Error& error) -> std::shared_ptr<const membership::VmList> {
        LogEvent("vm_list_rejected", LogEvent::Level::kWarning)
            .With("revision", revision)
            .With("source", source)
            .With("reason", error.detail);
        return nullptr;
      });
  if (list == nullptr) return;
  std::set<std::string> listed;
  std::ranges::transform(list->vms(), std::inserter(listed, listed.end()),
                         &membership::Vm::id);
  shared_.vms.Publish(std::move(list));
  shared_.board.Retain(listed);
  ShareBudgets();
  shared_.list_history.SetCurrent(revision, text);
  list_watcher_.SetKnownRevision(revision);
  LogEvent("vm_list").With("revision", revision).With("source", source);
  UpdateRole();
  AskEverybodyOnce();
  if (watching()) {
    Announce();
    PushListToSidecars();
  }
  // Links to VMs that left are of no more use.
  CloseIdleLinks(listed);
}

void StateFollower::ShareBudgets() {
  std::map<std::string, double> rates;
  std::ranges::transform(
      shared_.templates.Current()->workspaces(),
      std::inserter(rates, rates.end()), [](const auto& workspace) {
        return std::pair(workspace.first, workspace.second.tokens_per_second);
      });
  shared_.budgets.Update(rates, shared_.vms.Read()->EntryVms().size());
}

void StateFollower::AskEverybodyOnce() {
  if (std::exchange(asked_everybody_, true)) return;
  const auto entries = OtherEntries(/*same_data_center=*/false);
  awaited_.insert(entries.begin(), entries.end());
  std::ranges::for_each(entries, [this](const std::string& vm) { Ask(vm); });
}

void StateFollower::CheckReady() {
  if (ready_ || shared_.templates.Current()->revision() == 0) return;
  const bool patient = BootClock::now() - started_ < kStartPatience;
  if (!asked_everybody_ || (!awaited_.empty() && patient)) return;
  ready_ = true;
  LogEvent("ready")
      .With("templates", shared_.templates.Current()->revision())
      .With("vm_list", shared_.vms.Read()->revision())
      .With("unreachable", awaited_.size());
  if (on_ready) on_ready();
}

}  // namespace balsam::entry
