// Leaky buckets that store a single time up to which the rate is consumed.
#include "libraries/admission/budget.h"

#include <algorithm>
#include <utility>

namespace balsam::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// Weight of a new observation in the moving average of output lengths.
constexpr double kOutputWeight = 1.0 / 32.0;

std::int64_t ToNanoseconds(BootTime time) {
  return nanoseconds(time.time_since_epoch()).count();
}

}  // namespace

void Budget::SetRate(double tokens_per_second) {
  rate_.store(tokens_per_second, std::memory_order_relaxed);
}

void LeakyBucket::Consume(std::chrono::duration<double> time, BootTime now) {
  const std::int64_t earliest = ToNanoseconds(now - max_credit_);
  const std::int64_t latest = ToNanoseconds(now + max_overdraft_);
  // A single charge moves the time by at most the whole range, so clamping it
  // to the range changes no result and keeps the sum below from overflowing.
  const auto range = static_cast<double>(latest - earliest);
  const auto used = static_cast<std::int64_t>(std::clamp(
      std::chrono::duration<double, std::nano>(time).count(), -range, range));
  std::int64_t before = used_until_.load(std::memory_order_relaxed);
  std::int64_t after = 0;
  do {
    after = std::clamp(std::max(before, earliest) + used, earliest, latest);
  } while (!used_until_.compare_exchange_weak(before, after,
                                              std::memory_order_relaxed));
}

milliseconds LeakyBucket::OverdraftTime(BootTime now) const {
  const nanoseconds over(used_until_.load(std::memory_order_relaxed) -
                         ToNanoseconds(now));
  return std::max(std::chrono::ceil<milliseconds>(over), milliseconds(0));
}

void Budget::Charge(double tokens, BootTime now) {
  const std::chrono::duration<double> time(
      tokens / rate_.load(std::memory_order_relaxed));
  sustained_.Consume(time, now);
  peak_.Consume(time / kPeakRateFactor, now);
}

milliseconds Budget::OverdraftTime(BootTime now) const {
  return std::max(sustained_.OverdraftTime(now), peak_.OverdraftTime(now));
}

double Budget::expected_output() const {
  return expected_output_.load(std::memory_order_relaxed);
}

void Budget::ObserveOutput(double tokens) {
  // When two threads race, one observation may be lost, which is harmless.
  const double before = expected_output();
  expected_output_.store(before + (tokens - before) * kOutputWeight,
                         std::memory_order_relaxed);
}

BudgetCharge::BudgetCharge(std::shared_ptr<Budget> budget, double prompt_tokens,
                           BootTime now)
    : budget_(std::move(budget)), prompt_tokens_(prompt_tokens) {
  if (budget_ == nullptr) return;
  // Over budget, a charge may be clamped at the maximum overdraft; refunding it
  // in full would then grant credit that was never charged.
  if (budget_->OverdraftTime(now) > milliseconds(0)) return;
  prepaid_output_ = budget_->expected_output();
  charged_prompt_tokens_ = prompt_tokens_;
  budget_->Charge(charged_prompt_tokens_ + prepaid_output_, now);
}

void BudgetCharge::OnTokens(double tokens, BootTime now) {
  if (budget_ == nullptr) return;
  output_tokens_ += tokens;
  if (charged_prompt_tokens_ < prompt_tokens_) {
    budget_->Charge(prompt_tokens_ - charged_prompt_tokens_, now);
    charged_prompt_tokens_ = prompt_tokens_;
  }
  const double covered = std::min(prepaid_output_, tokens);
  prepaid_output_ -= covered;
  if (tokens > covered) budget_->Charge(tokens - covered, now);
}

void BudgetCharge::Settle(bool ran, BootTime now) {
  const auto budget = std::exchange(budget_, nullptr);
  if (budget == nullptr) return;
  if (ran) budget->ObserveOutput(output_tokens_);
  budget->Charge(-(prepaid_output_ + (ran ? 0.0 : charged_prompt_tokens_)),
                 now);
}

void WorkspaceBudgets::Update(const std::map<std::string, double>& rates,
                              std::size_t entries) {
  const auto current = budgets_.Read();
  auto next = std::make_shared<Budgets>();
  const auto entry_count =
      static_cast<double>(std::max<std::size_t>(entries, 1));
  std::ranges::for_each(rates, [&](const auto& rate) {
    const auto found = current->find(rate.first);
    auto budget =
        found != current->end() ? found->second : std::make_shared<Budget>();
    budget->SetRate(rate.second / entry_count);
    next->emplace(rate.first, std::move(budget));
  });
  budgets_.Publish(std::move(next));
}

std::shared_ptr<Budget> WorkspaceBudgets::Find(
    std::string_view workspace) const {
  const auto budgets = budgets_.Read();
  const auto found = budgets->find(workspace);
  return found == budgets->end() ? nullptr : found->second;
}

}  // namespace balsam::admission
