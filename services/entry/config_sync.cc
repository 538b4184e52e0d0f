// Watching of the platform, gossip, and the readiness check at the start.
#include "services/entry/config_sync.h"

#include <QHostAddress>
#include <algorithm>
#include <ranges>
#include <utility>

#include "libraries/base/log_event.h"
#include "libraries/membership/rendezvous.h"
#include "libraries/quarantine/evidence_codec.h"

namespace balsam::entry {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kWatchersPerDataCenter = 2;
// An entry that gets no reply from a watcher for this long watches the platform
// itself.
constexpr milliseconds kWatcherTimeout{3000};
// How long the start waits for replies from other entries.
constexpr milliseconds kStartupTimeout{2000};
// Number of entries that crash evidence is announced to, each of which
// announces it to as many.
constexpr std::size_t kAnnounceFanout = 4;

config_service::WatcherSettings MakeWatcherSettings(
    const EntrySettings& settings) {
  config_service::WatcherSettings watcher;
  watcher.base_url = QUrl(QString::fromStdString(settings.platform_url));
  return watcher;
}

peer::PeerAddress PeerAddressOf(const membership::Vm& vm) {
  return {QHostAddress(QString::fromStdString(vm.address)), vm.peer_port};
}

}  // namespace

ConfigSync::ConfigSync(SharedState& shared, QObject* parent)
    : QObject(parent),
      shared_(shared),
      peer_server_(QByteArray::fromStdString(shared.settings.peer_key), {}),
      template_watcher_("templates", MakeWatcherSettings(shared.settings)),
      list_watcher_("vms", MakeWatcherSettings(shared.settings)),
      started_(BootClock::now()),
      last_watcher_reply_(started_),
      order_notifier_(
          shared,
          [this](const membership::Vm& vm) -> peer::PeerLink& {
            return GetLink(vm);
          },
          [this] { return watching(); }),
      random_(std::random_device{}()) {
  template_watcher_.on_value = [this](std::uint64_t revision,
                                      const std::string& text) {
    ApplyTemplates(revision, text, "platform");
  };
  list_watcher_.on_value = [this](std::uint64_t revision,
                                  const std::string& text) {
    ApplyVmList(revision, text, "platform");
  };
  const auto warn = [](const std::string& reason) {
    LogEvent("platform_unavailable", LogEvent::Level::kWarning)
        .With("reason", reason);
  };
  template_watcher_.on_unavailable = warn;
  list_watcher_.on_unavailable = warn;
  peer_server_.on_request = [this](const peer::ServerStream& stream,
                                   const peer::Message& message) {
    OnGossipRequest(stream, message);
  };
  shared_.crash_evidence.on_news = [this] {
    // News come from the threads of the workers.
    QMetaObject::invokeMethod(this, &ConfigSync::AnnounceCrashEvidence,
                              Qt::QueuedConnection);
  };
  connect(&gossip_timer_, &QTimer::timeout, this, &ConfigSync::Tick);
}

Result<void> ConfigSync::Start() {
  BOOST_LEAF_CHECK(peer_server_.Listen(
      QHostAddress(QString::fromStdString(shared_.settings.peers.address)),
      shared_.settings.peers.port));
  list_watcher_.SetWatching(true);
  template_watcher_.SetWatching(true);
  std::ranges::for_each(
      shared_.settings.seeds, [this](const settings::Listener& seed) {
        const peer::PeerAddress address{
            QHostAddress(QString::fromStdString(seed.address)), seed.port};
        GossipWithAddress(
            "seed " + seed.address + ":" + std::to_string(seed.port), address);
      });
  gossip_timer_.start(shared_.settings.gossip_interval);
  order_notifier_.Start();
  return {};
}

std::uint64_t ConfigSync::platform_calls() const {
  return template_watcher_.calls() + list_watcher_.calls();
}

std::uint64_t ConfigSync::peer_bytes() const {
  std::uint64_t sum = peer_server_.bytes() + closed_link_bytes_;
  std::ranges::for_each(
      links_, [&sum](const auto& entry) { sum += entry.second->bytes(); });
  return sum;
}

