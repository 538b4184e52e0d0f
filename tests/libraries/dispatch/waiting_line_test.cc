// Order and expiry of the wait queue.
#include <gtest/gtest.h>

#include <vector>

#include "libraries/dispatch/wait_queue.h"

namespace balsam::dispatch {
namespace {

using std::chrono::milliseconds;

TEST(WaitQueueTest, OrdersByPriorityThenArrival) {
  WaitQueue<int> queue;
  const BootTime later = BootTime{} + std::chrono::seconds(10);
  queue.Push(1, 5, later, later);
  queue.Push(2, 0, later, later);
  queue.Push(3, 5, later, later);
  queue.Push(4, 0, later, later);
  std::vector<int> offered;
  queue.OfferCapacity(BootTime{}, [&](int work) {
    offered.push_back(work);
    return work == 2;
  });
  EXPECT_EQ(offered, (std::vector<int>{2, 4, 1, 3}));
  EXPECT_EQ(queue.size(), 3U);
  queue.Remove(1);
  EXPECT_EQ(queue.size(), 2U);
}

// After a burst, all queued requests would otherwise be slightly late.
TEST(WaitQueueTest, LateRequestsGoBehindThoseThatCanBeOnTime) {
  WaitQueue<int> queue;
  const BootTime start{};
  const BootTime later = start + std::chrono::seconds(10);
  queue.Push(1, 1, start + milliseconds(100), later);
  queue.Push(2, 1, start + milliseconds(500), later);
  queue.Push(3, 1, start + milliseconds(600), later);
  std::vector<int> offered;
  queue.OfferCapacity(start + milliseconds(300), [&](int work) {
    offered.push_back(work);
    return false;
  });
  EXPECT_EQ(offered, (std::vector<int>{2, 3, 1}));
}

TEST(WaitQueueTest, WorkAheadCountsEqualAndHigherPriorities) {
  WaitQueue<int> queue;
  const BootTime later = BootTime{} + std::chrono::seconds(10);
  queue.Push(10, 0, later, later);
  queue.Push(20, 1, later, later);
  queue.Push(40, 2, later, later);
  const auto size_of = [](int work) { return work; };
  EXPECT_EQ(queue.WorkAhead(0, size_of), 10);
  EXPECT_EQ(queue.WorkAhead(1, size_of), 30);
  EXPECT_EQ(queue.WorkAhead(9, size_of), 70);
}

TEST(WaitQueueTest, ExpiredWorkIsRemoved) {
  WaitQueue<int> queue;
  const BootTime start{};
  queue.Push(1, 0, start, start + milliseconds(10));
  queue.Push(2, 0, start, start + milliseconds(20));
  EXPECT_TRUE(queue.TakeExpired(start + milliseconds(9)).empty());
  EXPECT_EQ(queue.TakeExpired(start + milliseconds(10)), (std::vector<int>{1}));
  EXPECT_EQ(queue.size(), 1U);
}

}  // namespace
}  // namespace balsam::dispatch
