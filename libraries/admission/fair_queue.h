// Orders waiting work by workspace: each is charged for the tokens that it has
// used, over its weight, and the one that used least goes next. Lengths are
// unknown, so tokens are charged as they stream. Work of a workspace that has
// used up its budget goes only while no other work waits.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace balsam::admission {

// Refers to waiting work by a number of the owner's.
using WorkNumber = std::uint64_t;

class FairQueue {
 public:
  void Push(const std::string& workspace, double weight, int priority,
            WorkNumber work, bool within_budget = true);
  // Removes work that gives up waiting; false if it does not wait here.
  bool Remove(const std::string& workspace, WorkNumber work);
  // Charges `tokens` to the workspace.
  void Charge(const std::string& workspace, double tokens);

  // Visits the heads in fair order until `take` returns true for one, which is
  // then removed. Returns the work taken. Work over budget is visited only if
  // none within budget waits.
  std::optional<WorkNumber> TakeFirst(
      const std::function<bool(WorkNumber)>& take);

  std::size_t size() const { return size_; }
  std::size_t waiting_within_budget() const { return within_budget_; }
  std::size_t WaitingOf(std::string_view workspace) const;
  // How many others are expected to go before a new one of `workspace`: as
  // fair turns go round, no other workspace has more of them than this one.
  std::size_t TurnsBefore(std::string_view workspace, bool within_budget) const;
  // Tokens charged over weight; zero for a workspace not seen.
  double CounterOf(std::string_view workspace) const;

 private:
  struct Lane {
    double weight = 1.0;
    // Tokens charged over weight. A lane that becomes busy starts no lower
    // than the least busy one, so idleness earns no credit.
    double counter = 0.0;
    // By whether it is within budget, then by priority; each in order of
    // arrival. Both sort high to low.
    std::map<std::pair<bool, int>, std::deque<WorkNumber>, std::greater<>>
        waiting;

    bool IsIdle() const { return waiting.empty(); }
    std::size_t Waiting(bool within_budget) const;
  };

  double LeastBusyCounter() const;

  std::map<std::string, Lane, std::less<>> lanes_;
  // Takes out the first work of a rank.
  void PopFirst(Lane& lane);

  std::size_t size_ = 0;
  std::size_t within_budget_ = 0;
  // The counter of the lane that was served last: the floor for lanes that
  // become busy when none is.
  double last_counter_ = 0.0;
};

}  // namespace balsam::admission
