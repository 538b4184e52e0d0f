// What of a load is news to whom.
#include "libraries/gossip/load_journal.h"

#include <gtest/gtest.h>

namespace balsam::gossip {
namespace {

using dispatch::Usage;
using Load = std::map<std::uint32_t, Usage>;
using std::chrono::milliseconds;

constexpr Usage kOneRun{1, 3000, 2500};
constexpr Usage kOneRunBegun{1, 3000, 0};

class LoadJournalTest : public testing::Test {
 protected:
  // What `peer` is told now.
  LoadJournal::News Tell(const std::string& peer) {
    LoadJournal::News news = journal_.NewsFor(peer, now_);
    EXPECT_EQ(journal_.HasNewsFor(peer, now_), !news.empty());
    if (!news.empty()) journal_.OnTold(peer, now_);
    return news;
  }

  BootTime now_ = BootTime{} + std::chrono::hours(1);
  LoadJournal journal_;
};

TEST_F(LoadJournalTest, ANewPeerIsToldEverythingAndThenOnlyNews) {
  journal_.Update({{1, kOneRun}, {2, kOneRun}});
  const LoadJournal::News first = Tell("a");
  EXPECT_TRUE(first.whole);
  EXPECT_EQ(first.load.size(), 2U);
  EXPECT_TRUE(Tell("a").empty());
  journal_.Update({{1, kOneRunBegun}, {2, kOneRun}});
  const LoadJournal::News news = Tell("a");
  EXPECT_FALSE(news.whole);
  EXPECT_EQ(news.load, (Load{{1, kOneRunBegun}}));
  EXPECT_TRUE(Tell("a").empty());
}

TEST_F(LoadJournalTest, EachPeerHasNewsOfItsOwn) {
  Tell("a");
  Tell("b");
  journal_.Update({{1, kOneRun}});
  EXPECT_EQ(Tell("a").load.size(), 1U);
  journal_.Update({{1, kOneRun}, {2, kOneRun}});
  EXPECT_EQ(Tell("a").load.size(), 1U);
  EXPECT_EQ(Tell("b").load.size(), 2U);
}

TEST_F(LoadJournalTest, AServerThatHasNothingAnyMoreIsToldAsZeroToAll) {
  journal_.Update({{1, kOneRun}});
  Tell("a");
  Tell("b");
  journal_.Update({});
  EXPECT_EQ(Tell("a").load, (Load{{1, {}}}));
  EXPECT_EQ(Tell("b").load, (Load{{1, {}}}));
  EXPECT_TRUE(Tell("a").empty());
}

TEST_F(LoadJournalTest, AServerThatIsUsedAgainIsNewsAgain) {
  journal_.Update({{1, kOneRun}});
  Tell("a");
  journal_.Update({});
  Tell("a");
  journal_.Update({{1, kOneRun}});
  EXPECT_EQ(Tell("a").load, (Load{{1, kOneRun}}));
}

// A datagram that was lost is made up for.
TEST_F(LoadJournalTest, EverythingIsToldAgainAfterAWhile) {
  journal_.Update({{1, kOneRun}});
  Tell("a");
  now_ += LoadJournal::kRefreshInterval - milliseconds(1);
  EXPECT_TRUE(Tell("a").empty());
  now_ += milliseconds(1);
  const LoadJournal::News again = Tell("a");
  EXPECT_TRUE(again.whole);
  EXPECT_EQ(again.load.size(), 1U);
  EXPECT_TRUE(Tell("a").empty());
}

TEST_F(LoadJournalTest, APeerThatWasAwayIsToldEverything) {
  journal_.Update({{1, kOneRun}});
  Tell("a");
  journal_.Forget("a");
  EXPECT_TRUE(Tell("a").whole);
}

TEST_F(LoadJournalTest, PlainRequestsAreToldInSteps) {
  Tell("a");
  journal_.Update({{1, {1, 0, 0}}});
  EXPECT_TRUE(Tell("a").empty());
  journal_.Update({{1, {3, 0, 0}}});
  EXPECT_EQ(Tell("a").load, (Load{{1, {2, 0, 0}}}));
  journal_.Update({{1, {2, 0, 0}}});
  EXPECT_TRUE(Tell("a").empty());
}

}  // namespace
}  // namespace balsam::gossip
