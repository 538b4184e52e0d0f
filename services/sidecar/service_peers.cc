// VM lists, confirmations and the relinquishment of keys.
#include "services/sidecar/service_peers.h"

#include <QHostAddress>
#include <algorithm>
#include <utility>

#include "libraries/base/log_event.h"

namespace balsam::sidecar {
namespace {

// How long a stop waits for peers of the service to acknowledge that this
// sidecar has relinquished its keys.
constexpr std::chrono::milliseconds kRelinquishAnnouncementTimeout{1000};

}  // namespace

ServicePeers::ServicePeers(std::string vm, std::string service,
                           std::string peer_key, execution::Executor& executor)
    : vm_(std::move(vm)),
      service_(std::move(service)),
      peer_key_(std::move(peer_key)),
      executor_(executor) {}

void ServicePeers::AdoptList(std::uint64_t revision, const std::string& text) {
  if (revision <= list_.revision() || text.empty()) return;
  TryOr(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(list, membership::VmList::Parse(revision, text));
        for (const std::string& problem : list.problems()) {
          LogEvent("vm_refused", LogEvent::Level::kWarning)
              .With("revision", revision)
              .With("reason", problem);
        }
        list_ = std::move(list);
        list_history_.SetCurrent(revision, text);
        executor_.key_ownership().AdoptList(list_, ClockReading::Now().wall);
        pending_confirmations_.clear();
        LogEvent("vm_list").With("revision", revision);
        return true;
      },
      [&](const Error& error) {
        LogEvent("vm_list_rejected", LogEvent::Level::kWarning)
            .With("revision", revision)
            .With("reason", error.detail);
        return false;
      });
  on_list_adopted();
}

bool ServicePeers::ApplyListChange(const peer::GossipRequest& request) {
  if (request.list_change.frame.empty()) return true;
  bool readable = true;
  const auto text =
      TryOr([&] { return list_history_.Read(request.list_change); },
            [&](const Error& error) {
              LogEvent("change_unreadable", LogEvent::Level::kWarning)
                  .With("source", request.vm)
                  .With("reason", error.detail);
              readable = false;
              return std::string();
            });
  AdoptList(request.list_revision, text);
  return readable;
}

peer::GossipReply ServicePeers::HandleGossip(
    const peer::GossipRequest& request) const {
  peer::GossipReply reply;
  reply.list_revision = list_.revision();
  reply.list_change = list_history_.DeltaFrom(request.list_revision);
  return reply;
}

peer::ConfirmReply ServicePeers::HandleConfirm(
    const peer::ConfirmRequest& request) {
  AdoptList(request.list_revision, request.list_text);
  if (request.keys_relinquished) {
    executor_.key_ownership().OnConfirmation(
        {request.vm, request.incarnation, request.list_revision, true, false},
        executor_.key_ownership().confirmation_round(),
        ClockReading::Now().wall);
  }
  peer::ConfirmReply reply;
  reply.confirmation = executor_.key_ownership().Confirm(
      request.vm, request.incarnation, ClockReading::Now().wall);
  if (list_.revision() > request.list_revision) reply.list_text = list_.text();
  return reply;
}

void ServicePeers::RequestConfirmations() {
  const auto peers = executor_.key_ownership().UnconfirmedPeers();
  std::ranges::for_each(peers, [this](const std::string& vm) {
    if (!pending_confirmations_.insert(vm).second) return;
    SendConfirmRequest(vm, [this, vm] { pending_confirmations_.erase(vm); });
  });
}

void ServicePeers::SendConfirmRequest(const std::string& vm,
                                      std::function<void()> on_end) {
  const membership::Vm* listed_vm = list_.Find(vm);
  if (listed_vm == nullptr) {
    on_end();
    return;
  }
  const peer::PeerAddress address{
      QHostAddress(QString::fromStdString(listed_vm->address)),
      listed_vm->peer_port};
  auto& link = links_[vm];
  if (link == nullptr || link->address() != address) {
    link = std::make_unique<peer::PeerLink>(
        address, QByteArray::fromStdString(peer_key_),
        peer::ConnectionLimits{});
  }
  peer::PeerLink::Handlers handlers;
  const std::uint64_t round = executor_.key_ownership().confirmation_round();
  handlers.on_message = [this, round](const peer::Message& message) {
    const auto* reply = std::get_if<peer::ConfirmReply>(&message);
    if (reply == nullptr) return;
    // Detects a suspension in which the reply waited.
    executor_.Tick(ClockReading::Now());
    AdoptList(reply->confirmation.list_revision, reply->list_text);
    executor_.key_ownership().OnConfirmation(reply->confirmation, round,
                                             ClockReading::Now().wall);
  };
  handlers.on_end = [on_end = std::move(on_end)](peer::StreamEnd) { on_end(); };
  link->Open(peer::kConfirmPath,
             peer::ConfirmRequest{
                 vm_, executor_.incarnation(), list_.revision(), list_.text(),
                 executor_.key_ownership().keys_relinquished()},
             std::move(handlers));
}

void ServicePeers::AnnounceRelinquish() {
  relinquish_deadline_ = BootClock::now() + kRelinquishAnnouncementTimeout;
  auto peers = list_.BackendVmsOf(service_, /*live_only=*/false);
  std::erase(peers, vm_);
  relinquish_unacknowledged_.insert(peers.begin(), peers.end());
  std::ranges::for_each(peers, [this](const std::string& vm) {
    SendConfirmRequest(vm, [this, vm] {
      relinquish_unacknowledged_.erase(vm);
      on_relinquish_acknowledged();
    });
  });
}

bool ServicePeers::IsRelinquishAnnounced(BootTime now) const {
  return relinquish_unacknowledged_.empty() || now >= relinquish_deadline_;
}

}  // namespace balsam::sidecar
