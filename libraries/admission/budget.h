// Limits what one workspace may use at one entry while other workspaces have
// demand. Each entry enforces an equal part of the published rate without
// coordination, so a network partition cannot raise the total: all entries
// together charge as "within budget" at most the rate, one burst over all of
// them, and what each admitted before its length was known.
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

// Unused rate accumulates as credit for at most this time.
inline constexpr std::chrono::milliseconds kBudgetBurst{5000};
// Upper bound on the overdraft. It limits how long past use beyond the rate
// counts against a workspace, since use of otherwise idle capacity harmed no
// other workspace.
inline constexpr std::chrono::milliseconds kMaxOverdraft{30000};

// Credit is spent at no more than this multiple of the rate, so that a flood of
// requests cannot fill an engine with it at once.
inline constexpr double kPeakRateFactor = 2.0;
inline constexpr std::chrono::milliseconds kPeakBurst{1000};
inline constexpr std::chrono::milliseconds kPeakMaxOverdraft{2000};

// A rate limit that allows bursts. Thread-safe and lock-free.
class LeakyBucket {
 public:
  LeakyBucket(std::chrono::milliseconds max_credit,
              std::chrono::milliseconds max_overdraft)
      : max_credit_(max_credit), max_overdraft_(max_overdraft) {}

  // Consumes `time` of the rate; a negative `time` refunds it.
  void Consume(std::chrono::duration<double> time, BootTime now);
  // How long until the rate has covered what was consumed; zero if it has.
  std::chrono::milliseconds OverdraftTime(BootTime now) const;

 private:
  const std::chrono::milliseconds max_credit_;
  const std::chrono::milliseconds max_overdraft_;
  // Nanoseconds of the boot clock up to which the rate is consumed.
  std::atomic<std::int64_t> used_until_{0};
};

// The budget of one workspace. Thread-safe and lock-free.
class Budget {
 public:
  // `tokens_per_second` must be above zero.
  void SetRate(double tokens_per_second);
  // Charges tokens; a negative number refunds them.
  void Charge(double tokens, BootTime now);
  // How long until the rate has covered all charges; zero while the workspace
  // is within its budget.
  std::chrono::milliseconds OverdraftTime(BootTime now) const;
  // Expected number of output tokens of a generation.
  double expected_output() const;
  // Updates the expected output with that of a generation that ended.
  void ObserveOutput(double tokens);

 private:
  std::atomic<double> rate_{1.0};
  LeakyBucket sustained_{kBudgetBurst, kMaxOverdraft};
  LeakyBucket peak_{kPeakBurst, kPeakMaxOverdraft};
  std::atomic<double> expected_output_{64.0};
};

// The charges for one generation. Within budget, the expected output is charged
// in advance, so that many simultaneous requests cannot be admitted on the same
// credit; `Settle` corrects the difference. Over budget, tokens are charged as
// they are used.
class BudgetCharge {
 public:
  // Charges nothing.
  BudgetCharge() = default;
  BudgetCharge(std::shared_ptr<Budget> budget, double prompt_tokens,
               BootTime now);

  void OnTokens(double tokens, BootTime now);
  // Refunds what was not used; `ran` is false if the request is known not to
  // have run.
  void Settle(bool ran, BootTime now);

 private:
  std::shared_ptr<Budget> budget_;
  double prompt_tokens_ = 0.0;
  double charged_prompt_tokens_ = 0.0;
  // Output tokens that were charged in advance and not yet produced.
  double prepaid_output_ = 0.0;
  double output_tokens_ = 0.0;
};

// The budgets of all workspaces at one entry.
class WorkspaceBudgets {
 public:
  WorkspaceBudgets() : budgets_(std::make_shared<const Budgets>()) {}

  // Sets the published rates, each divided by the number of entries. Existing
  // charges are kept.
  void Update(const std::map<std::string, double>& rates, std::size_t entries);
  // Returns null for a workspace without a published rate.
  std::shared_ptr<Budget> Find(std::string_view workspace) const;

 private:
  using Budgets = std::map<std::string, std::shared_ptr<Budget>, std::less<>>;

  RcuCell<Budgets> budgets_;
};

}  // namespace balsam::admission
