// Memory of responses that are held back.
#include "libraries/intake/response_account.h"

#include <gtest/gtest.h>

#include <array>

namespace balsam::intake {
namespace {

constexpr std::size_t kLarge = 100 << 10;

TEST(ResponseAccountTest, LargeResponsesShareALimit) {
  ResponseAccount account(2 * kLarge);
  std::array<ResponseHolding, 3> holdings{ResponseHolding(account),
                                          ResponseHolding(account),
                                          ResponseHolding(account)};
  EXPECT_TRUE(holdings[0].Resize(kLarge));
  EXPECT_TRUE(holdings[1].Resize(kLarge));
  EXPECT_FALSE(holdings[2].Resize(kLarge));
  holdings[2].Resize(0);
  holdings[0].Resize(0);
  EXPECT_TRUE(holdings[2].Resize(kLarge));
}

TEST(ResponseAccountTest, SmallResponsesAlwaysFit) {
  ResponseAccount account(kLarge);
  ResponseHolding large(account);
  EXPECT_TRUE(large.Resize(kLarge));
  ResponseHolding small(account);
  EXPECT_TRUE(small.Resize(ResponseAccount::kSmallBytes));
  EXPECT_FALSE(small.Resize(ResponseAccount::kSmallBytes + 1));
}

TEST(ResponseAccountTest, HoldingLeavesTheAccountOnce) {
  ResponseAccount account(kLarge);
  {
    ResponseHolding holding(account);
    holding.Resize(kLarge);
    const ResponseHolding moved = std::move(holding);
    EXPECT_EQ(account.bytes(), kLarge);
  }
  EXPECT_EQ(account.bytes(), 0U);
  ResponseHolding replaced(account);
  replaced.Resize(kLarge);
  replaced = ResponseHolding(account);
  EXPECT_EQ(account.bytes(), 0U);
}

}  // namespace
}  // namespace balsam::intake
