// Which traits are quarantined by which crashes, and what processes learn of
// each other, in virtual time.
#include "libraries/quarantine/crash_ledger.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace balsam::quarantine {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using testing::Contains;
using testing::ElementsAre;
using testing::IsEmpty;

constexpr Trait kWorkspacePart = 1;
constexpr Trait kSessionPart = 2;
constexpr Trait kDeadlyPart = 3;

class CrashLedgerTest : public testing::Test {
 protected:
  void Pass(milliseconds time) { now_ += time; }

  // A run that begins to answer and crashes its server 50 ms later. Each
  // request and each server is a new one.
  Change Crash(std::vector<Trait> parts) {
    constexpr milliseconds kTimeToCrash{50};
    Pass(milliseconds(1) + kTimeToCrash);
    return CrashRunOf(kTimeToCrash, std::move(parts));
  }
  // A run that began so long ago crashes its server.
  Change CrashRunOf(milliseconds age, std::vector<Trait> parts) {
    parts.push_back(++last_request_);
    return ledger_.OnCrash({++last_server_, milliseconds(0), age, parts}, now_);
  }
  Change Survive(std::vector<Trait> parts) {
    parts.push_back(++last_request_);
    Pass(milliseconds(1));
    return ledger_.OnSurvived(parts, now_);
  }
  // Whether a new request with these parts is rejected.
  bool IsQuarantined(std::vector<Trait> parts) {
    parts.push_back(++last_request_);
    return ledger_.FindQuarantined(parts).has_value();
  }
  bool IsQuarantined(Trait part) { return IsQuarantined(std::vector{part}); }

  BootTime now_{std::chrono::hours(1)};
  CrashLedger ledger_{{}};
  Trait last_request_ = 1000;
  std::uint32_t last_server_ = 0;
};

TEST_F(CrashLedgerTest, QuarantinesPartOfDifferentRequests) {
  EXPECT_TRUE(Crash({kDeadlyPart}).is_news);
  EXPECT_THAT(Crash({kDeadlyPart}).quarantined, IsEmpty());
  EXPECT_FALSE(IsQuarantined(kDeadlyPart));
  EXPECT_THAT(Crash({kDeadlyPart}).quarantined,
              ElementsAre(Signature{kDeadlyPart}));
  EXPECT_TRUE(IsQuarantined(kDeadlyPart));
}

// Guards against parts that crash servers without end because no byte of the
// answer is out before (review/4), and against taking requests that wait beside
// them for the cause.
class HeadlessCrashTest : public CrashLedgerTest {
 protected:
  // The server crashes while requests with these parts wait there.
  Change CrashOf(const std::vector<std::vector<Trait>>& waiting) {
    Pass(milliseconds(500));
    ++last_server_;
    Change change;
    for (std::vector<Trait> traits : waiting) {
      traits.push_back(++last_request_);
      const Change next = ledger_.OnCrash(
          {last_server_, milliseconds(0), milliseconds(100), traits,
           /*is_answering=*/false},
          now_);
      change.quarantined.insert(change.quarantined.end(),
                                next.quarantined.begin(),
                                next.quarantined.end());
    }
    return change;
  }
};

TEST_F(HeadlessCrashTest, PartIsQuarantinedThoughItsRunsDidNotBegin) {
  for (int i = 0; i < 3; ++i) {
    CrashOf({{kWorkspacePart, kDeadlyPart}});
    Survive({kWorkspacePart, kSessionPart});
  }
  EXPECT_TRUE(IsQuarantined(kDeadlyPart));
  EXPECT_FALSE(IsQuarantined(kWorkspacePart));
}

TEST_F(HeadlessCrashTest, PartThatSurvivedBeforeIsSpared) {
  Survive({kWorkspacePart, kSessionPart});
  Change change;
  for (int i = 0; i < 3; ++i) {
    change = CrashOf(
        {{kWorkspacePart, kSessionPart}, {kWorkspacePart, kDeadlyPart}});
  }
  ASSERT_EQ(change.quarantined.size(), 1U);
  EXPECT_THAT(change.quarantined[0], Contains(kDeadlyPart));
  EXPECT_FALSE(IsQuarantined({kWorkspacePart, kSessionPart}));
}

