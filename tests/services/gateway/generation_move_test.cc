// Where a run goes whose engine leaves. No copy is made here: what was chosen
// shows in the load that this gateway tells.
//
// Load: many engines leave at one moment, and all gateways choose targets for
// their runs at once, by sums that were told some time ago.
#include "services/gateway/generation_move.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "tests/services/gateway/engine_books_fixture.h"

namespace balsam::gateway {
namespace {

const char* const kSource = "i-0";

class GenerationMoveTest : public EngineBooksFixture {
 protected:
  GenerationMoveTest() {
    context_.tell_load = [this] { ++told_load_; };
    // Nothing listens there.
    const directory::Endpoint source{"127.0.0.1", 1};
    move_ = std::make_unique<GenerationMove>(
        context_, engine_,
        GenerationMove::Run{"r-1", kSource, source, demand_, {}});
    move_->on_lost = [] {};
    move_->Start();
  }

  // Tokens that this gateway's runs are expected to hold there.
  std::int64_t TokensAt(const std::string& id) {
    const auto usage = context_.selector.LocalUsage(BootClock::now());
    const auto found = usage.find(dispatch::ServerKey(id));
    return found == usage.end() ? 0 : found->second.tokens;
  }
  std::int64_t TokensReserved() {
    std::int64_t sum = 0;
    for (int i = 0; i < kEngines; ++i) {
      sum += TokensAt("i-" + std::to_string(i));
    }
    return sum;
  }

  int told_load_ = 0;
  std::unique_ptr<GenerationMove> move_;
};

TEST_F(GenerationMoveTest, TheTargetIsOneThatItsKeepersTellToHaveRoom) {
  ASSERT_EQ(asked_.size(), 1U);
  const std::vector<std::string> asked = asked_.front();
  ASSERT_GE(asked.size(), 2U);
  EXPECT_EQ(std::ranges::count(asked, kSource), 0);
  EXPECT_EQ(TokensReserved(), 0);
  for (const std::string& id : asked) TellFull(id);
  TellIdle(asked.back());
  EndQuestion();
  EXPECT_EQ(TokensAt(asked.back()), demand_.Tokens());
  EXPECT_EQ(TokensReserved(), demand_.Tokens());
}

// Peers that choose at the same moment count it.
TEST_F(GenerationMoveTest, RoomThatIsReservedIsToldAtOnce) {
  EXPECT_EQ(told_load_, 0);
  EndQuestion();
  EXPECT_EQ(told_load_, 1);
}

TEST_F(GenerationMoveTest, NothingIsReservedForARunThatEndedMeanwhile) {
  move_->End();
  EndQuestion();
  EXPECT_EQ(TokensReserved(), 0);
  EXPECT_EQ(told_load_, 0);
}

TEST_F(GenerationMoveTest, NothingIsReservedOnceItsEngineBroke) {
  move_->OnSourceStreamBroken();
  EndQuestion();
  EXPECT_EQ(TokensReserved(), 0);
}

}  // namespace
}  // namespace balsam::gateway
