// Tests that replicas keep the newest revision in any order of changes.
#include "libraries/revisions/revisioned_map.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace balsam::revisions {
namespace {

TEST(RevisionedMapTest, IgnoresOlderRevisions) {
  RevisionedMap map;
  EXPECT_TRUE(map.Apply({"k", 5, "new"}));
  EXPECT_FALSE(map.Apply({"k", 4, "old"}));
  EXPECT_FALSE(map.Apply({"k", 5, "same"}));
  EXPECT_EQ(*map.Find("k"), "new");
  EXPECT_TRUE(map.Apply({"k", 6, std::nullopt}));
  EXPECT_EQ(map.Find("k"), nullptr);
  // A delayed change from a peer does not restore a deleted key.
  EXPECT_FALSE(map.Apply({"k", 5, "new"}));
  EXPECT_EQ(map.Find("k"), nullptr);
}

TEST(RevisionedMapTest, SnapshotDeletesMissingKeys) {
  RevisionedMap map;
  map.Apply({"a/1", 1, "x"});
  map.Apply({"a/2", 2, "x"});
  map.Apply({"a/3", 9, "later than the snapshot"});
  map.Apply({"b/1", 3, "another prefix"});
  const auto changes = map.ApplySnapshot("a/", {{"a/1", 1, "x"}}, 7);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].key, "a/2");
  EXPECT_FALSE(changes[0].value.has_value());
  EXPECT_NE(map.Find("a/1"), nullptr);
  EXPECT_EQ(map.Find("a/2"), nullptr);
  EXPECT_NE(map.Find("a/3"), nullptr);
  EXPECT_NE(map.Find("b/1"), nullptr);
  EXPECT_EQ(map.revision(), 7U);
}

// A process that has just started may receive the response of a peer that is
// partitioned from the store after the response of the store.
TEST(RevisionedMapTest, KeysDeletedBeforeSnapshotAreNotRestored) {
  RevisionedMap map;
  map.ApplySnapshot({}, {{"a", 3, "x"}}, 10);
  EXPECT_FALSE(map.Apply({"left", 5, "x"}));
  EXPECT_EQ(map.Find("left"), nullptr);
  EXPECT_TRUE(map.Apply({"new", 11, "x"}));
  // Changes of one batch arrive in any order.
  EXPECT_TRUE(map.Apply({"c", 14, "x"}));
  EXPECT_TRUE(map.Apply({"b", 13, "x"}));
}

TEST(RevisionedMapTest, SnapshotHasNoHistoryOfEarlierDeletions) {
  RevisionedMap map;
  EXPECT_TRUE(map.HasCompleteHistoryAfter(0));
  map.ApplySnapshot({}, {{"a", 3, "x"}}, 10);
  EXPECT_FALSE(map.HasCompleteHistoryAfter(9));
  EXPECT_TRUE(map.HasCompleteHistoryAfter(10));
  map.Apply({"a", 12, std::nullopt});
  map.Apply({"b", 13, "y"});
  EXPECT_EQ(map.LiveEntries().size(), 1U);
  EXPECT_EQ(map.ChangesAfter(10).size(), 2U);
}

// Guards against a version of the configuration that a replica never gets: an
// entry that was newer than the others, from a later page of a read, raised the
// revision from which peers and the replica itself went on.
TEST(RevisionedMapTest, NewerEntryDoesNotHideChangesBeforeIt) {
  RevisionedMap reader;
  reader.ApplySnapshot({}, {{"first", 90, "v1"}, {"second", 105, "s"}}, 100);
  EXPECT_EQ(reader.revision(), 100U);
  RevisionedMap follower;
  follower.ApplySnapshot({}, reader.LiveEntries(), reader.revision());
  // The watch goes on after the first page.
  reader.Apply({"first", 103, "v2"});
  reader.AdvanceTo(105);
  ASSERT_GT(reader.revision(), follower.revision());
  for (const auto& entry : reader.ChangesAfter(follower.revision())) {
    follower.Apply(entry);
  }
  follower.AdvanceTo(reader.revision());
  ASSERT_NE(follower.Find("first"), nullptr);
  EXPECT_EQ(*follower.Find("first"), "v2");
}

RC_GTEST_PROP(RevisionedMapPropertyTest, ReplicasConvergeInAnyOrder, ()) {
  const auto count = *rc::gen::inRange<std::size_t>(1, 30);
  std::vector<RevisionedEntry> history;
  for (std::size_t i = 0; i < count; ++i) {
    RevisionedEntry entry{std::string(1, *rc::gen::inRange('a', 'e')), i + 1,
                          std::nullopt};
    if (*rc::gen::arbitrary<bool>()) entry.value = std::to_string(i);
    history.push_back(entry);
  }
  RevisionedMap in_order;
  for (const auto& entry : history) {
    in_order.Apply(entry);
    in_order.AdvanceTo(entry.revision);
  }
  RevisionedMap shuffled;
  for (std::size_t i = 0; i < 2 * count; ++i) {
    shuffled.Apply(history[*rc::gen::inRange<std::size_t>(0, count)]);
  }
  // A peer sends the remaining changes.
  for (const auto& entry : in_order.ChangesAfter(0)) shuffled.Apply(entry);
  for (char key = 'a'; key < 'e'; ++key) {
    const std::string name(1, key);
    const std::string* left = in_order.Find(name);
    const std::string* right = shuffled.Find(name);
    RC_ASSERT((left == nullptr) == (right == nullptr));
    if (left != nullptr) RC_ASSERT(*left == *right);
  }
  // Single entries do not say that everything before them is known.
  RC_ASSERT(shuffled.revision() == 0U);
  shuffled.AdvanceTo(in_order.revision());
  RC_ASSERT(shuffled.revision() == count);
}

}  // namespace
}  // namespace balsam::revisions