TEST_F(HeadlessCrashTest, EqualExplanationsWaitForMoreCrashes) {
  constexpr Trait kRarePart = 4;
  for (int i = 0; i < 3; ++i) {
    EXPECT_THAT(CrashOf({{kRarePart}, {kDeadlyPart}}).quarantined, IsEmpty());
  }
  for (int i = 0; i < 2; ++i) CrashOf({{kDeadlyPart}});
  EXPECT_TRUE(IsQuarantined(kDeadlyPart));
  EXPECT_FALSE(IsQuarantined(kRarePart));
}

TEST_F(HeadlessCrashTest, RunThatHadBegunToAnswerTakesTheBlame) {
  for (int i = 0; i < 3; ++i) {
    CrashOf({{kSessionPart}});
    // The last crash.
    ledger_.OnCrash({last_server_,
                     milliseconds(0),
                     milliseconds(50),
                     {kDeadlyPart, ++last_request_}},
                    now_);
  }
  EXPECT_TRUE(IsQuarantined(kDeadlyPart));
  EXPECT_FALSE(IsQuarantined(kSessionPart));
}

// What survived at one process is known to others by the time that it is
// suspected there.
TEST_F(HeadlessCrashTest, EarlierSurvivalIsToldToOthers) {
  Survive({kWorkspacePart, kSessionPart});
  CrashOf({{kWorkspacePart, kSessionPart}});
  const Evidence evidence = ledger_.Share(now_, now_);
  EXPECT_THAT(evidence.survived,
              Contains(testing::Field(&TraitAge::trait, kSessionPart)));
}

TEST_F(CrashLedgerTest, PartWithSurvivorsIsNotQuarantined) {
  for (int i = 0; i < 10; ++i) {
    Crash({kWorkspacePart, kDeadlyPart});
    Survive({kWorkspacePart, kSessionPart});
  }
  EXPECT_TRUE(IsQuarantined(kDeadlyPart));
  EXPECT_FALSE(IsQuarantined(kWorkspacePart));
}

// All requests of a workspace crash servers for a while, so that nothing shows
// which of their common parts is harmless: sound requests, which have only some
// of them, are served meanwhile.
TEST_F(CrashLedgerTest, OnlyTheCombinationIsQuarantinedUntilMoreIsKnown) {
  for (int i = 0; i < 3; ++i) {
    Crash({kWorkspacePart, kSessionPart, kDeadlyPart});
  }
  EXPECT_TRUE(IsQuarantined({kWorkspacePart, kSessionPart, kDeadlyPart}));
  EXPECT_FALSE(IsQuarantined({kWorkspacePart, kSessionPart}));
  EXPECT_FALSE(IsQuarantined({kWorkspacePart, kDeadlyPart}));
}

TEST_F(CrashLedgerTest, SurvivorTakesItsPartsOutOfTheSignature) {
  for (int i = 0; i < 3; ++i) {
    Crash({kWorkspacePart, kSessionPart, kDeadlyPart});
  }
  EXPECT_THAT(Survive({kWorkspacePart, kSessionPart}).quarantined,
              Contains(Signature{kDeadlyPart}));
  EXPECT_TRUE(IsQuarantined(kDeadlyPart));
  EXPECT_FALSE(IsQuarantined({kWorkspacePart, kSessionPart}));
}

// A crash that lacks some of the signature shows that this is not the cause.
TEST_F(CrashLedgerTest, OneMoreCrashLeavesWhatItHasInCommon) {
  for (int i = 0; i < 3; ++i) Crash({kSessionPart, kDeadlyPart});
  ASSERT_FALSE(IsQuarantined(kDeadlyPart));
  EXPECT_THAT(Crash({kWorkspacePart, kDeadlyPart}).quarantined,
              ElementsAre(Signature{kDeadlyPart}));
  EXPECT_TRUE(IsQuarantined(kDeadlyPart));
  EXPECT_FALSE(IsQuarantined(kSessionPart));
  EXPECT_EQ(ledger_.quarantined_count(), 1U);
}