std::vector<std::string> ConfigSync::OtherEntries(bool same_data_center) const {
  const auto list = shared_.vm_list.Read();
  const settings::VmIdentity& self = shared_.settings.vm;
  auto entries = list->EntryVms();
  std::erase_if(entries, [&](const std::string& vm) {
    const bool same = list->Find(vm)->data_center == self.data_center;
    return vm == self.id || (same_data_center && !same);
  });
  return entries;
}

std::vector<std::string> ConfigSync::Watchers() const {
  const settings::VmIdentity& self = shared_.settings.vm;
  auto entries = OtherEntries(/*same_data_center=*/true);
  entries.push_back(self.id);
  auto watchers = membership::RendezvousOrder(self.data_center, entries);
  watchers.resize(std::min(watchers.size(), kWatchersPerDataCenter));
  return watchers;
}

void ConfigSync::UpdateWatching() {
  const auto watchers = Watchers();
  const bool is_watcher =
      std::ranges::find(watchers, shared_.settings.vm.id) != watchers.end();
  const bool watchers_silent =
      BootClock::now() - last_watcher_reply_ > kWatcherTimeout;
  const bool watch =
      is_watcher || watchers_silent || shared_.vm_list.Read()->revision() == 0;
  list_watcher_.SetWatching(watch);
  template_watcher_.SetWatching(watch);
}

template <typename Kept>
void ConfigSync::CloseIdleLinks(const Kept& kept) {
  std::erase_if(links_, [&](const auto& link) {
    const bool closes =
        link.second->open_streams() == 0 &&
        std::ranges::find(kept, link.first) == std::ranges::end(kept);
    if (closes) closed_link_bytes_ += link.second->bytes();
    return closes;
  });
}

void ConfigSync::AnnounceCrashEvidence() {
  auto entries = OtherEntries(/*same_data_center=*/false);
  std::ranges::shuffle(entries, random_);
  std::ranges::for_each(entries | std::views::take(kAnnounceFanout),
                        [this](const std::string& vm) { GossipWith(vm); });
}

void ConfigSync::MergeCrashEvidence(const std::string& bytes,
                                    const std::string& source) {
  const auto evidence =
      TryOr([&] { return quarantine::DecodeEvidence(bytes); },
            [&](const Error& error) {
              LogEvent("change_unreadable", LogEvent::Level::kWarning)
                  .With("source", source)
                  .With("reason", error.detail);
              return quarantine::Evidence{};
            });
  shared_.crash_evidence.Merge(evidence);
}

void ConfigSync::Tick() {
  UpdateWatching();
  shared_.crash_evidence.DropExpired();
  CheckReady();
  const auto entries = OtherEntries(/*same_data_center=*/false);
  if (entries.empty()) return;
  const auto pick_random = [this](const std::vector<std::string>& from) {
    std::uniform_int_distribution<std::size_t> index(0, from.size() - 1);
    return from[index(random_)];
  };
  auto watchers = Watchers();
  std::erase(watchers, shared_.settings.vm.id);
  // Open links are probed by PING even when idle, and their number would grow
  // with the number of entries.
  CloseIdleLinks(watchers);
  if (!watchers.empty()) GossipWith(pick_random(watchers));
  GossipWith(pick_random(entries));
}

peer::GossipRequest ConfigSync::KnownRevisions() const {
  peer::GossipRequest request;
  request.vm = shared_.settings.vm.id;
  request.template_revision = shared_.templates.Current()->revision();
  request.list_revision = shared_.vm_list.Read()->revision();
  request.wants_full_text = needs_full_text_;
  request.crash_evidence = quarantine::Encode(shared_.crash_evidence.Share());
  return request;
}

void ConfigSync::GossipWith(const std::string& vm) {
  const auto list = shared_.vm_list.Read();
  const membership::Vm* listed_vm = list->Find(vm);
  if (listed_vm != nullptr) GossipWithAddress(vm, PeerAddressOf(*listed_vm));
}

peer::PeerLink& ConfigSync::GetLink(const membership::Vm& vm) {
  return GetLink(vm.id, PeerAddressOf(vm));
}

