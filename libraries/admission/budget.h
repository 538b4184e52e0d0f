// What one workspace may use at one entry while others want theirs. Each entry
// holds an equal part of the published rate and asks nobody, so that a split of
// the fleet cannot raise the whole: all entries together charge as "within
// budget" at most the rate, one burst over all of them, and what each admitted
// before its length was known.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "libraries/base/boot_clock.h"
#include "libraries/base/rcu_cell.h"

namespace balsam::admission {

// Time for which an unused rate is kept as credit.
inline constexpr std::chrono::milliseconds kBudgetBurst{5000};
// Use beyond the rate is held against a workspace no longer than this, since
// what it used while nobody else wanted it harmed nobody.
inline constexpr std::chrono::milliseconds kBudgetMemory{30000};

// Credit is spent at no more than this many times the rate, or a flood would
// fill an engine with it at once.
inline constexpr double kBudgetPeak = 2.0;
inline constexpr std::chrono::milliseconds kPeakBurst{1000};
inline constexpr std::chrono::milliseconds kPeakMemory{2000};

// A rate with a burst: any thread may call it; nothing blocks.
class LeakyBucket {
 public:
  LeakyBucket(std::chrono::milliseconds burst, std::chrono::milliseconds memory)
      : burst_(burst), memory_(memory) {}

  // Uses up `time` of the rate; a negative time gives back.
  void Use(std::chrono::duration<double> time, BootTime now);
  // How long until the rate has made up for what was used; zero if it has.
  std::chrono::milliseconds Overdrawn(BootTime now) const;

 private:
  const std::chrono::milliseconds burst_;
  const std::chrono::milliseconds memory_;
  // Nanoseconds of the boot clock up to which the rate is used.
  std::atomic<std::int64_t> used_until_{0};
};

// Any thread may call it; nothing blocks.
class Budget {
 public:
  // Tokens a second; above zero.
  void SetRate(double tokens_per_second);
  // Charges tokens; a negative number gives back.
  void Charge(double tokens, BootTime now);
  // How long until the rate has paid for all that was charged; zero while the
  // workspace is within its budget.
  std::chrono::milliseconds Overdrawn(BootTime now) const;
  // Tokens that a generation is expected to produce.
  double expected_output() const;
  // Learns from one that ended.
  void OnOutput(double tokens);

 private:
  std::atomic<double> rate_{1.0};
  LeakyBucket lasting_{kBudgetBurst, kBudgetMemory};
  LeakyBucket peak_{kPeakBurst, kPeakMemory};
  std::atomic<double> expected_output_{64.0};
};

// What one generation was charged. Within budget, an expected output is charged
// ahead, so that many requests at once cannot all be admitted on the same
// credit; the end settles the difference. Over budget, what is used is charged.
class BudgetCharge {
 public:
  // Charges nothing.
  BudgetCharge() = default;
  BudgetCharge(std::shared_ptr<Budget> budget, double prompt_tokens,
               BootTime now);

  void OnTokens(double tokens, BootTime now);
  // Settles; `ran` is false if the request is known not to have run.
  void Settle(bool ran, BootTime now);

 private:
  std::shared_ptr<Budget> budget_;
  double prompt_ = 0.0;
  double charged_prompt_ = 0.0;
  // Charged ahead, and not yet used up by tokens.
  double ahead_ = 0.0;
  double output_ = 0.0;
};

// The budgets of all workspaces at one entry.
class BudgetBook {
 public:
  BudgetBook() : budgets_(std::make_shared<const Budgets>()) {}

  // Takes published rates, of which this entry has one part in `entries`.
  // What was charged stays charged.
  void Update(const std::map<std::string, double>& rates, std::size_t entries);
  // Null for a workspace that is not published.
  std::shared_ptr<Budget> Find(std::string_view workspace) const;

 private:
  using Budgets = std::map<std::string, std::shared_ptr<Budget>, std::less<>>;

  RcuCell<Budgets> budgets_;
};

}  // namespace balsam::admission