// Guards against requests that are repeated until they are quarantined one by
// one, while the part that they share goes on crashing servers: twelve crashes
// in one play (issue 26).
TEST_F(CrashLedgerTest, RepeatedRequestsDoNotHideTheirPart) {
  int crashes = 0;
  for (Trait request = 101; request < 111; ++request) {
    const std::vector<Trait> traits = {kWorkspacePart, kSessionPart,
                                       kDeadlyPart, request};
    for (int i = 0; i < 3 && !ledger_.FindQuarantined(traits); ++i) {
      Pass(milliseconds(400));
      ++crashes;
      ledger_.OnCrash(
          {++last_server_, milliseconds(0), milliseconds(50), traits}, now_);
      Survive({kWorkspacePart});
    }
  }
  EXPECT_LE(crashes, 4);
  EXPECT_TRUE(IsQuarantined({kWorkspacePart, kSessionPart, kDeadlyPart}));
}

// A part that has been found does not make others guilty that requests with it
// have by chance.
TEST_F(CrashLedgerTest, ExplainedCrashesDoNotCountForOtherParts) {
  for (int i = 0; i < 5; ++i) {
    Crash({kWorkspacePart, kDeadlyPart});
    if (i == 1) Survive({kWorkspacePart});
  }
  ASSERT_TRUE(IsQuarantined(kDeadlyPart) ||
              IsQuarantined({kWorkspacePart, kDeadlyPart}));
  Survive({kWorkspacePart});
  for (int i = 0; i < 4; ++i) Crash({kWorkspacePart, kDeadlyPart});
  Crash({kWorkspacePart, kSessionPart});
  EXPECT_FALSE(IsQuarantined(kWorkspacePart));
  EXPECT_FALSE(IsQuarantined({kWorkspacePart, kSessionPart}));
}

// The crashes that led to a quarantine are not counted again once it is over.
TEST_F(CrashLedgerTest, EndOfQuarantineLeavesNobodyGuilty) {
  for (int i = 0; i < 2; ++i) Crash({kWorkspacePart, kDeadlyPart});
  Survive({kWorkspacePart});
  for (int i = 0; i < 3; ++i) Crash({kWorkspacePart, kDeadlyPart});
  Pass(minutes(2));
  ledger_.DropExpired(now_);
  ASSERT_EQ(ledger_.quarantined_count(), 0U);
  Crash({kWorkspacePart, kSessionPart});
  EXPECT_EQ(ledger_.quarantined_count(), 0U);
}

TEST_F(CrashLedgerTest, FindsTwoDeadlyParts) {
  for (int i = 0; i < 3; ++i) {
    Crash({kWorkspacePart, kDeadlyPart});
    Survive({kWorkspacePart});
    Crash({kWorkspacePart, kSessionPart});
    Survive({kWorkspacePart});
  }
  EXPECT_TRUE(IsQuarantined(kDeadlyPart));
  EXPECT_TRUE(IsQuarantined(kSessionPart));
  EXPECT_FALSE(IsQuarantined(kWorkspacePart));
}

TEST_F(CrashLedgerTest, PartThatWasHarmlessBeforeIsQuarantined) {
  for (int i = 0; i < 100; ++i) Survive({kDeadlyPart});
  for (int i = 0; i < 3; ++i) Crash({kDeadlyPart});
  EXPECT_TRUE(IsQuarantined(kDeadlyPart));
}

// A power failure takes all servers at once. Connections to them time out over
// the following seconds, and nothing survives that would clear the part that
// all requests begin with.
TEST_F(CrashLedgerTest, ServersThatFailTogetherQuarantineNothing) {
  milliseconds since_failure{0};
  for (int i = 0; i < 50; ++i) {
    since_failure += milliseconds(100);
    Pass(milliseconds(100));
    CrashRunOf(since_failure + milliseconds(i), {kWorkspacePart});
  }
  EXPECT_EQ(ledger_.quarantined_count(), 0U);
}

TEST_F(CrashLedgerTest, RunsLostInOneCrashCountOnce) {
  for (int i = 0; i < 5; ++i) {
    const std::vector<Trait> traits = {kDeadlyPart, ++last_request_};
    ledger_.OnCrash({7, milliseconds(i), milliseconds(100 + i), traits}, now_);
  }
  EXPECT_EQ(ledger_.CrashesOf(kDeadlyPart), 1);
}

