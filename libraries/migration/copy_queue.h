// The order in which one gateway copies the generations of a leaving engine.
// All copies share the engine's single link, so the last ones may not finish in
// time. Copies are requested one at a time, so the next one is chosen by
// current information, and a generation that has ended meanwhile takes no time
// on the link.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace balsam::migration {

// Lower values are copied first. Generations that may be repeated go last: if
// lost, they cost no more than another prefill, and most of them end by
// themselves before their turn. Among the others, copying small ones first
// saves the most generations.
struct CopyPriority {
  bool may_repeat = false;
  // Size of the generation's memory.
  std::int64_t tokens = 0;

  auto operator<=>(const CopyPriority&) const = default;
};

// Invariant: at most one migration is active, and it is not in `waiting_`.
template <typename Migration>
class CopyQueue {
 public:
  void Push(Migration* move, const CopyPriority& priority) {
    waiting_.emplace(priority, move);
  }
  // Removes a waiting or active migration. Does nothing for any other.
  void Remove(const Migration* move) {
    if (active_ == move) active_ = nullptr;
    std::erase_if(waiting_,
                  [&](const auto& item) { return item.second == move; });
  }
  // Makes the next migration active and returns it; null if one is active
  // already or none waits.
  Migration* TakeNext() {
    if (active_ != nullptr || waiting_.empty()) return nullptr;
    active_ = waiting_.begin()->second;
    waiting_.erase(waiting_.begin());
    return active_;
  }
  bool empty() const { return active_ == nullptr && waiting_.empty(); }

 private:
  std::multimap<CopyPriority, Migration*> waiting_;
  Migration* active_ = nullptr;
};

}  // namespace balsam::migration
