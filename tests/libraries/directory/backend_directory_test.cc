// The life of backend servers, by sequences of announcements and times.
#include "libraries/directory/backend_directory.h"

#include <gtest/gtest.h>

namespace balsam::directory {
namespace {

using std::chrono::milliseconds;
using Kind = ServerChange::Kind;

BackendServer Server(bool leaving = false, int born = 1) {
  BackendServer server;
  server.id = "i-1";
  server.service = "s";
  server.endpoint = {"10.0.0.1", 80};
  server.leaving = leaving;
  server.born = milliseconds(born);
  return server;
}

class BackendDirectoryTest : public testing::Test {
 protected:
  BootTime At(int milliseconds_later) const {
    return BootTime{} + std::chrono::hours(1) +
           milliseconds(milliseconds_later);
  }
  BackendDirectory directory_{{milliseconds(2500), milliseconds(15000)}};
};

TEST_F(BackendDirectoryTest, AppearsAndLeaves) {
  EXPECT_EQ(directory_.OnAnnounced(Server(), At(0))->kind, Kind::kAppeared);
  EXPECT_FALSE(directory_.OnAnnounced(Server(), At(1)).has_value());
  EXPECT_EQ(directory_.OnAnnounced(Server(true), At(2))->kind, Kind::kLeaving);
  EXPECT_EQ(directory_.LifeOf("i-1"), Life::kLeaving);
  // Its entry goes later; that is no news.
  EXPECT_FALSE(directory_.OnRemoved("i-1", false, At(3)).has_value());
}

TEST_F(BackendDirectoryTest, ARemovedEntryMeansLeaving) {
  directory_.OnAnnounced(Server(), At(0));
  EXPECT_EQ(directory_.OnRemoved("i-1", false, At(1))->kind, Kind::kLeaving);
  EXPECT_FALSE(directory_.OnRemoved("i-2", false, At(1)).has_value());
}

TEST_F(BackendDirectoryTest, AnEntryLostAroundAnOutageMayComeBack) {
  directory_.OnAnnounced(Server(), At(0));
  EXPECT_EQ(directory_.OnRemoved("i-1", true, At(1))->kind, Kind::kLapsed);
  EXPECT_TRUE(directory_.OnTime(At(2000)).empty());
  EXPECT_EQ(directory_.OnAnnounced(Server(), At(2100))->kind, Kind::kAppeared);
  EXPECT_TRUE(directory_.OnTime(At(5000)).empty());
  EXPECT_EQ(directory_.LifeOf("i-1"), Life::kReady);
}

TEST_F(BackendDirectoryTest, AnEntryStillMissingAfterTheGraceIsGone) {
  directory_.OnAnnounced(Server(), At(0));
  directory_.OnRemoved("i-1", true, At(1));
  const auto changes = directory_.OnTime(At(2501));
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].kind, Kind::kLeaving);
  const auto gone = directory_.OnTime(At(20000));
  ASSERT_EQ(gone.size(), 1U);
  EXPECT_EQ(gone[0].kind, Kind::kGone);
  EXPECT_EQ(directory_.Find("i-1"), nullptr);
}

TEST_F(BackendDirectoryTest, AServersOwnWordHoldsAgainstAnOldEntry) {
  directory_.OnAnnounced(Server(), At(0));
  EXPECT_EQ(
      directory_.OnReportedLeaving("i-1", LeavingWord::kReported, At(1))->kind,
      Kind::kLeaving);
  EXPECT_FALSE(
      directory_.OnReportedLeaving("i-1", LeavingWord::kReported, At(2))
          .has_value());
  EXPECT_FALSE(directory_.OnAnnounced(Server(), At(3)).has_value());
  EXPECT_EQ(directory_.LifeOf("i-1"), Life::kLeaving);
}

TEST_F(BackendDirectoryTest, AReportThatIsNotRepeatedLapses) {
  directory_.OnAnnounced(Server(), At(0));
  directory_.OnReportedLeaving("i-1", LeavingWord::kReported, At(1));
  EXPECT_TRUE(directory_.IsReportedOnly("i-1"));
  EXPECT_EQ(directory_.OnReportLapsed("i-1", At(5000))->kind, Kind::kAppeared);
  EXPECT_EQ(directory_.LifeOf("i-1"), Life::kReady);
  // Once the store has said so too, it holds.
  directory_.OnReportedLeaving("i-1", LeavingWord::kReported, At(6000));
  directory_.OnRemoved("i-1", false, At(6001));
  EXPECT_FALSE(directory_.OnReportLapsed("i-1", At(12000)).has_value());
  EXPECT_EQ(directory_.LifeOf("i-1"), Life::kLeaving);
}

// What an engine said in an answer, it does not take back, however long the
// store calls it ready.
TEST_F(BackendDirectoryTest, AWordInAnAnswerHoldsWhileTheStoreListsIt) {
  directory_.OnAnnounced(Server(), At(0));
  directory_.OnReportedLeaving("i-1", LeavingWord::kReported, At(1));
  directory_.OnReportedLeaving("i-1", LeavingWord::kFinal, At(2));
  EXPECT_FALSE(directory_.IsReportedOnly("i-1"));
  EXPECT_FALSE(directory_.OnReportLapsed("i-1", At(6000)).has_value());
  EXPECT_TRUE(directory_.OnTime(At(60000)).empty());
  directory_.OnAnnounced(Server(), At(60001));
  EXPECT_EQ(directory_.LifeOf("i-1"), Life::kLeaving);
  // Once the store lists it no more, it is forgotten.
  directory_.OnRemoved("i-1", false, At(60002));
  EXPECT_EQ(directory_.OnTime(At(60003)).size(), 1U);
}

TEST_F(BackendDirectoryTest, ANewIncarnationUnderTheSameIdIsReady) {
  directory_.OnAnnounced(Server(), At(0));
  directory_.OnReportedLeaving("i-1", LeavingWord::kReported, At(1));
  EXPECT_EQ(directory_.OnAnnounced(Server(false, 2), At(2))->kind,
            Kind::kRestarted);
  EXPECT_EQ(directory_.LifeOf("i-1"), Life::kReady);
}

TEST(EndpointTest, ReadsOnlyAddresses) {
  EXPECT_EQ(Endpoint::Parse("10.1.2.3:80"), (Endpoint{"10.1.2.3", 80}));
  for (const char* text :
       {"", "10.1.2.3", "10.1.2.3:", "10.1.2.3:0", "10.1.2.3:65536", "host:80",
        "10.1.2:80", "10.1.2.3:80x", "[::1]:80"}) {
    EXPECT_FALSE(Endpoint::Parse(text).has_value()) << text;
  }
}

}  // namespace
}  // namespace balsam::directory
