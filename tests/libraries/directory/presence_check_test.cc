// What attempts to connect tell about a server that lost a response.
#include "libraries/directory/presence_check.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace balsam::directory {
namespace {

struct Contacts {
  const char* name;
  std::vector<Contact> contacts;
  // After the last one; it is unknown after each one before.
  Presence presence;
};

class PresenceCheckTest : public testing::TestWithParam<Contacts> {};

TEST_P(PresenceCheckTest, IsKnownAfterTheLastContact) {
  PresenceCheck check;
  Presence presence = Presence::kUnknown;
  for (const Contact contact : GetParam().contacts) {
    EXPECT_EQ(presence, Presence::kUnknown);
    presence = check.OnContact(contact);
  }
  EXPECT_EQ(presence, GetParam().presence);
}

constexpr Contact kAccepted = Contact::kAccepted;
constexpr Contact kInconclusive = Contact::kInconclusive;
constexpr Contact kRefused = Contact::kRefused;
constexpr Contact kTimedOut = Contact::kTimedOut;

INSTANTIATE_TEST_SUITE_P(
    Contacts, PresenceCheckTest,
    testing::Values(
        Contacts{"Accepts", {kAccepted}, Presence::kPresent},
        Contacts{"Refuses", {kRefused}, Presence::kGone},
        // The process that accepted the connection was about to end.
        Contacts{
            "ClosesThenRefuses", {kInconclusive, kRefused}, Presence::kGone},
        // Guards against taking a server for crashed because packets were lost.
        Contacts{"OneTimeout", {kTimedOut, kAccepted}, Presence::kPresent},
        Contacts{"TwoTimeouts", {kTimedOut, kTimedOut}, Presence::kGone},
        Contacts{"TimeoutsApart",
                 {kTimedOut, kInconclusive, kTimedOut},
                 Presence::kUnknown},
        // A server that has too many connections closes each one.
        Contacts{"ClosesEach",
                 {kInconclusive, kInconclusive, kInconclusive, kInconclusive},
                 Presence::kPresent},
        Contacts{
            "AnyContactsLeadToAnEnd",
            {kInconclusive, kTimedOut, kInconclusive, kTimedOut, kTimedOut},
            Presence::kGone}),
    [](const auto& contacts) { return std::string(contacts.param.name); });

// Contacts go on after the presence was known, as those of repeated calls do.
TEST(RepeatedContactsTest, TimeoutsBeforeAnAcceptedOneDoNotCount) {
  PresenceCheck check;
  EXPECT_EQ(check.OnContact(kTimedOut), Presence::kUnknown);
  EXPECT_EQ(check.OnContact(kAccepted), Presence::kPresent);
  EXPECT_EQ(check.OnContact(kTimedOut), Presence::kUnknown);
  EXPECT_EQ(check.OnContact(kTimedOut), Presence::kGone);
}

}  // namespace
}  // namespace balsam::directory
