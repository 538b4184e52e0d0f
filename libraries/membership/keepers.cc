// Rendezvous hashing of keys that are numbers.
#include "libraries/membership/keepers.h"

#include <algorithm>
#include <utility>

#include "libraries/membership/rendezvous.h"

namespace balsam::membership {

bool Keepers::SetMembers(std::vector<std::string> members) {
  if (std::ranges::find(members, own_) == members.end()) {
    members.push_back(own_);
  }
  std::ranges::sort(members);
  if (members == members_) return false;
  members_ = std::move(members);
  keepers_.clear();
  return true;
}

const std::string& Keepers::KeeperOf(std::uint32_t key) {
  const auto [found, added] = keepers_.try_emplace(key);
  if (added) {
    found->second = *std::ranges::max_element(
        members_, {},
        [key](const std::string& member) { return StableHash(member, key); });
  }
  return found->second;
}

}  // namespace balsam::membership
