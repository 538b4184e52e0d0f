// Which members of a fleet keep the book of what: by rendezvous hashing, so
// that members that know of each other agree, and one that comes or goes moves
// only its own part. Two keep each book, so that one is complete when the other
// dies.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsam::membership {

class Keepers {
 public:
  // The one that is asked, and the one that stands in for it; empty where there
  // are fewer members.
  using Pair = std::array<std::string, 2>;

  // True if the members changed.
  bool SetMembers(std::vector<std::string> members);
  const Pair& KeepersOf(std::uint32_t key);
  bool Keeps(const std::string& member, std::uint32_t key) {
    const Pair& keepers = KeepersOf(key);
    return keepers[0] == member || keepers[1] == member;
  }

 private:
  // Sorted.
  std::vector<std::string> members_;
  // As far as they were asked for since the members changed.
  std::unordered_map<std::uint32_t, Pair> keepers_;
};

}  // namespace balsam::membership
