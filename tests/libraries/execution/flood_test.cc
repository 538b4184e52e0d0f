// A workspace that asks for ten times its share, on the stand-in engine's model
// in virtual time: what the others notice of it.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

#include "libraries/admission/budget.h"
#include "libraries/execution/executor.h"
#include "utilities/standin/engine_model.h"

namespace balsam::execution {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr BootTime kStart{std::chrono::hours(1)};
constexpr WallTime kWallStart{std::chrono::hours(400000)};
constexpr double kUsualUse = 0.8;
constexpr std::int64_t kPromptTokens = 60;
constexpr double kMeanOutput = 80.0;
constexpr microseconds kTick{250};

struct Noticed {
  std::vector<double> gaps;
  std::vector<double> first_tokens;
  std::size_t refused = 0;
};

double Percentile(std::vector<double> values, double share) {
  std::ranges::sort(values);
  return values.at(
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1)));
}

// One engine and its sidecar's decisions; workspaces "a", "b" and "c" use their
// usual part of their share, and "flood" uses `flood` times its own.
class World {
 public:
  World(double share, double flood, std::uint64_t seed)
      : executor_(Config(), Now()), engine_({}), random_(seed) {
    for (const char* name : {"a", "b", "c", "flood"}) {
      const double use = std::string(name) == "flood" ? flood : kUsualUse;
      rates_[name] = use * share / (kPromptTokens + kMeanOutput);
      next_arrival_[name] = 0.0;
      published_[name] = share;
    }
    budgets_.Update(published_, 1);
  }

  Noticed Run(seconds time) {
    while (passed_ < time) {
      Arrive();
      Dispatch();
      if (!engine_.IsIdle() && step_ends_ <= passed_) Step();
      passed_ += kTick;
    }
    return std::move(noticed_);
  }

 private:
  struct Open {
    std::string workspace;
    microseconds arrived{0};
    microseconds last_token{-1};
    std::uint64_t tokens = 0;
    admission::BudgetCharge charge;
  };

  static ExecutorConfig Config() {
    ExecutorConfig config;
    config.vm = "a";
    config.incarnation = 1;
    config.memory = {standin::EngineParameters{}.memory_tokens, 0};
    config.keys.vm = "a";
    return config;
  }
  Moment Now() const {
    return {kStart + passed_,
            kWallStart + std::chrono::duration_cast<milliseconds>(passed_)};
  }

  void Arrive() {
    for (auto& [workspace, next] : next_arrival_) {
      while (next <= std::chrono::duration<double>(passed_).count()) {
        next +=
            std::exponential_distribution<double>(rates_[workspace])(random_);
        Submit(workspace);
      }
    }
  }
  void Submit(const std::string& workspace) {
    const Moment now = Now();
    const auto budget = budgets_.Find(workspace);
    Work work;
    work.request_id = std::to_string(requests_++);
    work.fingerprint = requests_;
    work.workspace = workspace;
    work.template_name = "guest";
    work.model = "croeso";
    work.prompt_tokens = kPromptTokens;
    work.max_output_tokens = 2000;
    work.over_budget = budget->OverdraftTime(now.boot);

    work.received = now.wall;
    admission::BudgetCharge charge(budget, kPromptTokens, now.boot);
    const Submission submission = executor_.Submit(work, now);
    if (std::holds_alternative<Outcome>(submission)) {
      charge.Settle(false, now.boot);
      if (workspace != "flood") ++noticed_.refused;
      return;
    }
    const Counter counter = std::get<Accepted>(submission).counter;
    open_[counter] = {workspace, passed_, microseconds(-1), 0,
                      std::move(charge)};
  }
  void Dispatch() {
    for (const Counter counter : executor_.TakeDispatches(Now())) {
      std::lognormal_distribution<double> lengths(std::log(60.0), 0.75);
      standin::EngineRequest request;
      request.id = std::to_string(counter);
      request.prompt_tokens = kPromptTokens;
      request.output_tokens = std::clamp<std::int64_t>(
          static_cast<std::int64_t>(lengths(random_)), 1, 2000);
      engine_.Add(request);
    }
    for (const Counter counter : executor_.TakeChanged()) {
      if (executor_.Find(counter)->IsDone()) Forget(counter);
    }
  }
  void Step() {
    const standin::StepResult result = engine_.Step();
    step_ends_ = passed_ + result.duration;
    for (const auto& id : result.tokens) OnToken(std::stoull(id));
    for (const auto& id : result.ended) {
      executor_.OnCompleted(std::stoull(id), Outcome{}, Now());
    }
  }
  void OnToken(Counter counter) {
    Open& open = open_.at(counter);
    const std::vector<std::string> token = {" t"};
    executor_.OnTokens(counter, open.tokens++, token, Now());
    open.charge.OnTokens(1.0, Now().boot);
    if (open.workspace != "flood") {
      const bool first = open.last_token < microseconds(0);
      const microseconds since =
          step_ends_ - (first ? open.arrived : open.last_token);
      (first ? noticed_.first_tokens : noticed_.gaps)
          .push_back(std::chrono::duration<double>(since).count());
    }
    open.last_token = step_ends_;
  }
  void Forget(Counter counter) {
    const auto found = open_.find(counter);
    if (found == open_.end()) return;
    const bool ran =
        executor_.Find(counter)->outcome->run_state != RunState::kNotRun;
    if (!ran && found->second.workspace != "flood") ++noticed_.refused;
    found->second.charge.Settle(ran, Now().boot);
    open_.erase(found);
  }

  microseconds passed_{0};
  microseconds step_ends_{0};
  Executor executor_;
  standin::EngineModel engine_;
  std::mt19937_64 random_;
  admission::WorkspaceBudgets budgets_;
  std::map<std::string, double> published_;
  std::map<std::string, double> rates_;
  // Seconds.
  std::map<std::string, double> next_arrival_;
  std::map<Counter, Open> open_;
  std::uint64_t requests_ = 0;
  Noticed noticed_;
};

// Tokens a second of each workspace's budget: from a tenth to nearly all of
// what the engine can do, over the four.
class FloodOverloadTest : public testing::TestWithParam<double> {};

TEST_P(FloodOverloadTest, TenTimesAShareMovesTheOthersTailByLessThanATenth) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    const Noticed calm = World(GetParam(), 1.0, seed).Run(seconds(60));
    const Noticed flooded = World(GetParam(), 10.0, seed).Run(seconds(60));
    EXPECT_LT(Percentile(flooded.gaps, 0.99), 1.1 * Percentile(calm.gaps, 0.99))
        << seed;
    EXPECT_LT(Percentile(flooded.first_tokens, 0.99),
              1.1 * Percentile(calm.first_tokens, 0.99))
        << seed;
    EXPECT_LE(flooded.refused, calm.refused) << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Shares, FloodOverloadTest,
                         testing::Values(200.0, 400.0, 1000.0, 2000.0));

}  // namespace
}  // namespace balsam::execution