TEST_F(CrashLedgerTest, CrashAfterRestartOfServerCountsAnew) {
  for (int i = 0; i < 3; ++i) {
    Pass(milliseconds(3000));
    const std::vector<Trait> traits = {kDeadlyPart, ++last_request_};
    ledger_.OnCrash({7, milliseconds(0), milliseconds(60), traits}, now_);
  }
  EXPECT_TRUE(IsQuarantined(kDeadlyPart));
}

TEST_F(CrashLedgerTest, SurvivorEndsQuarantine) {
  for (int i = 0; i < 3; ++i) Crash({kDeadlyPart});
  ASSERT_TRUE(IsQuarantined(kDeadlyPart));
  EXPECT_THAT(Survive({kDeadlyPart}).released,
              ElementsAre(Signature{kDeadlyPart}));
  EXPECT_FALSE(IsQuarantined(kDeadlyPart));
  EXPECT_EQ(ledger_.quarantined_count(), 0U);
}

TEST_F(CrashLedgerTest, QuarantineEndsAndOneCrashRenewsItForLonger) {
  for (int i = 0; i < 3; ++i) Crash({kDeadlyPart});
  Pass(minutes(2));
  EXPECT_THAT(ledger_.DropExpired(now_).released,
              ElementsAre(Signature{kDeadlyPart}));
  // A crash without the part does not renew it.
  Crash({kSessionPart});
  EXPECT_FALSE(IsQuarantined(kDeadlyPart));
  EXPECT_THAT(Crash({kDeadlyPart}).quarantined,
              ElementsAre(Signature{kDeadlyPart}));
  Pass(minutes(3));
  ledger_.DropExpired(now_);
  EXPECT_TRUE(IsQuarantined(kDeadlyPart));
  Pass(minutes(1));
  ledger_.DropExpired(now_);
  EXPECT_FALSE(IsQuarantined(kDeadlyPart));
  // Survived at last: it takes three crashes again.
  Survive({kDeadlyPart});
  Crash({kDeadlyPart});
  EXPECT_FALSE(IsQuarantined(kDeadlyPart));
}

TEST_F(CrashLedgerTest, MemoryIsBounded) {
  for (int i = 0; i < 5000; ++i) {
    Crash({last_request_ + 100000, last_request_ + 200000});
    ledger_.DropExpired(now_);
  }
  EXPECT_EQ(ledger_.trait_count(), 64U * 3U);
  Pass(minutes(11));
  ledger_.DropExpired(now_);
  EXPECT_EQ(ledger_.trait_count(), 0U);
}

// Two processes with the same view of time.
class CrashEvidenceTest : public CrashLedgerTest {
 protected:
  void ExchangeEvidence() {
    Pass(milliseconds(1));
    const Evidence ours = ledger_.Share(now_, now_);
    const Evidence theirs = other_.Share(now_, now_);
    ledger_.Merge(theirs, now_);
    other_.Merge(ours, now_);
  }

  CrashLedger other_{{}};
};

// Counts used to be merged by their maximum, which loses all but one of the
// crashes that several processes see before they hear of each other.
TEST_F(CrashEvidenceTest, CrashesSeenByDifferentProcessesAddUp) {
  const std::vector<Trait> request = {99};
  Pass(milliseconds(1000));
  ledger_.OnCrash({1, milliseconds(0), milliseconds(5), request}, now_);
  Pass(milliseconds(20));
  other_.OnCrash({2, milliseconds(0), milliseconds(5), request}, now_);
  Pass(milliseconds(20));
  other_.OnCrash({3, milliseconds(0), milliseconds(5), request}, now_);
  ExchangeEvidence();
  EXPECT_TRUE(ledger_.FindQuarantined(request).has_value());
  EXPECT_TRUE(other_.FindQuarantined(request).has_value());
}

