// A weighted fair queue of work by workspace (virtual token counters): each
// workspace is charged the tokens that it uses divided by its weight, and the
// one with the lowest counter goes next. Output lengths are unknown in advance,
// so tokens are charged as they are produced. Work of a workspace that is over
// budget is taken only while no other work waits.
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

// Identifies queued work; assigned by the owner of the queue.
using WorkId = std::uint64_t;

class FairQueue {
 public:
  void Push(const std::string& workspace, double weight, int priority,
            WorkId work, bool within_budget = true);
  // Removes queued work; returns false if it is not queued.
  bool Remove(const std::string& workspace, WorkId work);
  // Adds `tokens` divided by its weight to the counter of the workspace.
  void Charge(const std::string& workspace, double tokens);

  // Calls `take` for the first work of each workspace in fair order until it
  // returns true, then removes and returns that work. Work over budget is
  // visited only if none within budget waits.
  std::optional<WorkId> TakeFirst(const std::function<bool(WorkId)>& take);

  std::size_t size() const { return size_; }
  std::size_t waiting_within_budget() const { return queued_within_budget_; }
  std::size_t QueueLength(std::string_view workspace) const;
  // How many queued items are expected to go before a new one of `workspace`,
  // assuming that workspaces take turns, so that no other workspace gets more
  // turns than this one.
  std::size_t ExpectedAhead(std::string_view workspace,
                            bool within_budget) const;
  // Tokens charged divided by weight; zero for an unknown workspace.
  double CounterOf(std::string_view workspace) const;

 private:
  struct WorkspaceState {
    double weight = 1.0;
    // Tokens charged divided by weight. A workspace that becomes active starts
    // no lower than the lowest active counter, so idle time earns no credit.
    double counter = 0.0;
    // Keyed by whether the work is within budget, then by priority, both in
    // descending order; each deque is in order of arrival.
    std::map<std::pair<bool, int>, std::deque<WorkId>, std::greater<>> waiting;

    bool IsIdle() const { return waiting.empty(); }
    std::size_t QueuedCount(bool within_budget) const;
  };

  double MinActiveCounter() const;

  std::map<std::string, WorkspaceState, std::less<>> workspaces_;
  // Removes the first work of the highest rank.
  void PopFirst(WorkspaceState& state);

  std::size_t size_ = 0;
  std::size_t queued_within_budget_ = 0;
  // Counter of the workspace that was served last: the lower bound for a
  // workspace that becomes active while no other is.
  double last_served_counter_ = 0.0;
};

}  // namespace balsam::admission
