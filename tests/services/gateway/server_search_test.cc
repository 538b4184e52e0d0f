// Engine search with replies provided by the test: which engines are queried,
// which is chosen, and when there is no capacity.
//
// Scenario: many gateways choose among many engines at the same moment, based
// on outdated loads.
#include "services/gateway/server_search.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/services/gateway/engine_load_fixture.h"

namespace balsam::gateway {
namespace {

using std::chrono::milliseconds;

class ServerSearchTest : public EngineLoadFixture {
 protected:
  ServerSearchTest() : search_(context_) {
    search_.on_ended = [this](const auto& choice) {
      ended_ = true;
      choice_ = choice;
    };
  }

  std::optional<ServerSearch::Choice> Start() {
    return search_.Start(&engine_, demand_, ServerSearch::Mode::kQueriedLoads);
  }
  ServerSearch search_;
  bool ended_ = false;
  std::optional<ServerSearch::Choice> choice_;
};

TEST_F(ServerSearchTest, AggregatorNeedsNoQuery) {
  must_query_ = false;
  EXPECT_TRUE(Start().has_value());
  EXPECT_FALSE(search_.is_querying());
  EXPECT_FALSE(ended_);
}

TEST_F(ServerSearchTest, ChoosesEngineReportedToHaveCapacity) {
  EXPECT_FALSE(Start().has_value());
  EXPECT_TRUE(search_.is_querying());
  const std::vector<std::string> ids = queried_.at(0);
  ASSERT_EQ(ids.size(), 3U);
  ReportFull(ids[0]);
  ReportIdle(ids[1]);
  ReportFull(ids[2]);
  FinishQuery();
  ASSERT_TRUE(choice_.has_value());
  EXPECT_EQ(choice_->id, ids[1]);
  EXPECT_FALSE(search_.is_querying());
}

TEST_F(ServerSearchTest, QueriesOtherEnginesIfAllAreFull) {
  Start();
  const std::vector<std::string> first = queried_.at(0);
  for (const std::string& id : first) ReportFull(id);
  FinishQuery();
  EXPECT_FALSE(ended_);
  ASSERT_EQ(queried_.size(), 2U);
  for (const std::string& id : queried_[1]) {
    EXPECT_EQ(std::ranges::find(first, id), first.end()) << id;
  }
}

TEST_F(ServerSearchTest, GivesUpAfterMaxRounds) {
  Start();
  constexpr int kRounds = 3;
  for (int round = 0; round < kRounds; ++round) {
    ASSERT_EQ(queried_.size(), static_cast<std::size_t>(round) + 1);
    for (const std::string& id : queried_.back()) ReportFull(id);
    FinishQuery();
  }
  EXPECT_TRUE(ended_);
  EXPECT_FALSE(choice_.has_value());
  // A waiting request is offered capacity repeatedly, and must not query each
  // time.
  EXPECT_FALSE(Start().has_value());
  EXPECT_FALSE(search_.is_querying());
  EXPECT_EQ(queried_.size(), 3U);
}

// Scenario: a fifth of the gateways lose power, and with them the load totals
// of engines that look idle by totals received earlier.
TEST_F(ServerSearchTest, UnresolvedEngineIsLastResort) {
  Start();
  const std::vector<std::string> ids = queried_.at(0);
  ReportFull(ids[0]);
  ReportFull(ids[1]);
  FinishQuery({ids[2]});
  ASSERT_EQ(queried_.size(), 2U) << "other engines are queried first";
  for (int round = 1; round < 3; ++round) {
    for (const std::string& id : queried_.back()) {
      if (id != ids[2]) ReportFull(id);
    }
    const bool is_unresolved_again =
        std::ranges::find(queried_.back(), ids[2]) != queried_.back().end();
    FinishQuery(is_unresolved_again ? std::vector{ids[2]}
                                    : std::vector<std::string>());
  }
  ASSERT_TRUE(ended_);
  ASSERT_TRUE(choice_.has_value());
  EXPECT_EQ(choice_->id, ids[2]);
}

TEST_F(ServerSearchTest, NoQueryIfAllAreKnownToBeFull) {
  for (int i = 0; i < kEngines; ++i) ReportFull("i-" + std::to_string(i));
  EXPECT_FALSE(Start().has_value());
  EXPECT_TRUE(queried_.empty());
}

// Permits are decided by the test.
class PermitSearchTest : public ServerSearchTest {
 protected:
  PermitSearchTest() {
    must_query_ = false;
    context_.request_permit = [this](const std::string& id,
                                     PermitCallback on_result) {
      asked_.push_back(id);
      on_permit_ = std::move(on_result);
      if (result_ == PermitResult::kDenied) Deny(id);
      return result_;
    };
  }
  void Deny(const std::string& id) {
    context_.selector.OnPermitDenied(id,
                                     BootClock::now() + std::chrono::hours(1));
  }
  // The issuer replies to the last request.
  void Reply(bool is_granted) {
    if (!is_granted) Deny(asked_.back());
    const PermitCallback on_permit = std::exchange(on_permit_, nullptr);
    on_permit(is_granted);
  }

  PermitResult result_ = PermitResult::kPending;
  std::vector<std::string> asked_;
  PermitCallback on_permit_;
};

TEST_F(PermitSearchTest, EndsWithServerThatIsGrantedPermit) {
  EXPECT_FALSE(Start().has_value());
  EXPECT_TRUE(search_.is_querying());
  Reply(false);
  EXPECT_FALSE(ended_);
  Reply(true);
  ASSERT_TRUE(ended_);
  ASSERT_EQ(asked_.size(), 2U);
  EXPECT_NE(asked_[0], asked_[1]);
  EXPECT_EQ(choice_->id, asked_[1]);
}

TEST_F(PermitSearchTest, EndsWithoutServerIfAllAreDenied) {
  result_ = PermitResult::kDenied;
  demand_.excluded = {"i-0"};
  EXPECT_FALSE(search_.Start(&engine_, demand_, ServerSearch::Mode::kKnownLoads)
                   .has_value());
  EXPECT_FALSE(search_.is_querying());
  EXPECT_EQ(asked_.size(), static_cast<std::size_t>(kEngines) - 1);
  EXPECT_EQ(std::ranges::find(asked_, "i-0"), asked_.end());
}

// The request may end while its query is in progress.
TEST_F(ServerSearchTest, ReplyAfterDestructionIsIgnored) {
  auto search = std::make_unique<ServerSearch>(context_);
  search->on_ended = [](const auto&) { FAIL(); };
  search->Start(&engine_, demand_, ServerSearch::Mode::kQueriedLoads);
  search.reset();
  FinishQuery();
}

}  // namespace
}  // namespace balsam::gateway