TEST_F(CrashEvidenceTest, OneCrashSeenByTwoProcessesCountsOnce) {
  Pass(milliseconds(1000));
  ledger_.OnCrash({7, milliseconds(0), milliseconds(90), {kDeadlyPart, 10}},
                  now_);
  other_.OnCrash({7, milliseconds(0), milliseconds(40), {kDeadlyPart, 11}},
                 now_);
  ExchangeEvidence();
  ExchangeEvidence();
  EXPECT_EQ(ledger_.CrashesOf(kDeadlyPart), 1);
  EXPECT_EQ(other_.CrashesOf(kDeadlyPart), 1);
}

TEST_F(CrashEvidenceTest, SurvivorElsewhereClearsPart) {
  for (int i = 0; i < 2; ++i) Crash({kWorkspacePart});
  ExchangeEvidence();
  Pass(milliseconds(10));
  other_.OnSurvived(std::vector<Trait>{kWorkspacePart, 5}, now_);
  ExchangeEvidence();
  Crash({kWorkspacePart});
  EXPECT_FALSE(IsQuarantined(kWorkspacePart));
  EXPECT_EQ(ledger_.CrashesOf(kWorkspacePart), 1);
}

TEST_F(CrashEvidenceTest, NewProcessLearnsOfQuarantine) {
  for (int i = 0; i < 3; ++i) Crash({kDeadlyPart});
  Pass(minutes(1));
  ExchangeEvidence();
  EXPECT_TRUE(other_.FindQuarantined(std::vector{kDeadlyPart}).has_value());
  Pass(minutes(1));
  other_.DropExpired(now_);
  EXPECT_FALSE(other_.FindQuarantined(std::vector{kDeadlyPart}).has_value());
}

// Each process that passes a report on adds its delay to the ages, so that a
// run appeared to have begun after its crash: a new crash, which was passed on
// in turn without end.
TEST_F(CrashEvidenceTest, DelayedReportIsNotAnotherCrash) {
  Crash({kDeadlyPart});
  Evidence evidence = ledger_.Share(now_, now_);
  for (int i = 0; i < 12; ++i) {
    Pass(milliseconds(60));
    EXPECT_FALSE(ledger_.Merge(evidence, now_).is_news);
  }
  EXPECT_EQ(ledger_.CrashesOf(kDeadlyPart), 1);
}

// A process that has room for only so many crashes used to take back those
// that it had just forgotten, and pass them on again.
TEST_F(CrashEvidenceTest, ForgottenCrashIsNoNews) {
  for (int i = 0; i < 200; ++i) {
    Crash({last_request_ + 100000});
    const Evidence evidence = ledger_.Share(now_, now_ - milliseconds(200));
    EXPECT_TRUE(other_.Merge(evidence, now_).is_news);
    Pass(milliseconds(2));
    EXPECT_FALSE(ledger_.Merge(other_.Share(now_, now_), now_).is_news);
  }
}

TEST_F(CrashEvidenceTest, PassingItOnDoesNotProlongQuarantine) {
  for (int i = 0; i < 3; ++i) Crash({kDeadlyPart});
  const BootTime last_crash = now_;
  while (now_ - last_crash < minutes(2)) {
    ExchangeEvidence();
    Pass(milliseconds(100));
  }
  ledger_.DropExpired(now_);
  other_.DropExpired(now_);
  EXPECT_FALSE(IsQuarantined(kDeadlyPart));
  Pass(milliseconds(1000));
  other_.DropExpired(now_);
  EXPECT_FALSE(other_.FindQuarantined(std::vector{kDeadlyPart}).has_value());
}

// A process that has not heard of the survivor repeats the quarantine.
TEST_F(CrashEvidenceTest, SurvivorWinsOverRepeatedQuarantine) {
  for (int i = 0; i < 3; ++i) Crash({kDeadlyPart});
  ExchangeEvidence();
  Survive({kDeadlyPart});
  ledger_.Merge(other_.Share(now_, now_), now_);
  EXPECT_FALSE(IsQuarantined(kDeadlyPart));
  Pass(minutes(1));
  ExchangeEvidence();
  ExchangeEvidence();
  EXPECT_FALSE(IsQuarantined(kDeadlyPart));
  EXPECT_FALSE(other_.FindQuarantined(std::vector{kDeadlyPart}).has_value());
}

