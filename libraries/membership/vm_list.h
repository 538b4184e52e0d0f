// The platform's list of VMs: which exist, where they run, and which are
// leaving. The list is delayed, so other code combines it with what peers
// report of themselves.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/error.h"

namespace balsam::membership {

enum class VmRole { kEntry, kBackend };
enum class VmState { kLive, kLeaving };

struct Vm {
  std::string id;
  std::string data_center;
  std::string address;
  std::uint16_t peer_port = 0;
  VmRole role = VmRole::kEntry;
  VmState state = VmState::kLive;
  // The service whose backend server runs here; empty on an entry VM.
  std::string service;

  bool operator==(const Vm&) const = default;
};

// One revision of the list. Ids are unique, and the VMs are sorted by id.
class VmList {
 public:
  VmList() = default;

  // Parses `{"vms": [...]}`. Fails with kInvalidVmList and a detail that names
  // the key and its position.
  static Result<VmList> Parse(std::uint64_t revision, std::string_view text);
  // Builds a list from VMs, for embedders with a source of their own.
  static VmList FromVms(std::uint64_t revision, std::vector<Vm> vms);

  std::uint64_t revision() const { return revision_; }
  const std::vector<Vm>& vms() const { return vms_; }
  // The text that `Parse` read, for forwarding to peers; empty after `FromVms`.
  const std::string& text() const { return text_; }

  // Returns null if no VM has this id.
  const Vm* Find(std::string_view id) const;

  // Returns the ids of the backend server VMs of `service`, all or only the
  // live ones.
  std::vector<std::string> BackendVmsOf(std::string_view service,
                                        bool live_only) const;
  std::vector<std::string> EntryVms() const;

 private:
  std::uint64_t revision_ = 0;
  std::vector<Vm> vms_;
  std::string text_;
};

}  // namespace balsam::membership
