// Budgets over several entries, whole and split.
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

// The tokens that entries, each asked for one generation every millisecond,
// admit as within budget over `time`; none knows of the others.
double AdmittedWithinBudget(const std::vector<std::size_t>& believed_entries,
                            seconds time) {
  double admitted = 0.0;
  for (const std::size_t entries : believed_entries) {
    BudgetBook book;
    book.Update({{"tywi", kRate}}, entries);
    const auto budget = book.Find("tywi");
    for (BootTime now = kStart; now < kStart + time; now += milliseconds(1)) {
      if (budget->Overdrawn(now) > milliseconds(0)) continue;
      BudgetCharge charge(budget, kPrompt, now);
      charge.OnTokens(kOutput, now);
      charge.Settle(true, now);
      admitted += kPrompt + kOutput;
    }
  }
  return admitted;
}

TEST(BudgetTest, EntriesTogetherKeepToTheRateAndOneBurst) {
  for (const std::size_t entries : {1U, 2U, 8U, 40U}) {
    const std::vector<std::size_t> fleet(entries, entries);
    const double admitted = AdmittedWithinBudget(fleet, seconds(20));
    // One burst over all, and one generation at each entry, whose charge may
    // begin just within the budget.
    const double burst =
        std::chrono::duration<double>(kBudgetBurst).count() * kRate;
    const double bound = kRate * 20.0 + burst +
                         static_cast<double>(entries) * (kPrompt + kOutput);
    EXPECT_LE(admitted, bound) << entries;
    EXPECT_GE(admitted, kRate * 20.0) << entries;
  }
}

TEST(BudgetTest, ASplitFleetOvershootsOnlyByWhatItsListsDiffer) {
  // Half of eight entries have heard that two more came, or that two left.
  const double even =
      AdmittedWithinBudget(std::vector<std::size_t>(8, 8), seconds(20));
  const double differing =
      AdmittedWithinBudget({8, 8, 8, 8, 6, 6, 6, 6}, seconds(20));
  EXPECT_LE(differing, even * (0.5 + 0.5 * 8.0 / 6.0) * 1.01);
}

TEST(BudgetTest, ManyAtOnceCannotUseTheSameCredit) {
  BudgetBook book;
  book.Update({{"tywi", kRate}}, 1);
  const auto budget = book.Find("tywi");
  std::vector<BudgetCharge> open;
  const double peak =
      std::chrono::duration<double>(kPeakBurst).count() * kBudgetPeak * kRate;
  while (budget->Overdrawn(kStart) == milliseconds(0)) {
    open.emplace_back(budget, kPrompt, kStart);
  }
  const double burst =
      std::chrono::duration<double>(kBudgetBurst).count() * kRate;
  EXPECT_LE(open.size(), std::min(burst, peak) / (kPrompt + kOutput) + 1.0);
  // What did not run is given back.
  std::ranges::for_each(
      open, [](BudgetCharge& charge) { charge.Settle(false, kStart); });
  EXPECT_EQ(budget->Overdrawn(kStart), milliseconds(0));
}

TEST(BudgetTest, RefusedRequestsGiveBackNoMoreThanTheyTook) {
  BudgetBook book;
  book.Update({{"tywi", kRate}}, 1);
  const auto budget = book.Find("tywi");
  budget->Charge(1e12, kStart);
  for (int i = 0; i < 10000; ++i) {
    BudgetCharge(budget, kPrompt, kStart).Settle(false, kStart);
  }
  EXPECT_EQ(budget->Overdrawn(kStart), kBudgetMemory);
}

TEST(BudgetTest, PastUseIsForgottenInTime) {
  Budget budget;
  budget.SetRate(1.0);
  budget.Charge(1e12, kStart);
  EXPECT_EQ(budget.Overdrawn(kStart), kBudgetMemory);
  EXPECT_EQ(budget.Overdrawn(kStart + kBudgetMemory), milliseconds(0));
}

TEST(BudgetTest, ANewRateKeepsWhatWasCharged) {
  BudgetBook book;
  book.Update({{"tywi", kRate}, {"teifi", kRate}}, 2);
  const auto budget = book.Find("tywi");
  budget->Charge(20 * kRate, kStart);
  book.Update({{"tywi", 2 * kRate}}, 2);
  EXPECT_EQ(book.Find("tywi"), budget);
  EXPECT_GT(book.Find("tywi")->Overdrawn(kStart), milliseconds(0));
  EXPECT_EQ(book.Find("teifi"), nullptr);
}

}  // namespace
}  // namespace balsam::admission
