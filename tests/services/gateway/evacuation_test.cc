// Operators evacuate a data centre and withdraw that: what reaches the backend
// servers there, with a store that fails or is restored meanwhile.
#include <gtest/gtest.h>

#include <string>

#include "libraries/revisions/revision.h"
#include "tests/services/gateway/gateway_node_fixture.h"

namespace balsam::gateway {
namespace {

class EvacuationTest : public GatewayNodeTest {
 protected:
  void SetUp() override {
    GatewayNodeTest::SetUp();
    revision_ = *revisions::MakeRevision(1, 100);
    node_->OnStoreSnapshot(Servers(), revision_);
  }

  // The configuration, and one server in each of two data centres.
  std::vector<revisions::RevisionedEntry> Servers() {
    return {ConfigurationEntry(1, true), EntryIn("west", 0, first_),
            EntryIn("east", 1, second_)};
  }

  revisions::RevisionedEntry EntryIn(const std::string& data_center,
                                     std::size_t number,
                                     const ScriptedEngine& engine) {
    revisions::RevisionedEntry entry = EntryOf(number, engine, 1);
    nlohmann::json value = nlohmann::json::parse(*entry.value);
    value["zone"] = data_center;
    entry.value = value.dump();
    return entry;
  }

  revisions::RevisionedEntry Evacuation(const std::string& data_center) {
    return {"op/evacuate/" + data_center, ++revision_, "{}"};
  }
  revisions::RevisionedEntry Withdrawal(const std::string& data_center) {
    return {"op/evacuate/" + data_center, ++revision_, std::nullopt};
  }
  void Apply(const revisions::RevisionedEntry& entry) {
    node_->OnStoreChanges({entry}, revision_);
  }

  // Sends requests; returns how many of them reached the server in the west.
  std::size_t RequestsInWest() {
    const std::size_t before = Requests(first_);
    for (int i = 0; i < 10; ++i) EXPECT_EQ(RequestStatus(), 200);
    return Requests(first_) - before;
  }
  // Sends requests until one reaches the server in the west. The choice between
  // equal servers is random.
  bool IsWestInUse() {
    constexpr int kMaxRequests = 64;
    const std::size_t before = Requests(first_);
    for (int i = 0; i < kMaxRequests && Requests(first_) == before; ++i) {
      EXPECT_EQ(RequestStatus(), 200);
    }
    return Requests(first_) > before;
  }
};

TEST_F(EvacuationTest, EvacuatedDataCenterGetsNoRequests) {
  EXPECT_TRUE(IsWestInUse());
  Apply(Evacuation("west"));
  EXPECT_EQ(RequestsInWest(), 0U);
  Apply(Withdrawal("west"));
  EXPECT_TRUE(IsWestInUse());
}

TEST_F(EvacuationTest, WithoutAnotherDataCenterRequestsAreRejected) {
  Apply(Evacuation("west"));
  Apply(Evacuation("east"));
  EXPECT_EQ(RequestStatus(), 503);
  EXPECT_EQ(Requests(first_) + Requests(second_), 0U);
  Apply(Withdrawal("east"));
  EXPECT_EQ(RequestsInWest(), 0U);
}

TEST_F(EvacuationTest, RunInProgressEndsThere) {
  Apply(Evacuation("east"));
  first_.on_request = [&](const auto& request) {
    Apply(Evacuation("west"));
    Apply(Withdrawal("east"));
    Reply(request, "");
  };
  EXPECT_EQ(RequestStatus(), 200);
  EXPECT_EQ(Requests(first_), 1U);
  EXPECT_EQ(RequestsInWest(), 0U);
}

// A request that may be repeated failed in the evacuated data centre.
TEST_F(EvacuationTest, RepeatGoesElsewhere) {
  attempts_ = 3;
  node_->OnStoreChanges({ConfigurationEntry(2, true)}, revision_);
  Apply(Evacuation("east"));
  first_.on_request = [&](const auto& request) {
    Apply(Evacuation("west"));
    Apply(Withdrawal("east"));
    Reply(request, "", "500 Internal Server Error");
  };
  EXPECT_EQ(RequestStatus(), 200);
  EXPECT_EQ(Requests(first_), 1U);
  EXPECT_EQ(Requests(second_), 1U);
}

TEST_F(EvacuationTest, OutageOfStoreDoesNotEndIt) {
  Apply(Evacuation("west"));
  node_->OnStoreAvailable(true);
  node_->OnStoreAvailable(false);
  EXPECT_EQ(RequestsInWest(), 0U);
  node_->OnStoreAvailable(true);
  EXPECT_EQ(RequestsInWest(), 0U);
}

TEST_F(EvacuationTest, GatewayThatStartsInTheMiddleKnowsIt) {
  ASSERT_TRUE(RetryWithOtherPorts([this] { return StartNode(); }));
  std::vector<revisions::RevisionedEntry> entries = Servers();
  entries.push_back(Evacuation("west"));
  node_->OnStoreSnapshot(entries, revision_);
  EXPECT_EQ(RequestsInWest(), 0U);
}

// The withdrawal was missed, and shows in a complete read only.
TEST_F(EvacuationTest, CompleteReadWithoutItEndsIt) {
  Apply(Evacuation("west"));
  const auto entries = Servers();
  node_->OnStoreSnapshot(entries, ++revision_);
  EXPECT_TRUE(IsWestInUse());
}

// The store comes back from a copy that was made before the evacuation, which
// operators will write again.
TEST_F(EvacuationTest, RestoredStoreWithoutItDoesNotEndIt) {
  Apply(Evacuation("west"));
  revision_ = *revisions::MakeRevision(2, 50);
  const auto entries = Servers();
  node_->OnStoreSnapshot(entries, revision_);
  EXPECT_EQ(RequestsInWest(), 0U);
  Apply(Evacuation("west"));
  EXPECT_EQ(RequestsInWest(), 0U);
  Apply(Withdrawal("west"));
  EXPECT_TRUE(IsWestInUse());
}

// An evacuation ends and begins again within a moment; peers tell both in any
// order.
TEST_F(EvacuationTest, DelayedWithdrawalDoesNotEndTheNextOne) {
  Apply(Evacuation("west"));
  const revisions::RevisionedEntry withdrawal = Withdrawal("west");
  Apply(Evacuation("west"));
  Apply(withdrawal);
  EXPECT_EQ(RequestsInWest(), 0U);
}

}  // namespace
}  // namespace balsam::gateway
