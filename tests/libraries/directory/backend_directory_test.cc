// Tests the states of backend servers after sequences of announcements, reports
// and timeouts.
#include "libraries/directory/backend_directory.h"

#include <gtest/gtest.h>

namespace balsam::directory {
namespace {

using std::chrono::milliseconds;
using Kind = ServerChange::Kind;

BackendServer MakeServer(bool leaving = false, int started_at = 1) {
  BackendServer server;
  server.id = "i-1";
  server.service = "s";
  server.endpoint = {"10.0.0.1", 80};
  server.leaving = leaving;
  server.started_at = milliseconds(started_at);
  return server;
}

class BackendDirectoryTest : public testing::Test {
 protected:
  BootTime TimeAfter(int milliseconds_later) const {
    return BootTime{} + std::chrono::hours(1) +
           milliseconds(milliseconds_later);
  }
  BackendDirectory directory_{{.lapsed_grace_period = milliseconds(2500),
                               .leaving_retention = milliseconds(15000),
                               .evacuations = {}}};
};

TEST_F(BackendDirectoryTest, ReportsProlongTheCold) {
  directory_.OnReportedCold("i-1", milliseconds(500), TimeAfter(0));
  EXPECT_EQ(directory_.Find("i-1"), nullptr);
  BackendServer server = MakeServer();
  server.cold_left = milliseconds(500);
  directory_.OnAnnounced(server, TimeAfter(0));
  directory_.OnReportedCold("i-1", milliseconds(100), TimeAfter(200));
  EXPECT_EQ(directory_.Find("i-1")->cold_until, TimeAfter(500));
  directory_.OnReportedCold("i-1", milliseconds(400), TimeAfter(200));
  EXPECT_EQ(directory_.Find("i-1")->cold_until, TimeAfter(600));
}

TEST_F(BackendDirectoryTest, AnnouncedServerAppearsAndLeaves) {
  EXPECT_EQ(directory_.OnAnnounced(MakeServer(), TimeAfter(0))->kind,
            Kind::kAppeared);
  EXPECT_FALSE(directory_.OnAnnounced(MakeServer(), TimeAfter(1)).has_value());
  EXPECT_EQ(directory_.OnAnnounced(MakeServer(true), TimeAfter(2))->kind,
            Kind::kLeaving);
  EXPECT_EQ(directory_.StateOf("i-1"), ServerState::kLeaving);
  // Removing the announcement afterwards is not a change.
  EXPECT_FALSE(directory_.OnRemoved("i-1", false, TimeAfter(3)).has_value());
}

TEST_F(BackendDirectoryTest, RemovedAnnouncementMeansLeaving) {
  directory_.OnAnnounced(MakeServer(), TimeAfter(0));
  EXPECT_EQ(directory_.OnRemoved("i-1", false, TimeAfter(1))->kind,
            Kind::kLeaving);
  EXPECT_FALSE(directory_.OnRemoved("i-2", false, TimeAfter(1)).has_value());
}

TEST_F(BackendDirectoryTest, AnnouncementLostDuringOutageMayReturn) {
  directory_.OnAnnounced(MakeServer(), TimeAfter(0));
  EXPECT_EQ(directory_.OnRemoved("i-1", true, TimeAfter(1))->kind,
            Kind::kLapsed);
  EXPECT_TRUE(directory_.ProcessTimeouts(TimeAfter(2000)).empty());
  EXPECT_EQ(directory_.OnAnnounced(MakeServer(), TimeAfter(2100))->kind,
            Kind::kAppeared);
  EXPECT_TRUE(directory_.ProcessTimeouts(TimeAfter(5000)).empty());
  EXPECT_EQ(directory_.StateOf("i-1"), ServerState::kReady);
}

// The store came back from a copy that lists a server which has left since.
TEST_F(BackendDirectoryTest,
       RestoredAnnouncementDoesNotBringBackServerThatLeft) {
  directory_.OnAnnounced(MakeServer(), TimeAfter(0));
  directory_.OnRemoved("i-1", false, TimeAfter(1));
  EXPECT_FALSE(
      directory_.OnRestored(MakeServer(), TimeAfter(1000)).has_value());
  EXPECT_EQ(directory_.StateOf("i-1"), ServerState::kLeaving);
  // It is gone, so that the announcement is not renewed and expires.
  EXPECT_FALSE(directory_.OnRemoved("i-1", true, TimeAfter(4600)).has_value());
  EXPECT_EQ(directory_.ProcessTimeouts(TimeAfter(20000))[0].kind, Kind::kGone);
}

TEST_F(BackendDirectoryTest, RestoredAnnouncementOfForgottenServerIsDoubted) {
  EXPECT_EQ(directory_.OnRestored(MakeServer(), TimeAfter(0))->kind,
            Kind::kLeaving);
  // An announcement after the restoration comes from the server itself.
  EXPECT_EQ(directory_.OnAnnounced(MakeServer(), TimeAfter(500))->kind,
            Kind::kAppeared);
}

// Only a live server renews its announcement.
TEST_F(BackendDirectoryTest, RestoredAnnouncementThatIsRenewedCountsAgain) {
  directory_.OnAnnounced(MakeServer(), TimeAfter(0));
  directory_.OnRemoved("i-1", false, TimeAfter(1));
  directory_.OnRestored(MakeServer(), TimeAfter(1000));
  EXPECT_TRUE(directory_.ProcessTimeouts(TimeAfter(4900)).empty());
  EXPECT_EQ(directory_.ProcessTimeouts(TimeAfter(6000))[0].kind,
            Kind::kAppeared);
  EXPECT_EQ(directory_.StateOf("i-1"), ServerState::kReady);
}

TEST_F(BackendDirectoryTest,
       RestoredAnnouncementOfEarlierIncarnationIsIgnored) {
  directory_.OnAnnounced(MakeServer(false, 2), TimeAfter(0));
  EXPECT_FALSE(
      directory_.OnRestored(MakeServer(false, 1), TimeAfter(1)).has_value());
  EXPECT_EQ(directory_.Find("i-1")->started_at, milliseconds(2));
  EXPECT_EQ(directory_.OnRestored(MakeServer(false, 3), TimeAfter(2))->kind,
            Kind::kRestarted);
}

TEST_F(BackendDirectoryTest, RestoredAnnouncementDoesNotEndFinalNotice) {
  directory_.OnAnnounced(MakeServer(), TimeAfter(0));
  directory_.OnReportedLeaving("i-1", LeavingNotice::kFinal, TimeAfter(1));
  directory_.OnRestored(MakeServer(), TimeAfter(2));
  EXPECT_TRUE(directory_.ProcessTimeouts(TimeAfter(10000)).empty());
  EXPECT_EQ(directory_.StateOf("i-1"), ServerState::kLeaving);
}

TEST_F(BackendDirectoryTest, AnnouncementMissingAfterGracePeriodMeansLeaving) {
  directory_.OnAnnounced(MakeServer(), TimeAfter(0));
  directory_.OnRemoved("i-1", true, TimeAfter(1));
  const auto changes = directory_.ProcessTimeouts(TimeAfter(2501));
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].kind, Kind::kLeaving);
  const auto gone = directory_.ProcessTimeouts(TimeAfter(20000));
  ASSERT_EQ(gone.size(), 1U);
  EXPECT_EQ(gone[0].kind, Kind::kGone);
  EXPECT_EQ(directory_.Find("i-1"), nullptr);
}

