// Workspace budgets over several entries, with equal and differing entry lists.
#include "libraries/admission/budget.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <vector>

namespace balsam::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr BootTime kStart{std::chrono::hours(1)};
constexpr double kRate = 1000.0;
constexpr double kPrompt = 20.0;
constexpr double kOutput = 64.0;

// Returns the number of tokens that entries admit as within budget over `time`.
// Each entry receives a request for a generation every millisecond and uses its
// own number of known entries.
double AdmittedWithinBudget(const std::vector<std::size_t>& known_entry_counts,
                            seconds time) {
  double admitted = 0.0;
  for (const std::size_t entries : known_entry_counts) {
    WorkspaceBudgets budgets;
    budgets.Update({{"tywi", kRate}}, entries);
    const auto budget = budgets.Find("tywi");
    for (BootTime now = kStart; now < kStart + time; now += milliseconds(1)) {
      if (budget->OverdraftTime(now) > milliseconds(0)) continue;
      BudgetCharge charge(budget, kPrompt, now);
      charge.OnTokens(kOutput, now);
      charge.Settle(true, now);
      admitted += kPrompt + kOutput;
    }
  }
  return admitted;
}

TEST(BudgetTest, EntriesTogetherStayWithinTheRateAndOneBurst) {
  for (const std::size_t entries : {1U, 2U, 8U, 40U}) {
    const std::vector<std::size_t> fleet(entries, entries);
    const double admitted = AdmittedWithinBudget(fleet, seconds(20));
    // One burst over all entries, and one generation at each entry, admitted
    // when the budget was almost used up.
    const double burst =
        std::chrono::duration<double>(kBudgetBurst).count() * kRate;
    const double bound = kRate * 20.0 + burst +
                         static_cast<double>(entries) * (kPrompt + kOutput);
    EXPECT_LE(admitted, bound) << entries;
    EXPECT_GE(admitted, kRate * 20.0) << entries;
  }
}

TEST(BudgetTest, PartitionedFleetExceedsTheRateOnlyByTheDifferenceOfItsLists) {
  // Half of the entries list six entries and half list eight, because two have
  // just joined or left.
  const double even =
      AdmittedWithinBudget(std::vector<std::size_t>(8, 8), seconds(20));
  const double differing =
      AdmittedWithinBudget({8, 8, 8, 8, 6, 6, 6, 6}, seconds(20));
  EXPECT_LE(differing, even * (0.5 + 0.5 * 8.0 / 6.0) * 1.01);
}

TEST(BudgetTest, SimultaneousRequestsCannotUseTheSameCredit) {
  WorkspaceBudgets budgets;
  budgets.Update({{"tywi", kRate}}, 1);
  const auto budget = budgets.Find("tywi");
  std::vector<BudgetCharge> open;
  const double peak = std::chrono::duration<double>(kPeakBurst).count() *
                      kPeakRateFactor * kRate;
  while (budget->OverdraftTime(kStart) == milliseconds(0)) {
    open.emplace_back(budget, kPrompt, kStart);
  }
  const double burst =
      std::chrono::duration<double>(kBudgetBurst).count() * kRate;
  EXPECT_LE(open.size(), std::min(burst, peak) / (kPrompt + kOutput) + 1.0);
  // Requests that did not run are refunded.
  std::ranges::for_each(
      open, [](BudgetCharge& charge) { charge.Settle(false, kStart); });
  EXPECT_EQ(budget->OverdraftTime(kStart), milliseconds(0));
}

TEST(BudgetTest, RefusedRequestsAreRefundedNoMoreThanTheirCharge) {
  WorkspaceBudgets budgets;
  budgets.Update({{"tywi", kRate}}, 1);
  const auto budget = budgets.Find("tywi");
  budget->Charge(1e12, kStart);
  for (int i = 0; i < 10000; ++i) {
    BudgetCharge(budget, kPrompt, kStart).Settle(false, kStart);
  }
  EXPECT_EQ(budget->OverdraftTime(kStart), kMaxOverdraft);
}

TEST(BudgetTest, OverdraftIsBounded) {
  Budget budget;
  budget.SetRate(1.0);
  budget.Charge(1e12, kStart);
  EXPECT_EQ(budget.OverdraftTime(kStart), kMaxOverdraft);
  EXPECT_EQ(budget.OverdraftTime(kStart + kMaxOverdraft), milliseconds(0));
}

TEST(BudgetTest, NewRateKeepsExistingCharges) {
  WorkspaceBudgets budgets;
  budgets.Update({{"tywi", kRate}, {"teifi", kRate}}, 2);
  const auto budget = budgets.Find("tywi");
  budget->Charge(20 * kRate, kStart);
  budgets.Update({{"tywi", 2 * kRate}}, 2);
  EXPECT_EQ(budgets.Find("tywi"), budget);
  EXPECT_GT(budgets.Find("tywi")->OverdraftTime(kStart), milliseconds(0));
  EXPECT_EQ(budgets.Find("teifi"), nullptr);
}

}  // namespace
}  // namespace balsam::admission
