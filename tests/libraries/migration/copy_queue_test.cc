// Whose copy goes first.
#include "libraries/migration/copy_queue.h"

#include <gtest/gtest.h>

namespace balsam::migration {
namespace {

struct Move {};

class CopyQueueTest : public testing::Test {
 protected:
  Move small_;
  Move large_;
  Move repeatable_;
  CopyQueue<Move> queue_;
};

// Load: an engine that holds many long runs leaves, and its link carries four
// to seven copies before it is gone. Short runs that may be repeated took a
// third of that time and ended by themselves meanwhile.
TEST_F(CopyQueueTest, RunsThatAreLostForGoodGoFirstAndSmallOnesOfThem) {
  queue_.Join(&repeatable_, {true, 100});
  EXPECT_EQ(queue_.TakeNext(), &repeatable_);
  queue_.Leave(&repeatable_);
  queue_.Join(&repeatable_, {true, 100});
  queue_.Join(&large_, {false, 5000});
  queue_.Join(&small_, {false, 3000});
  EXPECT_EQ(queue_.TakeNext(), &small_);
  queue_.Leave(&small_);
  EXPECT_EQ(queue_.TakeNext(), &large_);
  queue_.Leave(&large_);
  EXPECT_EQ(queue_.TakeNext(), &repeatable_);
  queue_.Leave(&repeatable_);
  EXPECT_TRUE(queue_.empty());
}

TEST_F(CopyQueueTest, OneAtATime) {
  queue_.Join(&small_, {});
  queue_.Join(&large_, {});
  EXPECT_NE(queue_.TakeNext(), nullptr);
  EXPECT_EQ(queue_.TakeNext(), nullptr);
  EXPECT_FALSE(queue_.empty());
}

TEST_F(CopyQueueTest, ARunThatEndedTakesNoTurn) {
  queue_.Join(&small_, {false, 1});
  queue_.Join(&large_, {false, 2});
  queue_.Leave(&small_);
  EXPECT_EQ(queue_.TakeNext(), &large_);
  // One that is not here changes nothing.
  queue_.Leave(&small_);
  EXPECT_EQ(queue_.TakeNext(), nullptr);
}

}  // namespace
}  // namespace balsam::migration