TEST_F(BackendDirectoryTest, ReportedLeavingOverridesOlderAnnouncement) {
  directory_.OnAnnounced(MakeServer(), TimeAfter(0));
  EXPECT_EQ(
      directory_
          .OnReportedLeaving("i-1", LeavingNotice::kReported, TimeAfter(1))
          ->kind,
      Kind::kLeaving);
  EXPECT_FALSE(
      directory_
          .OnReportedLeaving("i-1", LeavingNotice::kReported, TimeAfter(2))
          .has_value());
  EXPECT_FALSE(directory_.OnAnnounced(MakeServer(), TimeAfter(3)).has_value());
  EXPECT_EQ(directory_.StateOf("i-1"), ServerState::kLeaving);
}

TEST_F(BackendDirectoryTest, UnrepeatedLeavingReportExpires) {
  directory_.OnAnnounced(MakeServer(), TimeAfter(0));
  directory_.OnReportedLeaving("i-1", LeavingNotice::kReported, TimeAfter(1));
  EXPECT_TRUE(directory_.IsLeavingByReportOnly("i-1"));
  EXPECT_EQ(directory_.OnLeavingReportExpired("i-1", TimeAfter(5000))->kind,
            Kind::kAppeared);
  EXPECT_EQ(directory_.StateOf("i-1"), ServerState::kReady);
  // Once the announcement was removed too, the server stays leaving.
  directory_.OnReportedLeaving("i-1", LeavingNotice::kReported,
                               TimeAfter(6000));
  directory_.OnRemoved("i-1", false, TimeAfter(6001));
  EXPECT_FALSE(
      directory_.OnLeavingReportExpired("i-1", TimeAfter(12000)).has_value());
  EXPECT_EQ(directory_.StateOf("i-1"), ServerState::kLeaving);
}

