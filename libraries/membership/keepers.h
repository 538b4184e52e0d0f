// Which member of a fleet keeps the book of what: by rendezvous hashing, so
// that members that know of each other agree, and one that comes or goes moves
// only its own part.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsam::membership {

class Keepers {
 public:
  explicit Keepers(std::string own) : members_({own}), own_(std::move(own)) {}

  // All that are alive, this one included; true if they changed.
  bool SetMembers(std::vector<std::string> members);
  // The member that keeps the book of `key`.
  const std::string& KeeperOf(std::uint32_t key);
  bool IsOwn(std::uint32_t key) { return KeeperOf(key) == own_; }

 private:
  // Sorted; never empty.
  std::vector<std::string> members_;
  std::string own_;
  // As far as they were asked for since the members changed.
  std::unordered_map<std::uint32_t, std::string> keepers_;
};

}  // namespace balsam::membership
