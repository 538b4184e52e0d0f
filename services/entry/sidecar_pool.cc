// Selection of sidecars and the links to them.
#include "services/entry/sidecar_pool.h"

#include <algorithm>
#include <utility>

#include "libraries/generation/generation_id.h"
#include "libraries/membership/rendezvous.h"

namespace balsam::entry {
namespace {

constexpr std::chrono::milliseconds kRetryAfterNoServer{1000};

placement::AnyPolicy MakePolicyOrRoundRobin(const SharedState& shared,
                                            std::uint64_t seed) {
  return TryOr(
      [&] { return placement::MakePolicy(shared.settings.placement, seed); },
      [](const Error&) {
        return placement::AnyPolicy(placement::RoundRobin());
      });
}

}  // namespace

SidecarPool::SidecarPool(SharedState& shared, std::uint64_t seed,
                         QObject* parent)
    : QObject(parent),
      shared_(shared),
      policy_(MakePolicyOrRoundRobin(shared, seed)) {}

std::variant<std::string, Outcome> SidecarPool::SelectVm(
    const CallerRequest& request, const std::set<std::string>& excluded) {
  const auto list = shared_.vm_list.Read();
  const execution::WorkItem& work = request.work;
  if (!work.ticket.empty()) {
    const auto id = generation::GenerationId::Parse(work.ticket);
    if (id.has_value() && list->Find(id->vm) != nullptr) return id->vm;
    return Outcome::Unknown(
        ResultCode::kTicketExpired,
        "the VM that issued ticket \"" + work.ticket + "\" is not listed");
  }
  if (work.key.has_value() && !work.idempotent) {
    return SelectKeyOwner(request, excluded, *list);
  }
  auto vms = list->BackendVmsOf(request.service, /*live_only=*/true);
  // A request suspected of crashing engines is restricted to the VMs that its
  // placement prefers anyway, so that retries cannot crash further engines one
  // after another.
  if (work.crash_count > 0) {
    vms = placement::PreferredVms(work.fingerprint, std::move(vms));
  }
  std::erase_if(vms, [&](const std::string& vm) {
    const auto link = links_.find(vm);
    const bool avoidable = link != links_.end() && link->second->ShouldAvoid();
    return avoidable || excluded.contains(vm);
  });
  const auto candidates = shared_.load_tracker.Candidates(vms);
  if (candidates.empty()) {
    return Outcome::NotRun(ResultCode::kNoBackendServer,
                           "service " + request.service +
                               " has no backend server that accepts work",
                           kRetryAfterNoServer);
  }
  const placement::PlacementQuery query{work.fingerprint, work.prompt_tokens};
  return candidates[placement::Choose(policy_, query, candidates)].vm;
}

std::variant<std::string, Outcome> SidecarPool::SelectKeyOwner(
    const CallerRequest& request, const std::set<std::string>& excluded,
    const membership::VmList& list) const {
  auto vms = list.BackendVmsOf(request.service, /*live_only=*/true);
  std::erase_if(vms,
                [&](const std::string& vm) { return excluded.contains(vm); });
  const std::string owner =
      membership::RendezvousFirst(request.work.key->text, vms);
  if (!owner.empty()) return owner;
  Outcome outcome = Outcome::Unknown(
      ResultCode::kNoBackendServer,
      "no owner of key \"" + request.work.key->text + "\" is listed");
  outcome.retry_after = kRetryAfterNoServer;
  return outcome;
}

peer::PeerLink* SidecarPool::GetLink(const std::string& vm) {
  const auto list = shared_.vm_list.Read();
  const membership::Vm* listed_vm = list->Find(vm);
  auto& link = links_[vm];
  if (listed_vm == nullptr) {
    // A VM that is no longer listed may still finish its open streams.
    if (link == nullptr) links_.erase(vm);
    return links_.contains(vm) ? links_.at(vm).get() : nullptr;
  }
  const peer::PeerAddress address{
      QHostAddress(QString::fromStdString(listed_vm->address)),
      listed_vm->peer_port};
  if (link == nullptr || link->address() != address) {
    if (link != nullptr) {
      // Its open streams go on as long as the old address serves them.
      link->on_connected = nullptr;
      replaced_links_.push_back(std::move(link));
    }
    link = std::make_unique<peer::PeerLink>(
        address, QByteArray::fromStdString(shared_.settings.peer_key),
        peer::ConnectionLimits{});
    link->on_connected = [this, vm] {
      shared_.load_tracker.OnConnected(vm);
      sent_list_revisions_.erase(vm);
    };
  }
  return link.get();
}

void SidecarPool::OnLoadReport(const std::string& vm,
                               const execution::LoadReport& report) {
  shared_.load_tracker.OnReport(vm, report);
  const auto list = shared_.vm_list.Read();
  if (report.list_revision >= list->revision()) return;
  if (sent_list_revisions_[vm] >= list->revision()) return;
  peer::PeerLink* link = GetLink(vm);
  if (link == nullptr) return;
  sent_list_revisions_[vm] = list->revision();
  peer::GossipRequest gossip;
  gossip.vm = shared_.settings.vm.id;
  gossip.list_revision = list->revision();
  gossip.list_change = shared_.vm_list_history.DeltaFrom(report.list_revision);
  link->Open(peer::kGossipPath, gossip, {});
}

void SidecarPool::CloseUnlistedLinks() {
  const auto list = shared_.vm_list.Read();
  std::erase_if(links_, [&](const auto& entry) {
    return entry.second == nullptr || (list->Find(entry.first) == nullptr &&
                                       entry.second->open_streams() == 0);
  });
  std::erase_if(replaced_links_,
                [](const auto& link) { return link->open_streams() == 0; });
}

std::uint64_t SidecarPool::bytes() const {
  std::uint64_t sum = 0;
  std::ranges::for_each(links_, [&sum](const auto& entry) {
    if (entry.second != nullptr) sum += entry.second->bytes();
  });
  std::ranges::for_each(replaced_links_,
                        [&sum](const auto& link) { sum += link->bytes(); });
  return sum;
}

}  // namespace balsam::entry
