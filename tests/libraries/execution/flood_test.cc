// Simulates a workspace that sends ten times its share of the load, on the
// stand-in's engine model in virtual time, and measures the latency of the
// other workspaces.
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
constexpr double kNormalUse = 0.8;
constexpr std::int64_t kPromptTokens = 60;
constexpr double kMeanOutput = 80.0;
constexpr microseconds kTick{250};

struct Measurements {
  std::vector<double> gaps;
  std::vector<double> first_tokens;
  std::size_t refused = 0;
};

double Percentile(std::vector<double> values, double share) {
  std::ranges::sort(values);
  return values.at(
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1)));
}

// One engine with its executor. Workspaces "a", "b" and "c" use `kNormalUse` of
// their share, and "flood" uses `flood` times its own.
class Simulation {
 public:
  Simulation(double share, double flood, std::uint64_t seed)
      : executor_(Config(), Now()), engine_({}), random_(seed) {
    for (const char* name : {"a", "b", "c", "flood"}) {
      const double use = std::string(name) == "flood" ? flood : kNormalUse;
      rates_[name] = use * share / (kPromptTokens + kMeanOutput);
      next_arrival_[name] = 0.0;
      published_[name] = share;
    }
    budgets_.Update(published_, 1);
  }

  Measurements Run(seconds time) {
    while (elapsed_ < time) {
      SubmitArrivals();
      Dispatch();
      if (!engine_.IsIdle() && step_ends_ <= elapsed_) Step();
      elapsed_ += kTick;
    }
    return std::move(measurements_);
  }

 private:
  struct OpenRequest {
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
  ClockReading Now() const {
    return {kStart + elapsed_,
            kWallStart + std::chrono::duration_cast<milliseconds>(elapsed_)};
  }

  void SubmitArrivals() {
    for (auto& [workspace, next] : next_arrival_) {
      while (next <= std::chrono::duration<double>(elapsed_).count()) {
        next +=
            std::exponential_distribution<double>(rates_[workspace])(random_);
        Submit(workspace);
      }
    }
  }
  void Submit(const std::string& workspace) {
    const ClockReading now = Now();
    const auto budget = budgets_.Find(workspace);
    WorkItem work;
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
    const SubmitResult result = executor_.Submit(work, now);
    if (std::holds_alternative<Outcome>(result)) {
      charge.Settle(false, now.boot);
      if (workspace != "flood") ++measurements_.refused;
      return;
    }
    const LocalId local_id = std::get<Accepted>(result).local_id;
    open_requests_[local_id] = {workspace, elapsed_, microseconds(-1), 0,
                                std::move(charge)};
  }
  void Dispatch() {
    for (const LocalId local_id : executor_.TakeDispatches(Now())) {
      std::lognormal_distribution<double> lengths(std::log(60.0), 0.75);
      standin::EngineRequest request;
      request.id = std::to_string(local_id);
      request.prompt_tokens = kPromptTokens;
      request.output_tokens = std::clamp<std::int64_t>(
          static_cast<std::int64_t>(lengths(random_)), 1, 2000);
      engine_.Add(request);
    }
    for (const LocalId local_id : executor_.TakeChanged()) {
      if (executor_.Find(local_id)->IsDone()) Close(local_id);
    }
  }
  void Step() {
    const standin::StepResult result = engine_.Step();
    step_ends_ = elapsed_ + result.duration;
    for (const auto& id : result.tokens) OnToken(std::stoull(id));
    for (const auto& id : result.ended) {
      executor_.OnCompleted(std::stoull(id), Outcome{}, Now());
    }
  }
  void OnToken(LocalId local_id) {
    OpenRequest& open = open_requests_.at(local_id);
    const std::vector<std::string> token = {" t"};
    executor_.OnTokens(local_id, open.tokens++, token, Now());
    open.charge.OnTokens(1.0, Now().boot);
    if (open.workspace != "flood") {
      const bool first = open.last_token < microseconds(0);
      const microseconds latency =
          step_ends_ - (first ? open.arrived : open.last_token);
      (first ? measurements_.first_tokens : measurements_.gaps)
          .push_back(std::chrono::duration<double>(latency).count());
    }
    open.last_token = step_ends_;
  }
  void Close(LocalId local_id) {
    const auto found = open_requests_.find(local_id);
    if (found == open_requests_.end()) return;
    const bool ran =
        executor_.Find(local_id)->outcome->run_state != RunState::kNotRun;
    if (!ran && found->second.workspace != "flood") ++measurements_.refused;
    found->second.charge.Settle(ran, Now().boot);
    open_requests_.erase(found);
  }

  microseconds elapsed_{0};
  microseconds step_ends_{0};
  Executor executor_;
  standin::EngineModel engine_;
  std::mt19937_64 random_;
  admission::WorkspaceBudgets budgets_;
  std::map<std::string, double> published_;
  std::map<std::string, double> rates_;
  // Seconds.
  std::map<std::string, double> next_arrival_;
  std::map<LocalId, OpenRequest> open_requests_;
  std::uint64_t requests_ = 0;
  Measurements measurements_;
};

// The parameter is each workspace's budget in tokens per second. The sum over
// the four workspaces ranges from a tenth to nearly all of the engine's
// throughput.
class FloodOverloadTest : public testing::TestWithParam<double> {};

TEST_P(FloodOverloadTest,
       TenfoldLoadOfOneWorkspaceRaisesOthersTailLatencyByLessThanTenPercent) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    const Measurements normal =
        Simulation(GetParam(), 1.0, seed).Run(seconds(60));
    const Measurements flooded =
        Simulation(GetParam(), 10.0, seed).Run(seconds(60));
    EXPECT_LT(Percentile(flooded.gaps, 0.99),
              1.1 * Percentile(normal.gaps, 0.99))
        << seed;
    EXPECT_LT(Percentile(flooded.first_tokens, 0.99),
              1.1 * Percentile(normal.first_tokens, 0.99))
        << seed;
    EXPECT_LE(flooded.refused, normal.refused) << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Shares, FloodOverloadTest,
                         testing::Values(200.0, 400.0, 1000.0, 2000.0));

}  // namespace
}  // namespace balsam::execution
