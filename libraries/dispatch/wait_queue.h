// A queue of requests that wait for capacity, ordered by priority and then by
// arrival. Requests that can no longer be on time go behind those that can, so
// that a burst delays a few requests instead of all.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "libraries/base/boot_clock.h"

namespace balsam::dispatch {

template <typename Work>
class WaitQueue {
 public:
  // `priority`: 0 is the highest. `latest_on_time_start`: the latest start at
  // which the request is on time. `expires_at`: when it stops waiting.
  void Push(Work work, int priority, BootTime latest_on_time_start,
            BootTime expires_at) {
    waiting_.emplace(Rank{priority, next_arrival_++},
                     Item{work, latest_on_time_start, expires_at});
  }
  // Does nothing if `work` is not queued.
  void Remove(const Work& work) {
    std::erase_if(waiting_, [&](const auto& queued) {
      return queued.second.work == work;
    });
  }

  // Calls `try_start` for each request in order and removes those for which it
  // returns true. `try_start` must not modify the queue.
  template <typename TryStart>
  void OfferCapacity(BootTime now, TryStart&& try_start) {
    for (const bool on_time : {true, false}) {
      std::erase_if(waiting_, [&](const auto& queued) {
        return (queued.second.latest_on_time_start >= now) == on_time &&
               try_start(queued.second.work);
      });
    }
  }

  // Removes and returns requests that have waited until they expired.
  std::vector<Work> TakeExpired(BootTime now) {
    std::vector<Work> expired;
    std::erase_if(waiting_, [&](const auto& queued) {
      if (queued.second.expires_at > now) return false;
      expired.push_back(queued.second.work);
      return true;
    });
    return expired;
  }

  // Sums `size_of(work)` over the requests that go before a new one of
  // `priority` by priority and arrival, whether or not they can be on time.
  template <typename SizeOf>
  std::int64_t WorkAhead(int priority, SizeOf&& size_of) const {
    std::int64_t sum = 0;
    for (const auto& [rank, item] : waiting_) {
      if (rank.first > priority) break;
      sum += size_of(item.work);
    }
    return sum;
  }

  std::size_t size() const { return waiting_.size(); }
  bool empty() const { return waiting_.empty(); }

 private:
  // Priority, then order of arrival.
  using Rank = std::pair<int, std::uint64_t>;
  struct Item {
    Work work;
    BootTime latest_on_time_start;
    BootTime expires_at;
  };

  std::map<Rank, Item> waiting_;
  std::uint64_t next_arrival_ = 0;
};

}  // namespace balsam::dispatch
