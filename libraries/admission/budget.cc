// Charging by a single moving time, as a leaky bucket does.
#include "libraries/admission/budget.h"

#include <algorithm>
#include <utility>

namespace balsam::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// Weight of the newest generation in the expected output.
constexpr double kOutputWeight = 1.0 / 32.0;

std::int64_t Count(BootTime time) {
  return nanoseconds(time.time_since_epoch()).count();
}

}  // namespace

void Budget::SetRate(double tokens_per_second) {
  rate_.store(tokens_per_second, std::memory_order_relaxed);
}

void LeakyBucket::Use(std::chrono::duration<double> time, BootTime now) {
  const std::int64_t earliest = Count(now - burst_);
  const std::int64_t latest = Count(now + memory_);
  // No use moves the time further than from one end to the other, so what is
  // cut off here has no effect, and the sum below cannot overflow.
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

milliseconds LeakyBucket::Overdrawn(BootTime now) const {
  const nanoseconds over(used_until_.load(std::memory_order_relaxed) -
                         Count(now));
  return std::max(std::chrono::ceil<milliseconds>(over), milliseconds(0));
}

void Budget::Charge(double tokens, BootTime now) {
  const std::chrono::duration<double> time(
      tokens / rate_.load(std::memory_order_relaxed));
  lasting_.Use(time, now);
  peak_.Use(time / kBudgetPeak, now);
}

milliseconds Budget::Overdrawn(BootTime now) const {
  return std::max(lasting_.Overdrawn(now), peak_.Overdrawn(now));
}

double Budget::expected_output() const {
  return expected_output_.load(std::memory_order_relaxed);
}

void Budget::OnOutput(double tokens) {
  // Two threads at once may lose one of their observations, which is harmless.
  const double before = expected_output();
  expected_output_.store(before + (tokens - before) * kOutputWeight,
                         std::memory_order_relaxed);
}

BudgetCharge::BudgetCharge(std::shared_ptr<Budget> budget, double prompt_tokens,
                           BootTime now)
    : budget_(std::move(budget)), prompt_(prompt_tokens) {
  if (budget_ == nullptr) return;
  // Over budget, a charge could be cut off at what is held against a workspace
  // at most; to give it back would then be a gift.
  if (budget_->Overdrawn(now) > milliseconds(0)) return;
  ahead_ = budget_->expected_output();
  charged_prompt_ = prompt_;
  budget_->Charge(charged_prompt_ + ahead_, now);
}

void BudgetCharge::OnTokens(double tokens, BootTime now) {
  if (budget_ == nullptr) return;
  output_ += tokens;
  if (charged_prompt_ < prompt_) {
    budget_->Charge(prompt_ - charged_prompt_, now);
    charged_prompt_ = prompt_;
  }
  const double covered = std::min(ahead_, tokens);
  ahead_ -= covered;
  if (tokens > covered) budget_->Charge(tokens - covered, now);
}

void BudgetCharge::Settle(bool ran, BootTime now) {
  const auto budget = std::exchange(budget_, nullptr);
  if (budget == nullptr) return;
  if (ran) budget->OnOutput(output_);
  budget->Charge(-(ahead_ + (ran ? 0.0 : charged_prompt_)), now);
}

void BudgetBook::Update(const std::map<std::string, double>& rates,
                        std::size_t entries) {
  const auto known = budgets_.Read();
  auto next = std::make_shared<Budgets>();
  const auto parts = static_cast<double>(std::max<std::size_t>(entries, 1));
  std::ranges::for_each(rates, [&](const auto& rate) {
    const auto found = known->find(rate.first);
    auto budget =
        found != known->end() ? found->second : std::make_shared<Budget>();
    budget->SetRate(rate.second / parts);
    next->emplace(rate.first, std::move(budget));
  });
  budgets_.Publish(std::move(next));
}

std::shared_ptr<Budget> BudgetBook::Find(std::string_view workspace) const {
  const auto budgets = budgets_.Read();
  const auto found = budgets->find(workspace);
  return found == budgets->end() ? nullptr : found->second;
}

}  // namespace balsam::admission
