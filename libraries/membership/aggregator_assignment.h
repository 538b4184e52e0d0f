// Assigns to each key, such as a server, the members of the fleet that
// aggregate its load totals. Rendezvous hashing makes members with the same
// view of the fleet agree, and a member that joins or leaves moves only its own
// keys. Each key has two aggregators, so that the totals of one are complete
// when the other dies.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsam::membership {

class AggregatorAssignment {
 public:
  // The primary, which is queried, and its backup; empty strings if there are
  // too few members.
  using AggregatorPair = std::array<std::string, 2>;

  // Returns whether the members changed.
  bool SetMembers(std::vector<std::string> members);
  const AggregatorPair& AggregatorsOf(std::uint32_t key);
  bool IsAggregator(const std::string& member, std::uint32_t key) {
    const AggregatorPair& aggregators = AggregatorsOf(key);
    return aggregators[0] == member || aggregators[1] == member;
  }

 private:
  // Sorted.
  std::vector<std::string> members_;
  // Cache, cleared when the members change.
  std::unordered_map<std::uint32_t, AggregatorPair> aggregators_;
};

}  // namespace balsam::membership
