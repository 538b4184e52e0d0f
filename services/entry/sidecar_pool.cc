// Links and placement.
#include "services/entry/sidecar_pool.h"

#include <algorithm>
#include <utility>

#include "libraries/generation/generation_id.h"
#include "libraries/membership/rendezvous.h"

namespace balsam::entry {
namespace {

constexpr std::chrono::milliseconds kRetryAfterNoServer{1000};

placement::AnyPolicy PolicyOf(const SharedState& shared, std::uint64_t seed) {
  return TryOr(
      [&] { return placement::MakePolicy(shared.settings.placement, seed); },
      [](const Error&) {
        return placement::AnyPolicy(placement::RoundRobin());
      });
}

}  // namespace

SidecarPool::SidecarPool(SharedState& shared, std::uint64_t seed,
                         QObject* parent)
    : QObject(parent), shared_(shared), policy_(PolicyOf(shared, seed)) {}

std::variant<std::string, Outcome> SidecarPool::Choose(
    const CallerRequest& request, const std::set<std::string>& excluded) {
  const auto list = shared_.vms.Read();
  const execution::WorkItem& work = request.work;
  if (!work.ticket.empty()) {
    const auto id = generation::GenerationId::Parse(work.ticket);
    if (id.has_value() && list->Find(id->vm) != nullptr) return id->vm;
    return Outcome::Unknown(
        ResultCode::kTicketExpired,
        "the holder of ticket \"" + work.ticket + "\" is not listed");
  }
  if (work.key.has_value() && !work.idempotent) {
    return ChooseHome(request, excluded, *list);
  }
  auto vms = list->BackendVmsOf(request.service, /*live_only=*/true);
  // A request that took part in a crash keeps to the VMs that it would meet
  // anyway, so it cannot take down others one after the other.
  if (work.crash_count > 0) {
    vms = placement::PreferredVms(work.fingerprint, std::move(vms));
  }
  std::erase_if(vms, [&](const std::string& vm) {
    const auto link = links_.find(vm);
    const bool avoidable = link != links_.end() && link->second->IsAvoidable();
    return avoidable || excluded.contains(vm);
  });
  const auto candidates = shared_.board.Candidates(vms);
  if (candidates.empty()) {
    return Outcome::NotRun(
        ResultCode::kNoBackendServer,
        "service " + request.service + " has no backend server that takes work",
        kRetryAfterNoServer);
  }
  const placement::PlacementQuery query{work.fingerprint, work.prompt_tokens};
  return candidates[placement::Choose(policy_, query, candidates)].vm;
}

std::variant<std::string, Outcome> SidecarPool::ChooseHome(
    const CallerRequest& request, const std::set<std::string>& excluded,
    const membership::VmList& list) const {
  auto vms = list.BackendVmsOf(request.service, /*live_only=*/true);
  std::erase_if(vms,
                [&](const std::string& vm) { return excluded.contains(vm); });
  const std::string home =
      membership::RendezvousFirst(request.work.key->text, vms);
  if (!home.empty()) return home;
  Outcome outcome = Outcome::Unknown(
      ResultCode::kNoBackendServer,
      "no home for key \"" + request.work.key->text + "\" is listed");
  outcome.retry_after = kRetryAfterNoServer;
  return outcome;
}

peer::PeerLink* SidecarPool::LinkTo(const std::string& vm) {
  const auto list = shared_.vms.Read();
  const membership::Vm* row = list->Find(vm);
  auto& link = links_[vm];
  if (row == nullptr) {
    // A VM that left the list may still finish what it holds.
    if (link == nullptr) links_.erase(vm);
    return links_.contains(vm) ? links_.at(vm).get() : nullptr;
  }
  const peer::PeerAddress address{
      QHostAddress(QString::fromStdString(row->address)), row->peer_port};
  if (link == nullptr || link->address() != address) {
    // The streams of a link that is replaced end as broken.
    link = std::make_unique<peer::PeerLink>(
        address, QByteArray::fromStdString(shared_.settings.peer_key),
        peer::ConnectionLimits{});
    link->on_connected = [this, vm] {
      shared_.board.OnConnected(vm);
      list_sent_.erase(vm);
    };
  }
  return link.get();
}

void SidecarPool::OnReport(const std::string& vm,
                           const execution::LoadReport& report) {
  shared_.board.OnReport(vm, report);
  const auto list = shared_.vms.Read();
  if (report.list_revision >= list->revision()) return;
  if (list_sent_[vm] >= list->revision()) return;
  peer::PeerLink* link = LinkTo(vm);
  if (link == nullptr) return;
  list_sent_[vm] = list->revision();
  peer::GossipRequest gossip;
  gossip.vm = shared_.settings.vm.id;
  gossip.list_revision = list->revision();
  gossip.list_change = shared_.list_history.DeltaFrom(report.list_revision);
  link->Open(peer::kGossipPath, gossip, {});
}

void SidecarPool::DropUnlisted() {
  const auto list = shared_.vms.Read();
  std::erase_if(links_, [&](const auto& entry) {
    return entry.second == nullptr || (list->Find(entry.first) == nullptr &&
                                       entry.second->open_streams() == 0);
  });
}

std::uint64_t SidecarPool::bytes() const {
  std::uint64_t sum = 0;
  std::ranges::for_each(links_, [&sum](const auto& entry) {
    if (entry.second != nullptr) sum += entry.second->bytes();
  });
  return sum;
}

}  // namespace balsam::entry
