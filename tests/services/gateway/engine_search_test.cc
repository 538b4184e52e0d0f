// The search for an engine, with answers that a test gives: who is asked, whose
// answer is taken, and when there is no room.
//
// Load: many gateways that choose among many engines at one moment, by what was
// told some time ago.
#include "services/gateway/engine_search.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/services/gateway/engine_books_fixture.h"

namespace balsam::gateway {
namespace {

using std::chrono::milliseconds;

class EngineSearchTest : public EngineBooksFixture {
 protected:
  EngineSearchTest() : search_(context_) {
    search_.on_ended = [this](const auto& choice) {
      ended_ = true;
      choice_ = choice;
    };
  }

  std::optional<EngineSearch::Choice> Begin() {
    return search_.Begin(engine_, demand_);
  }
  EngineSearch search_;
  bool ended_ = false;
  std::optional<EngineSearch::Choice> choice_;
};

TEST_F(EngineSearchTest, NothingIsAskedOfAGatewayThatKeepsTheBooks) {
  must_ask_ = false;
  EXPECT_TRUE(Begin().has_value());
  EXPECT_FALSE(search_.asking());
  EXPECT_FALSE(ended_);
}

TEST_F(EngineSearchTest, TheOneThatAnsweredToHaveRoomIsTaken) {
  EXPECT_FALSE(Begin().has_value());
  EXPECT_TRUE(search_.asking());
  const std::vector<std::string> ids = asked_.at(0);
  ASSERT_EQ(ids.size(), 3U);
  TellFull(ids[0]);
  TellIdle(ids[1]);
  TellFull(ids[2]);
  EndQuestion();
  ASSERT_TRUE(choice_.has_value());
  EXPECT_EQ(choice_->id, ids[1]);
  EXPECT_FALSE(search_.asking());
}

TEST_F(EngineSearchTest, WhereAllAreFullOthersAreAsked) {
  Begin();
  const std::vector<std::string> first = asked_.at(0);
  for (const std::string& id : first) TellFull(id);
  EndQuestion();
  EXPECT_FALSE(ended_);
  ASSERT_EQ(asked_.size(), 2U);
  for (const std::string& id : asked_[1]) {
    EXPECT_EQ(std::ranges::find(first, id), first.end()) << id;
  }
}

TEST_F(EngineSearchTest, AfterAFewRoundsThereIsNoRoom) {
  Begin();
  constexpr int kRounds = 3;
  for (int round = 0; round < kRounds; ++round) {
    ASSERT_EQ(asked_.size(), static_cast<std::size_t>(round) + 1);
    for (const std::string& id : asked_.back()) TellFull(id);
    EndQuestion();
  }
  EXPECT_TRUE(ended_);
  EXPECT_FALSE(choice_.has_value());
  // Whoever waits is offered room again and again, and does not ask each time.
  EXPECT_FALSE(Begin().has_value());
  EXPECT_FALSE(search_.asking());
  EXPECT_EQ(asked_.size(), 3U);
}

// Load: a fifth of the gateways lose power, and with them the books of engines
// that look idle by what was told before.
TEST_F(EngineSearchTest, OneThatNobodyToldOfIsTakenOnlyForWantOfAnother) {
  Begin();
  const std::vector<std::string> ids = asked_.at(0);
  TellFull(ids[0]);
  TellFull(ids[1]);
  EndQuestion({ids[2]});
  ASSERT_EQ(asked_.size(), 2U) << "others are asked first";
  for (int round = 1; round < 3; ++round) {
    for (const std::string& id : asked_.back()) {
      if (id != ids[2]) TellFull(id);
    }
    const bool is_untold_again =
        std::ranges::find(asked_.back(), ids[2]) != asked_.back().end();
    EndQuestion(is_untold_again ? std::vector{ids[2]}
                                : std::vector<std::string>());
  }
  ASSERT_TRUE(ended_);
  ASSERT_TRUE(choice_.has_value());
  EXPECT_EQ(choice_->id, ids[2]);
}

TEST_F(EngineSearchTest, WhereAllAreKnownToBeFullNobodyIsAsked) {
  for (int i = 0; i < kEngines; ++i) TellFull("i-" + std::to_string(i));
  EXPECT_FALSE(Begin().has_value());
  EXPECT_TRUE(asked_.empty());
}

// The request may end while its question is under way.
TEST_F(EngineSearchTest, AnAnswerToASearchThatIsGoneIsDropped) {
  auto search = std::make_unique<EngineSearch>(context_);
  search->on_ended = [](const auto&) { FAIL(); };
  search->Begin(engine_, demand_);
  search.reset();
  EndQuestion();
}

}  // namespace
}  // namespace balsam::gateway