peer::PeerLink& ConfigSync::GetLink(const std::string& name,
                                    const peer::PeerAddress& address) {
  auto& link = links_[name];
  if (link == nullptr || link->address() != address) {
    link = std::make_unique<peer::PeerLink>(
        address, QByteArray::fromStdString(shared_.settings.peer_key),
        peer::ConnectionLimits{});
  }
  return *link;
}

void ConfigSync::GossipWithAddress(const std::string& name,
                                   const peer::PeerAddress& address) {
  peer::PeerLink::Handlers handlers;
  handlers.on_message = [this, name](const peer::Message& message) {
    const auto* reply = std::get_if<peer::GossipReply>(&message);
    if (reply == nullptr) return;
    MergeCrashEvidence(reply->crash_evidence, name);
    const auto watchers = Watchers();
    if (std::ranges::find(watchers, name) != watchers.end()) {
      last_watcher_reply_ = BootClock::now();
    }
    if (const auto text =
            ReadChange(shared_.vm_list_history, reply->list_change, name)) {
      ApplyVmList(reply->list_revision, *text, name);
    }
    if (const auto text =
            ReadChange(template_history_, reply->template_change, name)) {
      ApplyTemplates(reply->template_revision, *text, name);
    }
  };
  handlers.on_end = [this, name](peer::StreamEnd) {
    pending_replies_.erase(name);
    CheckReady();
  };
  GetLink(name, address)
      .Open(peer::kGossipPath, KnownRevisions(), std::move(handlers));
}

void ConfigSync::OnGossipRequest(const peer::ServerStream& stream,
                                 const peer::Message& message) {
  const auto* request = std::get_if<peer::GossipRequest>(&message);
  if (request == nullptr) {
    stream.Refuse();
    return;
  }
  MergeCrashEvidence(request->crash_evidence, request->vm);
  const auto set = shared_.templates.Current();
  const auto list = shared_.vm_list.Read();
  peer::GossipReply reply;
  reply.crash_evidence = quarantine::Encode(shared_.crash_evidence.Share());
  reply.template_revision = set->revision();
  reply.list_revision = list->revision();
  const auto base_revision = [request](std::uint64_t revision,
                                       std::uint64_t own) {
    return request->wants_full_text && revision < own ? 0 : revision;
  };
  reply.template_change = template_history_.DeltaFrom(
      base_revision(request->template_revision, reply.template_revision));
  reply.list_change = shared_.vm_list_history.DeltaFrom(
      base_revision(request->list_revision, reply.list_revision));
  stream.Send(reply, true);
  // Gossip back at once if the requester has a higher revision, rather than
  // wait for the next tick.
  const bool requester_is_newer =
      request->template_revision > set->revision() ||
      request->list_revision > list->revision();
  if (requester_is_newer && !request->vm.empty()) GossipWith(request->vm);
}

void ConfigSync::NotifyEntries() {
  // The request only carries revision numbers; an entry that lacks a revision
  // requests the content in return.
  std::ranges::for_each(OtherEntries(/*same_data_center=*/true),
                        [this](const std::string& vm) { GossipWith(vm); });
}

void ConfigSync::PushVmListToSidecars() {
  const auto list = shared_.vm_list.Read();
  const auto with_keys =
      shared_.templates.Current()->ServicesWithNonIdempotentMethods();
  std::ranges::for_each(list->vms(), [&](const membership::Vm& vm) {
    const bool needs_list =
        vm.role == membership::VmRole::kBackend &&
        (vm.state == membership::VmState::kLeaving ||
         std::ranges::find(with_keys, vm.service) != with_keys.end());
    if (needs_list) PushVmListTo(vm);
  });
}