// Notice given in a response is never revoked, however long the store lists the
// server as ready.
TEST_F(BackendDirectoryTest, FinalLeavingNoticeHoldsWhileAnnounced) {
  directory_.OnAnnounced(MakeServer(), TimeAfter(0));
  directory_.OnReportedLeaving("i-1", LeavingNotice::kReported, TimeAfter(1));
  directory_.OnReportedLeaving("i-1", LeavingNotice::kFinal, TimeAfter(2));
  EXPECT_FALSE(directory_.IsLeavingByReportOnly("i-1"));
  EXPECT_FALSE(
      directory_.OnLeavingReportExpired("i-1", TimeAfter(6000)).has_value());
  EXPECT_TRUE(directory_.ProcessTimeouts(TimeAfter(60000)).empty());
  directory_.OnAnnounced(MakeServer(), TimeAfter(60001));
  EXPECT_EQ(directory_.StateOf("i-1"), ServerState::kLeaving);
  // It is dropped once the store no longer lists it.
  directory_.OnRemoved("i-1", false, TimeAfter(60002));
  EXPECT_EQ(directory_.ProcessTimeouts(TimeAfter(60003)).size(), 1U);
}

TEST_F(BackendDirectoryTest, NewIncarnationWithSameIdIsReady) {
  directory_.OnAnnounced(MakeServer(), TimeAfter(0));
  directory_.OnReportedLeaving("i-1", LeavingNotice::kReported, TimeAfter(1));
  EXPECT_EQ(directory_.OnAnnounced(MakeServer(false, 2), TimeAfter(2))->kind,
            Kind::kRestarted);
  EXPECT_EQ(directory_.StateOf("i-1"), ServerState::kReady);
}

// Guards against forgetting what a new incarnation has said before its
// announcement is known.
TEST_F(BackendDirectoryTest, NoticeOfNewIncarnationOutlivesNewsOfItsStart) {
  for (const LeavingNotice notice :
       {LeavingNotice::kReported, LeavingNotice::kFinal}) {
    directory_ = BackendDirectory({});
    directory_.OnAnnounced(MakeServer(), TimeAfter(0));
    directory_.OnReportedLeaving("i-1", notice, TimeAfter(9000));
    BackendServer restarted = MakeServer(false, 2);
    restarted.age = milliseconds(6000);
    EXPECT_EQ(directory_.OnAnnounced(restarted, TimeAfter(10000))->kind,
              Kind::kRestarted);
    EXPECT_EQ(directory_.StateOf("i-1"), ServerState::kLeaving);
    EXPECT_EQ(directory_.IsLeavingByReportOnly("i-1"),
              notice == LeavingNotice::kReported);
  }
}

