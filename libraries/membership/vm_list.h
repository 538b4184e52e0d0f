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

  // Parses `{"vms": [...]}`. A VM that is not described properly is left out,
  // so that the list can be followed nevertheless; see `problems`. Fails with
  // kInvalidVmList if there is no such list or most of it is left out, and with
  // a detail that names the key and its position.
  static Result<VmList> Parse(std::uint64_t revision, std::string_view text);
  // Builds a list from VMs, for embedders with a source of their own.
  static VmList FromVms(std::uint64_t revision, std::vector<Vm> vms);

  std::uint64_t revision() const { return revision_; }
  const std::vector<Vm>& vms() const { return vms_; }
  // The text that `Parse` read, for forwarding to peers; empty after `FromVms`.
  const std::string& text() const { return text_; }

  // Why VMs were left out, a line for each reason and a few at most; empty if
  // none was.
  const std::vector<std::string>& problems() const { return problems_; }

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
  std::vector<std::string> problems_;
};

}  // namespace balsam::membership
