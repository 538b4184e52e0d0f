// Rendezvous hashing for numeric keys.
#include "libraries/membership/aggregator_assignment.h"

#include <algorithm>
#include <utility>

#include "libraries/membership/rendezvous.h"

namespace balsam::membership {

bool AggregatorAssignment::SetMembers(std::vector<std::string> members) {
  std::ranges::sort(members);
  if (members == members_) return false;
  members_ = std::move(members);
  aggregators_.clear();
  return true;
}

const AggregatorAssignment::AggregatorPair& AggregatorAssignment::AggregatorsOf(
    std::uint32_t key) {
  const auto [found, added] = aggregators_.try_emplace(key);
  if (!added) return found->second;
  std::array<std::pair<std::uint64_t, const std::string*>, 2> best{};
  for (const std::string& member : members_) {
    std::pair<std::uint64_t, const std::string*> candidate(
        StableHash(member, key), &member);
    if (candidate.first >= best[0].first) std::swap(candidate, best[0]);
    if (candidate.second != nullptr && candidate.first >= best[1].first) {
      best[1] = candidate;
    }
  }
  for (std::size_t i = 0; i < best.size(); ++i) {
    if (best[i].second != nullptr) found->second[i] = *best[i].second;
  }
  return found->second;
}

}  // namespace balsam::membership
