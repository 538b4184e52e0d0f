// The order in which one gateway copies the runs of an engine that leaves. All
// copies go over the engine's one link, one behind another, so those at the
// back may come too late; asked for one by one, each is chosen by what is known
// when its turn comes, and a run that ended meanwhile takes no turn.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace balsam::migration {

// What decides whose copy goes first. Runs that may be repeated lose no more
// than a prompt, and most end by themselves before their turn; of the others,
// small ones first save most.
struct CopyRank {
  bool may_repeat = false;
  // Of the run's memory.
  std::int64_t tokens = 0;

  auto operator<=>(const CopyRank&) const = default;
};

// Invariant: one member at most has the turn, and it no longer waits.
template <typename Move>
class CopyQueue {
 public:
  void Join(Move* move, const CopyRank& rank) { waiting_.emplace(rank, move); }
  // Also gives the turn back. Does nothing if `move` is not here.
  void Leave(const Move* move) {
    if (turn_ == move) turn_ = nullptr;
    std::erase_if(waiting_,
                  [&](const auto& item) { return item.second == move; });
  }
  // The member that gets the turn; null if one has it or none waits.
  Move* TakeNext() {
    if (turn_ != nullptr || waiting_.empty()) return nullptr;
    turn_ = waiting_.begin()->second;
    waiting_.erase(waiting_.begin());
    return turn_;
  }
  bool empty() const { return turn_ == nullptr && waiting_.empty(); }

 private:
  std::multimap<CopyRank, Move*> waiting_;
  Move* turn_ = nullptr;
};

}  // namespace balsam::migration
