// Order of copies.
#include "libraries/migration/copy_queue.h"

#include <gtest/gtest.h>

namespace balsam::migration {
namespace {

struct FakeMigration {};

class CopyQueueTest : public testing::Test {
 protected:
  FakeMigration small_;
  FakeMigration large_;
  FakeMigration repeatable_;
  CopyQueue<FakeMigration> queue_;
};

// Guards against losing generations when an engine with many long ones leaves
// and its link carries only four to seven copies in the time left. Copies of
// short repeatable generations used to take a third of that time, although
// these ended by themselves meanwhile.
TEST_F(CopyQueueTest, NonRepeatableGenerationsGoFirstSmallestFirst) {
  queue_.Push(&repeatable_, {true, 100});
  EXPECT_EQ(queue_.TakeNext(), &repeatable_);
  queue_.Remove(&repeatable_);
  queue_.Push(&repeatable_, {true, 100});
  queue_.Push(&large_, {false, 5000});
  queue_.Push(&small_, {false, 3000});
  EXPECT_EQ(queue_.TakeNext(), &small_);
  queue_.Remove(&small_);
  EXPECT_EQ(queue_.TakeNext(), &large_);
  queue_.Remove(&large_);
  EXPECT_EQ(queue_.TakeNext(), &repeatable_);
  queue_.Remove(&repeatable_);
  EXPECT_TRUE(queue_.empty());
}

TEST_F(CopyQueueTest, OneCopyAtATime) {
  queue_.Push(&small_, {});
  queue_.Push(&large_, {});
  EXPECT_NE(queue_.TakeNext(), nullptr);
  EXPECT_EQ(queue_.TakeNext(), nullptr);
  EXPECT_FALSE(queue_.empty());
}

TEST_F(CopyQueueTest, EndedGenerationIsSkipped) {
  queue_.Push(&small_, {false, 1});
  queue_.Push(&large_, {false, 2});
  queue_.Remove(&small_);
  EXPECT_EQ(queue_.TakeNext(), &large_);
  // Removing one that is not queued changes nothing.
  queue_.Remove(&small_);
  EXPECT_EQ(queue_.TakeNext(), nullptr);
}

}  // namespace
}  // namespace balsam::migration
