// What attempts to reach a server again tell about a response that it lost.
#include "libraries/quarantine/crash_check.h"

#include <gtest/gtest.h>

namespace balsam::quarantine {
namespace {

class CrashCheckTest : public testing::Test {
 protected:
  CrashCheck check_{CrashCheck::Limits{}};
};

TEST_F(CrashCheckTest, ServerThatAcceptsIsAlive) {
  EXPECT_EQ(check_.OnContact(Contact::kAccepted), CrashVerdict::kAlive);
}

TEST_F(CrashCheckTest, RefusalShowsACrash) {
  EXPECT_EQ(check_.OnContact(Contact::kRefused), CrashVerdict::kCrashed);
}

// The process that accepted the connection was about to end.
TEST_F(CrashCheckTest, RefusalAfterAClosedConnectionShowsACrash) {
  EXPECT_EQ(check_.OnContact(Contact::kClosed), CrashVerdict::kUnknown);
  EXPECT_EQ(check_.OnContact(Contact::kRefused), CrashVerdict::kCrashed);
}

// Guards against taking a server for crashed because packets were lost.
TEST_F(CrashCheckTest, OneTimeoutShowsNothing) {
  EXPECT_EQ(check_.OnContact(Contact::kTimedOut), CrashVerdict::kUnknown);
  EXPECT_EQ(check_.OnContact(Contact::kAccepted), CrashVerdict::kAlive);
}

TEST_F(CrashCheckTest, TimeoutsInARowCount) {
  EXPECT_EQ(check_.OnContact(Contact::kTimedOut), CrashVerdict::kUnknown);
  EXPECT_EQ(check_.OnContact(Contact::kAccepted), CrashVerdict::kAlive);
  EXPECT_EQ(check_.OnContact(Contact::kTimedOut), CrashVerdict::kUnknown);
}

TEST_F(CrashCheckTest, ServerThatDoesNotAnswerHasCrashed) {
  EXPECT_EQ(check_.OnContact(Contact::kTimedOut), CrashVerdict::kUnknown);
  EXPECT_EQ(check_.OnContact(Contact::kTimedOut), CrashVerdict::kCrashed);
}

// A server that has too many connections closes each one.
TEST_F(CrashCheckTest, ServerThatClosesConnectionsIsAliveInTheEnd) {
  const int contacts = CrashCheck::Limits{}.max_contacts;
  for (int i = 1; i < contacts; ++i) {
    EXPECT_EQ(check_.OnContact(Contact::kClosed), CrashVerdict::kUnknown);
  }
  EXPECT_EQ(check_.OnContact(Contact::kClosed), CrashVerdict::kAlive);
}

// No sequence of contacts is without a verdict for long.
TEST_F(CrashCheckTest, AnyContactsLeadToAVerdict) {
  check_.OnContact(Contact::kClosed);
  check_.OnContact(Contact::kTimedOut);
  check_.OnContact(Contact::kClosed);
  check_.OnContact(Contact::kTimedOut);
  EXPECT_NE(check_.OnContact(Contact::kTimedOut), CrashVerdict::kUnknown);
}

}  // namespace
}  // namespace balsam::quarantine
