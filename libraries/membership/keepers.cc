// Rendezvous hashing of keys that are numbers.
#include "libraries/membership/keepers.h"

#include <algorithm>
#include <utility>

#include "libraries/membership/rendezvous.h"

namespace balsam::membership {

bool Keepers::SetMembers(std::vector<std::string> members) {
  std::ranges::sort(members);
  if (members == members_) return false;
  members_ = std::move(members);
  keepers_.clear();
  return true;
}

const Keepers::Pair& Keepers::KeepersOf(std::uint32_t key) {
  const auto [found, added] = keepers_.try_emplace(key);
  if (!added) return found->second;
  std::array<std::pair<std::uint64_t, const std::string*>, 2> best{};
  for (const std::string& member : members_) {
    std::pair<std::uint64_t, const std::string*> ranked(StableHash(member, key),
                                                        &member);
    if (ranked.first >= best[0].first) std::swap(ranked, best[0]);
    if (ranked.second != nullptr && ranked.first >= best[1].first) {
      best[1] = ranked;
    }
  }
  for (std::size_t i = 0; i < best.size(); ++i) {
    if (best[i].second != nullptr) found->second[i] = *best[i].second;
  }
  return found->second;
}

}  // namespace balsam::membership
