// Orders waiting work by workspace: each is charged for the tokens that it has
// used, over its weight, and the one that used least goes next. Lengths are
// unknown, so tokens are charged as they stream.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace balsam::admission {

// Refers to waiting work by a number of the owner's.
using WorkNumber = std::uint64_t;

class FairQueue {
 public:
  void Push(const std::string& workspace, double weight, int priority,
            WorkNumber work);
  // Removes work that gives up waiting; false if it does not wait here.
  bool Remove(const std::string& workspace, WorkNumber work);
  // Charges `tokens` to the workspace.
  void Charge(const std::string& workspace, double tokens);

  // Visits the heads in fair order until `take` returns true for one, which is
  // then removed. Returns the work taken.
  std::optional<WorkNumber> TakeFirst(
      const std::function<bool(WorkNumber)>& take);

  std::size_t size() const { return size_; }
  std::size_t WaitingOf(std::string_view workspace) const;
  // Tokens charged over weight; zero for a workspace not seen.
  double CounterOf(std::string_view workspace) const;

 private:
  struct Lane {
    double weight = 1.0;
    // Tokens charged over weight. A lane that becomes busy starts no lower
    // than the least busy one, so idleness earns no credit.
    double counter = 0.0;
    // Higher priorities first, each in order of arrival.
    std::map<int, std::deque<WorkNumber>, std::greater<>> waiting;

    bool IsIdle() const { return waiting.empty(); }
  };

  double LeastBusyCounter() const;

  std::map<std::string, Lane, std::less<>> lanes_;
  std::size_t size_ = 0;
  // The counter of the lane that was served last: the floor for lanes that
  // become busy when none is.
  double last_counter_ = 0.0;
};

}  // namespace balsam::admission