void ConfigSync::PushVmListTo(const membership::Vm& vm) {
  peer::PeerLink::Handlers handlers;
  handlers.on_message = [this, id = vm.id](const peer::Message& message) {
    const auto* reply = std::get_if<peer::GossipReply>(&message);
    const auto list = shared_.vm_list.Read();
    const membership::Vm* listed_vm = list->Find(id);
    if (reply == nullptr || listed_vm == nullptr) return;
    const revisions::TextDelta change =
        shared_.vm_list_history.DeltaFrom(reply->list_revision);
    if (change.frame.empty()) return;
    peer::GossipRequest gossip = KnownRevisions();
    gossip.list_change = change;
    GetLink(*listed_vm).Open(peer::kGossipPath, gossip, {});
  };
  // The sidecar replies with the revision that it has, from which the change is
  // computed.
  GetLink(vm).Open(peer::kGossipPath, KnownRevisions(), std::move(handlers));
}

std::optional<std::string> ConfigSync::ReadChange(
    const revisions::RevisionedText& history,
    const revisions::TextDelta& change, const std::string& source) {
  if (change.frame.empty()) return std::nullopt;
  return TryOr(
      [&]() -> Result<std::optional<std::string>> {
        BOOST_LEAF_AUTO(text, history.Read(change));
        // Only a full text repairs a base to which changes cannot be applied.
        if (change.base == 0) needs_full_text_ = false;
        return std::optional(std::move(text));
      },
      [&](const Error& error) -> std::optional<std::string> {
        LogEvent("change_unreadable", LogEvent::Level::kWarning)
            .With("source", source)
            .With("reason", error.detail);
        needs_full_text_ = true;
        return std::nullopt;
      });
}

void ConfigSync::ApplyTemplates(std::uint64_t revision, const std::string& text,
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
      UpdateBudgetShares();
      if (watching()) NotifyEntries();
      CheckReady();
      return;
  }
}

void ConfigSync::ApplyVmList(std::uint64_t revision, const std::string& text,
                             const std::string& source) {
  if (text.empty() || revision <= shared_.vm_list.Read()->revision()) return;
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
  for (const std::string& problem : list->problems()) {
    LogEvent("vm_refused", LogEvent::Level::kWarning)
        .With("revision", revision)
        .With("source", source)
        .With("reason", problem);
  }
  std::set<std::string> listed;
  std::ranges::transform(list->vms(), std::inserter(listed, listed.end()),
                         &membership::Vm::id);
  shared_.vm_list.Publish(std::move(list));
  shared_.load_tracker.Retain(listed);
  UpdateBudgetShares();
  shared_.vm_list_history.SetCurrent(revision, text);
  list_watcher_.SetKnownRevision(revision);
  LogEvent("vm_list").With("revision", revision).With("source", source);
  UpdateWatching();
  GossipWithAllOnce();
  if (watching()) {
    NotifyEntries();
    PushVmListToSidecars();
  }
  // Closes links to VMs that are no longer listed.
  CloseIdleLinks(listed);
}

void ConfigSync::UpdateBudgetShares() {
  std::map<std::string, double> rates;
  std::ranges::transform(
      shared_.templates.Current()->workspaces(),
      std::inserter(rates, rates.end()), [](const auto& workspace) {
        return std::pair(workspace.first, workspace.second.tokens_per_second);
      });
  shared_.workspace_budgets.Update(rates,
                                   shared_.vm_list.Read()->EntryVms().size());
}

void ConfigSync::GossipWithAllOnce() {
  if (std::exchange(initial_gossip_sent_, true)) return;
  const auto entries = OtherEntries(/*same_data_center=*/false);
  pending_replies_.insert(entries.begin(), entries.end());
  std::ranges::for_each(entries,
                        [this](const std::string& vm) { GossipWith(vm); });
}

void ConfigSync::CheckReady() {
  if (ready_ || shared_.templates.Current()->revision() == 0) return;
  const bool may_wait = BootClock::now() - started_ < kStartupTimeout;
  if (!initial_gossip_sent_ || (!pending_replies_.empty() && may_wait)) return;
  ready_ = true;
  LogEvent("ready")
      .With("templates", shared_.templates.Current()->revision())
      .With("vm_list", shared_.vm_list.Read()->revision())
      .With("unreachable", pending_replies_.size());
  if (on_ready) on_ready();
}

}  // namespace balsam::entry
