// The store comes back from a copy that is some seconds old: what was written
// since is gone until it is written again, and revisions are given out twice.
#include <gtest/gtest.h>

#include <string>

#include "libraries/revisions/revision.h"
#include "tests/services/gateway/gateway_node_fixture.h"

namespace balsam::gateway {
namespace {

class RestoredStoreTest : public GatewayNodeTest {
 protected:
  void SetUp() override {
    GatewayNodeTest::SetUp();
    revision_ = *revisions::MakeRevision(1, 100);
    Publish({&first_, &second_});
  }

  // Entries made from now on were written before the copy was made.
  void Restore() { revision_ = *revisions::MakeRevision(2, 50); }

  // The engine announces that it leaves.
  void Leave(std::size_t number, const ScriptedEngine& engine) {
    revisions::RevisionedEntry entry = EntryOf(number, engine, 1);
    nlohmann::json value = nlohmann::json::parse(*entry.value);
    value["state"] = "draining";
    entry.value = value.dump();
    node_->OnStoreChanges({entry}, revision_);
  }
};

// The copy lists a server that has left since. Its address may belong to
// another service by now.
TEST_F(RestoredStoreTest, ServerThatLeftIsNotUsedAgain) {
  Leave(0, first_);
  Restore();
  node_->OnStoreSnapshot({ConfigurationEntry(1, true), EntryOf(0, first_, 1),
                          EntryOf(1, second_, 1)},
                         revision_);
  for (int i = 0; i < 10; ++i) EXPECT_EQ(RequestStatus(), 200);
  EXPECT_EQ(Requests(first_), 0U);
  // It writes its entry again after all.
  node_->OnStoreChanges({EntryOf(0, first_, 1)}, revision_);
  Leave(1, second_);
  EXPECT_EQ(RequestStatus(), 200);
  EXPECT_EQ(Requests(first_), 1U);
}

// The copy lacks a server that appeared since, and that will write its entry
// again.
TEST_F(RestoredStoreTest, ServerMissingFromCopyMayReturn) {
  Restore();
  node_->OnStoreSnapshot({ConfigurationEntry(1, true)}, revision_);
  EXPECT_EQ(RequestStatus(), 200);
}

// A key that the copy still allows has been revoked since.
TEST_F(RestoredStoreTest, EarlierConfigurationIsNotAppliedAgain) {
  node_->OnStoreChanges({ConfigurationEntry(2, false)}, revision_);
  EXPECT_EQ(RequestStatus(), 401);
  Restore();
  node_->OnStoreSnapshot({ConfigurationEntry(1, true), EntryOf(0, first_, 1),
                          EntryOf(1, second_, 1)},
                         revision_);
  EXPECT_EQ(RequestStatus(), 401);
  // Written at a revision that the store had given out before.
  node_->OnStoreChanges({ConfigurationEntry(3, true)}, revision_);
  EXPECT_EQ(RequestStatus(), 200);
}

TEST_F(RestoredStoreTest, ChangesOfEarlierEraFromPeersAreIgnored) {
  const revisions::RevisionedEntry removal{"servers/i-0", revision_ + 7,
                                           std::nullopt};
  Restore();
  node_->OnStoreSnapshot({ConfigurationEntry(1, true), EntryOf(0, first_, 1)},
                         revision_);
  node_->OnStoreChanges({removal}, removal.revision);
  EXPECT_EQ(RequestStatus(), 200);
  EXPECT_EQ(Requests(first_), 1U);
}

// A server that crashed and started again after the copy was made.
TEST_F(RestoredStoreTest, EarlierIncarnationDoesNotReplaceLaterOne) {
  node_->OnStoreChanges({EntryOf(0, first_, 2)}, revision_);
  Leave(1, second_);
  bool broke_off = false;
  first_.on_request = [&](const auto& request) {
    // The run goes on while the store is restored.
    Restore();
    node_->OnStoreSnapshot({ConfigurationEntry(1, true), EntryOf(0, first_, 1)},
                           revision_);
    broke_off = request.socket->state() != QAbstractSocket::ConnectedState;
    Reply(request, "");
  };
  EXPECT_EQ(RequestStatus(), 200);
  EXPECT_FALSE(broke_off);
}

}  // namespace
}  // namespace balsam::gateway
