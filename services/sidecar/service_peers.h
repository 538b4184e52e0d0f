// Communication with the other sidecars of one service: exchanges the VM list
// and the confirmations of which revision each sidecar has adopted. The
// assignment of idempotency keys to sidecars depends on these confirmations.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "libraries/execution/executor.h"
#include "libraries/membership/vm_list.h"
#include "libraries/peer/messages.h"
#include "libraries/peer/peer_link.h"
#include "libraries/revisions/revisioned_text.h"

namespace balsam::sidecar {

class ServicePeers {
 public:
  // `executor` must outlive this object.
  ServicePeers(std::string vm, std::string service, std::string peer_key,
               execution::Executor& executor);

  // Adopts a VM list, unless it is not newer than the current one or is
  // invalid.
  void AdoptList(std::uint64_t revision, const std::string& text);
  const membership::VmList& list() const { return list_; }

  // Applies a change to the VM list that another process sent; returns false if
  // it cannot be applied to the revision known here.
  bool ApplyListChange(const peer::GossipRequest& request);
  peer::GossipReply HandleGossip(const peer::GossipRequest& request) const;
  peer::ConfirmReply HandleConfirm(const peer::ConfirmRequest& request);

  // Sends a request to each peer that has not confirmed the current list.
  void RequestConfirmations();
  // Notifies all peers that this sidecar has relinquished its idempotency keys,
  // that is, accepts no more calls with a key.
  void AnnounceRelinquish();
  // True once every peer has acknowledged the relinquishment or could not be
  // reached, or the announcement has timed out.
  bool IsRelinquishAnnounced(BootTime now) const;

  std::function<void()> on_list_adopted;
  // Called when a peer has acknowledged the relinquishment or could not be
  // reached.
  std::function<void()> on_relinquish_acknowledged;

 private:
  // Sends one peer the list that this sidecar has adopted, and records its
  // confirmation.
  void SendConfirmRequest(const std::string& vm, std::function<void()> on_end);

  std::string vm_;
  std::string service_;
  std::string peer_key_;
  execution::Executor& executor_;
  membership::VmList list_;
  revisions::RevisionedText list_history_;
  std::map<std::string, std::unique_ptr<peer::PeerLink>> links_;
  // Peers with a confirm request in flight.
  std::set<std::string> pending_confirmations_;
  // Peers that have not acknowledged the relinquishment, and until when a stop
  // waits for them.
  std::set<std::string> relinquish_unacknowledged_;
  BootTime relinquish_deadline_;
};

}  // namespace balsam::sidecar
