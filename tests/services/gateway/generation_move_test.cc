// The choice of the target when a run's engine leaves. No copy is made here;
// the choice is visible in the load that this gateway publishes.
//
// Scenario: many engines leave at the same moment, and all gateways choose
// targets for their runs at once, based on outdated load totals.
#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "services/gateway/generation_migration.h"
#include "tests/services/gateway/engine_load_fixture.h"

namespace balsam::gateway {
namespace {

const char* const kSource = "i-0";

class GenerationMigrationTest : public EngineLoadFixture {
 protected:
  GenerationMigrationTest() {
    context_.send_load = [this] { ++sent_loads_; };
    // Nothing listens there.
    const directory::Endpoint source{"127.0.0.1", 1};
    migration_ = std::make_unique<GenerationMigration>(
        context_, engine_,
        GenerationMigration::Run{"r-1", kSource, source, demand_, {}, {}});
    migration_->on_lost = [] {};
    migration_->Start();
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

  int sent_loads_ = 0;
  std::unique_ptr<GenerationMigration> migration_;
};

TEST_F(GenerationMigrationTest, TargetHasCapacityAccordingToAggregators) {
  ASSERT_EQ(queried_.size(), 1U);
  const std::vector<std::string> queried = queried_.front();
  ASSERT_GE(queried.size(), 2U);
  EXPECT_EQ(std::ranges::count(queried, kSource), 0);
  EXPECT_EQ(TokensReserved(), 0);
  for (const std::string& id : queried) ReportFull(id);
  ReportIdle(queried.back());
  FinishQuery();
  EXPECT_EQ(TokensAt(queried.back()), demand_.Tokens());
  EXPECT_EQ(TokensReserved(), demand_.Tokens());
}

// Other gateways that choose at the same moment must take it into account.
TEST_F(GenerationMigrationTest, ReservationIsPublishedImmediately) {
  EXPECT_EQ(sent_loads_, 0);
  FinishQuery();
  EXPECT_EQ(sent_loads_, 1);
}

TEST_F(GenerationMigrationTest, NothingIsReservedAfterRunEnded) {
  migration_->End();
  FinishQuery();
  EXPECT_EQ(TokensReserved(), 0);
  EXPECT_EQ(sent_loads_, 0);
}

TEST_F(GenerationMigrationTest, NothingIsReservedAfterSourceBroke) {
  migration_->OnSourceStreamEnded(migration::StreamEnd::kBroken);
  FinishQuery();
  EXPECT_EQ(TokensReserved(), 0);
}

}  // namespace
}  // namespace balsam::gateway
