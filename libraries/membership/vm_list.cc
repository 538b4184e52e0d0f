// Parses the platform's list of VMs.
#include "libraries/membership/vm_list.h"

#include <algorithm>
#include <set>
#include <utility>

#include "libraries/settings/object_reader.h"

namespace balsam::membership {
namespace {

Vm ReadVm(settings::ObjectReader reader) {
  Vm vm;
  vm.id = reader.String("id");
  vm.data_center = reader.String("data_center");
  vm.address = reader.String("address");
  vm.peer_port =
      static_cast<std::uint16_t>(reader.Integer("peer_port", 1, 65535));
  vm.role = static_cast<VmRole>(reader.Choice("role", {"entry", "backend"}));
  vm.state =
      static_cast<VmState>(reader.Choice("state", {"live", "leaving"}, 0));
  vm.service = reader.String("service", "");
  reader.ReportUnknownKeys();
  return vm;
}

}  // namespace

Result<VmList> VmList::Parse(std::uint64_t revision, std::string_view text) {
  std::vector<settings::Problem> problems;
  const auto document =
      settings::JsonDocument::Parse("vm_list", text, problems);
  std::vector<Vm> vms;
  if (problems.empty()) {
    settings::ObjectReader root(document, "", problems);
    std::ranges::transform(root.Objects("vms"), std::back_inserter(vms),
                           ReadVm);
  }
  if (!problems.empty()) {
    return Fail(ResultCode::kInvalidVmList, problems.front().ToLine());
  }
  VmList list = FromVms(revision, std::move(vms));
  const auto duplicate = std::ranges::adjacent_find(list.vms_, {}, &Vm::id);
  if (duplicate != list.vms_.end()) {
    return Fail(ResultCode::kInvalidVmList,
                "duplicate VM id \"" + duplicate->id + "\" in the list");
  }
  list.text_ = text;
  return list;
}

VmList VmList::FromVms(std::uint64_t revision, std::vector<Vm> vms) {
  VmList list;
  list.revision_ = revision;
  list.vms_ = std::move(vms);
  std::ranges::sort(list.vms_, {}, &Vm::id);
  return list;
}

const Vm* VmList::Find(std::string_view id) const {
  const auto found = std::ranges::lower_bound(
      vms_, id, {}, [](const Vm& vm) { return std::string_view(vm.id); });
  return found != vms_.end() && found->id == id ? &*found : nullptr;
}

std::vector<std::string> VmList::BackendVmsOf(std::string_view service,
                                              bool live_only) const {
  std::vector<std::string> ids;
  std::ranges::for_each(vms_, [&](const Vm& vm) {
    const bool matches = vm.role == VmRole::kBackend && vm.service == service &&
                         (!live_only || vm.state == VmState::kLive);
    if (matches) ids.push_back(vm.id);
  });
  return ids;
}

std::vector<std::string> VmList::EntryVms() const {
  std::vector<std::string> ids;
  std::ranges::for_each(vms_, [&](const Vm& vm) {
    if (vm.role == VmRole::kEntry) ids.push_back(vm.id);
  });
  return ids;
}

}  // namespace balsam::membership