TEST_F(CrashEvidenceTest, InvalidReportsAreIgnored) {
  Evidence evidence;
  evidence.crashes = {{1, milliseconds(0), milliseconds(0), {}},
                      {2, milliseconds(0), milliseconds(0),
                       std::vector<Trait>(1000, kDeadlyPart)},
                      {3, minutes(60), minutes(61), {kDeadlyPart}}};
  evidence.quarantined = {{{kDeadlyPart}, minutes(60), 1},
                          {{}, milliseconds(0), 1}};
  EXPECT_FALSE(ledger_.Merge(evidence, now_).is_news);
  EXPECT_EQ(ledger_.trait_count(), 0U);
}

// A signature that is one part of all requests, sound ones too.
class QuarantineTrialTest : public CrashLedgerTest {
 protected:
  QuarantineTrialTest() {
    for (int i = 0; i < 3; ++i) Crash({kWorkspacePart});
  }

  // Whether a new request with the part is tried.
  bool Try(std::size_t rank = 0) {
    return ledger_.TakeTrial(std::vector{kWorkspacePart, ++last_request_}, rank,
                             now_);
  }

  const CrashLedger::Limits limits_;
};

// Guards against refusing sound requests for two minutes (review/12): none of
// them ran, so that none could show that their part is harmless.
TEST_F(QuarantineTrialTest, SurvivorEndsTheQuarantine) {
  ASSERT_TRUE(IsQuarantined(kWorkspacePart));
  EXPECT_FALSE(Try());
  Pass(limits_.first_trial);
  EXPECT_TRUE(Try());
  EXPECT_TRUE(IsQuarantined(kWorkspacePart));
  Survive({kWorkspacePart});
  EXPECT_FALSE(IsQuarantined(kWorkspacePart));
}

TEST_F(QuarantineTrialTest, OneRequestIsTriedAtATime) {
  Pass(limits_.first_trial);
  EXPECT_TRUE(Try());
  EXPECT_FALSE(Try());
  Pass(limits_.first_trial);
  EXPECT_FALSE(Try());
  Pass(limits_.first_trial);
  EXPECT_TRUE(Try());
}

TEST_F(QuarantineTrialTest, ProcessesTakeTurns) {
  Pass(limits_.first_trial);
  EXPECT_FALSE(Try(/*rank=*/1));
  Pass(limits_.sharing_time);
  EXPECT_TRUE(Try(/*rank=*/1));
}

// A part that crashes engines takes no more of them than the platform
// tolerates.
TEST_F(QuarantineTrialTest, TrialsEndWithTheFifthCrash) {
  int trials = 0;
  for (int i = 0; i < 100; ++i) {
    Pass(milliseconds(1000));
    if (!Try()) continue;
    ++trials;
    Crash({kWorkspacePart});
  }
  EXPECT_EQ(trials, limits_.crashes_to_decide - limits_.crashes_to_quarantine);
}

// It is the request itself that crashes engines.
TEST_F(QuarantineTrialTest, SuspectedRequestIsNotTried) {
  Pass(limits_.first_trial);
  EXPECT_FALSE(
      ledger_.TakeTrial(std::vector{kWorkspacePart, last_request_}, 0, now_));
}

// A process that only heard of the quarantine does not know how many crashes
// speak for it.
TEST_F(QuarantineTrialTest, ProcessThatKnowsNoCrashDoesNotTry) {
  CrashLedger other(limits_);
  Evidence evidence = ledger_.Share(now_, now_);
  evidence.crashes.clear();
  other.Merge(evidence, now_);
  ASSERT_EQ(other.quarantined_count(), 1U);
  Pass(limits_.first_trial);
  EXPECT_FALSE(
      other.TakeTrial(std::vector{kWorkspacePart, ++last_request_}, 0, now_));
}

// Requests without the signature need no trial.
TEST_F(QuarantineTrialTest, OtherRequestsAreNotTried) {
  Pass(limits_.first_trial);
  EXPECT_FALSE(
      ledger_.TakeTrial(std::vector{kSessionPart, ++last_request_}, 0, now_));
}

}  // namespace
}  // namespace balsam::quarantine
