// Evacuations that end and begin again, and that the store lost.
#include "libraries/directory/evacuation_list.h"

#include <gtest/gtest.h>

#include "libraries/directory/backend_directory.h"

namespace balsam::directory {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kDoubt{5000};

class EvacuationListTest : public testing::Test {
 protected:
  const BootTime now_ = BootTime{} + std::chrono::hours(1);
  EvacuationList list_{{kDoubt}};
};

TEST_F(EvacuationListTest, RepeatedRequestIsNoChange) {
  EXPECT_TRUE(list_.OnRequested("a"));
  EXPECT_FALSE(list_.OnRequested("a"));
  EXPECT_TRUE(list_.Contains("a"));
  EXPECT_FALSE(list_.Contains("b"));
}

TEST_F(EvacuationListTest, OverlappingEvacuationsEndOneByOne) {
  list_.OnRequested("a");
  list_.OnRequested("b");
  EXPECT_TRUE(list_.OnWithdrawn("a"));
  EXPECT_FALSE(list_.OnWithdrawn("a"));
  EXPECT_FALSE(list_.Contains("a"));
  EXPECT_TRUE(list_.Contains("b"));
}

TEST_F(EvacuationListTest, CopyWithoutItIsDoubted) {
  list_.OnRequested("a");
  list_.OnMissingFromCopy("a", now_);
  EXPECT_TRUE(list_.TakeLapsed(now_ + kDoubt - milliseconds(1)).empty());
  EXPECT_TRUE(list_.Contains("a"));
  EXPECT_EQ(list_.TakeLapsed(now_ + kDoubt), std::vector<std::string>{"a"});
  EXPECT_FALSE(list_.Contains("a"));
}

TEST_F(EvacuationListTest, WrittenAgainAfterCopyItRemains) {
  list_.OnRequested("a");
  list_.OnMissingFromCopy("a", now_);
  EXPECT_FALSE(list_.OnRequested("a"));
  EXPECT_TRUE(list_.TakeLapsed(now_ + kDoubt).empty());
  EXPECT_TRUE(list_.Contains("a"));
}

TEST_F(EvacuationListTest, CopyWithoutAnUnknownOneChangesNothing) {
  list_.OnMissingFromCopy("a", now_);
  EXPECT_FALSE(list_.Contains("a"));
  EXPECT_TRUE(list_.TakeLapsed(now_ + kDoubt).empty());
}

// A server's own state and the evacuation of its data centre are independent:
// neither is lost when the other changes.
TEST_F(EvacuationListTest, ServerAcceptsRequestsIfNeitherForbidsThem) {
  BackendDirectory directory({});
  BackendServer server;
  server.id = "i-1";
  server.data_center = "a";
  directory.OnAnnounced(server, now_);
  const auto accepts = [&] {
    return directory.AcceptsRequests(*directory.Find("i-1"),
                                     *directory.StateOf("i-1"));
  };
  EXPECT_TRUE(accepts());
  directory.evacuations().OnRequested("a");
  EXPECT_FALSE(accepts());
  EXPECT_TRUE(directory.IsEvacuated("i-1"));
  directory.OnReportedLeaving("i-1", LeavingNotice::kFinal, now_);
  directory.evacuations().OnWithdrawn("a");
  EXPECT_FALSE(accepts());
  EXPECT_FALSE(directory.IsEvacuated("i-1"));
}

// A server that starts in an evacuated data centre.
TEST_F(EvacuationListTest, ServerThatAppearsLaterIsEvacuatedToo) {
  BackendDirectory directory({});
  directory.evacuations().OnRequested("a");
  BackendServer server;
  server.id = "i-1";
  server.data_center = "a";
  directory.OnAnnounced(server, now_);
  EXPECT_TRUE(directory.IsEvacuated("i-1"));
  EXPECT_EQ(directory.StateOf("i-1"), ServerState::kReady);
}

}  // namespace
}  // namespace balsam::directory