// Guards against requests that are cut, and notices that are lost, because an
// announcement of the incarnation before arrives last.
TEST_F(BackendDirectoryTest, AnnouncementOfFormerIncarnationIsNoRestart) {
  directory_.OnAnnounced(MakeServer(false, 2), TimeAfter(0));
  directory_.OnReportedLeaving("i-1", LeavingNotice::kFinal, TimeAfter(1));
  EXPECT_FALSE(
      directory_.OnAnnounced(MakeServer(false, 1), TimeAfter(2)).has_value());
  EXPECT_TRUE(directory_.ProcessTimeouts(TimeAfter(3000)).empty());
  EXPECT_FALSE(directory_.OnAnnounced(MakeServer(false, 2), TimeAfter(3001))
                   .has_value());
  EXPECT_TRUE(directory_.ProcessTimeouts(TimeAfter(60000)).empty());
  EXPECT_EQ(directory_.StateOf("i-1"), ServerState::kLeaving);
  EXPECT_FALSE(directory_.IsLeavingByReportOnly("i-1"));
}

// Guards against a server that is never used again because its clock was set
// back before it restarted.
TEST_F(BackendDirectoryTest, ServerWhoseClockWasSetBackReturns) {
  directory_.OnAnnounced(MakeServer(false, 2), TimeAfter(0));
  directory_.OnRemoved("i-1", false, TimeAfter(1));
  BackendServer server = MakeServer(false, 1);
  server.endpoint.port = 81;
  directory_.OnAnnounced(server, TimeAfter(14000));
  EXPECT_TRUE(directory_.ProcessTimeouts(TimeAfter(18999)).empty());
  const auto changes = directory_.ProcessTimeouts(TimeAfter(19000));
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes.front().kind, Kind::kRestarted);
  EXPECT_EQ(directory_.StateOf("i-1"), ServerState::kReady);
  EXPECT_EQ(directory_.Find("i-1")->endpoint.port, 81);
}

TEST_F(BackendDirectoryTest, FormerIncarnationIsForgottenOnceRemoved) {
  directory_.OnAnnounced(MakeServer(false, 2), TimeAfter(0));
  directory_.OnAnnounced(MakeServer(false, 1), TimeAfter(1));
  EXPECT_EQ(directory_.OnRemoved("i-1", false, TimeAfter(2))->kind,
            Kind::kLeaving);
  EXPECT_EQ(directory_.ProcessTimeouts(TimeAfter(20000)).size(), 1U);
  EXPECT_EQ(directory_.Find("i-1"), nullptr);
}

// The clocks of a server and of this VM differ: which incarnation gave a notice
// near the start of the new one is not known, so it expires.
TEST_F(BackendDirectoryTest, DoubtfulFinalNoticeExpiresAfterRestart) {
  directory_.OnAnnounced(MakeServer(), TimeAfter(0));
  directory_.OnReportedLeaving("i-1", LeavingNotice::kFinal, TimeAfter(9000));
  BackendServer restarted = MakeServer(false, 2);
  restarted.age = milliseconds(1500);
  directory_.OnAnnounced(restarted, TimeAfter(10000));
  EXPECT_EQ(directory_.StateOf("i-1"), ServerState::kLeaving);
  EXPECT_TRUE(directory_.IsLeavingByReportOnly("i-1"));
}

TEST(EndpointTest, ParsesOnlyIpAddresses) {
  EXPECT_EQ(Endpoint::Parse("10.1.2.3:80"), (Endpoint{"10.1.2.3", 80}));
  for (const char* text :
       {"", "10.1.2.3", "10.1.2.3:", "10.1.2.3:0", "10.1.2.3:65536", "host:80",
        "10.1.2:80", "10.1.2.3:80x", "[::1]:80"}) {
    EXPECT_FALSE(Endpoint::Parse(text).has_value()) << text;
  }
}

}  // namespace
}  // namespace balsam::directory
