// Who waits, in which order, and for how long.
#include "libraries/dispatch/waiting_line.h"

#include <gtest/gtest.h>

#include <vector>

namespace balsam::dispatch {
namespace {

using std::chrono::milliseconds;

TEST(WaitingLineTest, TheMostUrgentGoFirstThenTheOldest) {
  WaitingLine<int> line;
  const BootTime later = BootTime{} + std::chrono::seconds(10);
  line.Join(1, 5, later, later);
  line.Join(2, 0, later, later);
  line.Join(3, 5, later, later);
  line.Join(4, 0, later, later);
  std::vector<int> offered;
  line.Offer(BootTime{}, [&](int work) {
    offered.push_back(work);
    return work == 2;
  });
  EXPECT_EQ(offered, (std::vector<int>{2, 4, 1, 3}));
  EXPECT_EQ(line.size(), 3U);
  line.Leave(1);
  EXPECT_EQ(line.size(), 2U);
}

// The pattern: a burst, after which all that waited would be a little late.
TEST(WaitingLineTest, WhatIsLateAnywayLetsOthersBeOnTime) {
  WaitingLine<int> line;
  const BootTime start{};
  const BootTime later = start + std::chrono::seconds(10);
  line.Join(1, 1, start + milliseconds(100), later);
  line.Join(2, 1, start + milliseconds(500), later);
  line.Join(3, 1, start + milliseconds(600), later);
  std::vector<int> offered;
  line.Offer(start + milliseconds(300), [&](int work) {
    offered.push_back(work);
    return false;
  });
  EXPECT_EQ(offered, (std::vector<int>{2, 3, 1}));
}

TEST(WaitingLineTest, WorkAheadCountsWhatIsAtLeastAsUrgent) {
  WaitingLine<int> line;
  const BootTime later = BootTime{} + std::chrono::seconds(10);
  line.Join(10, 0, later, later);
  line.Join(20, 1, later, later);
  line.Join(40, 2, later, later);
  const auto size_of = [](int work) { return work; };
  EXPECT_EQ(line.WorkAhead(0, size_of), 10);
  EXPECT_EQ(line.WorkAhead(1, size_of), 30);
  EXPECT_EQ(line.WorkAhead(9, size_of), 70);
}

TEST(WaitingLineTest, WaitingEndsInTime) {
  WaitingLine<int> line;
  const BootTime start{};
  line.Join(1, 0, start, start + milliseconds(10));
  line.Join(2, 0, start, start + milliseconds(20));
  EXPECT_TRUE(line.TakeExpired(start + milliseconds(9)).empty());
  EXPECT_EQ(line.TakeExpired(start + milliseconds(10)), (std::vector<int>{1}));
  EXPECT_EQ(line.size(), 1U);
}

}  // namespace
}  // namespace balsam::dispatch
