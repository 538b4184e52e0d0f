// Decides whether this sidecar may run a call that carries an idempotency key.
// Rendezvous hashing over the published VM list assigns every key to one owner
// among the sidecars of its service. The owner runs a key only if no other
// sidecar can have run it before. It derives this from the list revisions that
// its peers confirmed, never from a timeout.
//
// A peer that confirms revision R has adopted R or a later revision, and from
// then on refuses keys that its list assigns to another owner. An owner
// therefore runs a key that was created after every possible earlier owner
// confirmed. A draining sidecar relinquishes its keys: it accepts no key again
// in this incarnation, and its keys pass to the next sidecar in rank.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/boot_clock.h"
#include "libraries/execution/idempotency_key.h"
#include "libraries/membership/vm_list.h"

namespace balsam::execution {

// A sidecar's reply to a peer's request to confirm a list revision.
struct Confirmation {
  std::string vm;
  std::uint64_t incarnation = 0;
  // The list revision that the replying sidecar has adopted.
  std::uint64_t list_revision = 0;
  bool keys_relinquished = false;
  // The requesting VM has a sidecar of a later incarnation.
  bool requester_superseded = false;
};

class KeyOwnership {
 public:
  struct Config {
    std::string vm;
    std::string service;
    std::uint64_t incarnation = 0;
    // How long after the first use of a key a caller may send it again.
    std::chrono::milliseconds key_lifetime{std::chrono::minutes(10)};
    // Maximum difference between two wall clocks.
    std::chrono::milliseconds clock_error{1000};
    // How long a VM that was removed from the list may still run requests.
    std::chrono::milliseconds removed_vm_grace{10000};
  };

  enum class Status {
    kMayRun,
    // This sidecar's list assigns the key to another owner.
    kNotOwner,
    // An earlier owner or incarnation may have run the key.
    kHistoryUnknown,
    // This sidecar accepts no more keys in this incarnation.
    kRelinquished,
    // The key was created too long ago, or in the future.
    kOutsideLifetime,
  };

  KeyOwnership(Config config, WallTime started);

  // Adopts a list; a revision that is not higher is ignored.
  void AdoptList(const membership::VmList& list, WallTime now);
  std::uint64_t list_revision() const;

  Status Check(const IdempotencyKey& key, WallTime now) const;

  // The peers that have not confirmed this sidecar's newest list yet.
  std::vector<std::string> UnconfirmedPeers() const;
  // Answers a peer's request to confirm. If the peer's list is newer, it must
  // be adopted before this call.
  Confirmation Confirm(const std::string& requester, std::uint64_t incarnation,
                       WallTime now);
  // Processes a peer's confirmation. `round`: of the moment at which it was
  // asked for. That the peer has relinquished its keys, or knows of a later
  // incarnation of this VM, holds for good; the rest counts only in the same
  // round, as the peer may have answered before this process was suspended.
  void OnConfirmation(const Confirmation& confirmation, std::uint64_t round,
                      WallTime now);
  // Changes with each suspension of the process.
  std::uint64_t confirmation_round() const { return confirmation_round_; }

  // Relinquishes all keys for the rest of this incarnation.
  void RelinquishKeys() { keys_relinquished_ = true; }
  bool keys_relinquished() const { return keys_relinquished_; }
  // True once a later incarnation for this VM is known.
  bool superseded() const { return superseded_; }
  // Discards all confirmations and all views but the newest. The process was
  // suspended for so long that it may have been replaced meanwhile.
  void OnPause(WallTime now);

 private:
  // One adopted list or change of the candidates, from which key owners were
  // computed.
  struct View {
    std::uint64_t revision = 0;
    WallTime adopted;
    // All listed VMs of the service, including leaving ones.
    std::vector<std::string> members;
    // The live members that have not relinquished their keys. Owners are
    // chosen among these.
    std::vector<std::string> candidates;
    // For each other VM of the service, when it was known to act under this
    // view or a later one.
    std::map<std::string, WallTime> confirmed;
  };

  void AppendView(WallTime now);
  std::string OwnerOf(std::string_view key, const View& view) const;
  // Since when this sidecar is the only one that may run `key`; nothing if
  // that is not established.
  std::optional<WallTime> SoleOwnerSince(std::string_view key) const;

  Config config_;
  WallTime started_;
  bool keys_relinquished_ = false;
  bool superseded_ = false;
  std::uint64_t confirmation_round_ = 0;
  membership::VmList list_;
  // In order of adoption; never empty once a list is adopted. Confirmations
  // are only added, except that OnPause discards them.
  std::deque<View> views_;
  // VM -> the incarnation that relinquished its keys.
  std::map<std::string, std::uint64_t> relinquished_peers_;
  // VM -> its latest known incarnation.
  std::map<std::string, std::uint64_t> incarnations_;
};

}  // namespace balsam::execution
