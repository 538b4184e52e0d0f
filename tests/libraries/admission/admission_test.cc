// Length model, memory forecast and fair queue.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "libraries/admission/fair_queue.h"
#include "libraries/admission/length_model.h"
#include "libraries/admission/memory_forecast.h"

namespace balsam::admission {
namespace {

void Learn(LengthModel& model, std::int64_t length) {
  model.OnGrowth(0, length);
  model.OnEnd(length);
}

std::vector<std::int64_t> DrawLengths(double median, double sigma, int count,
                                      unsigned seed) {
  std::mt19937 random(seed);
  std::lognormal_distribution<double> lengths(std::log(median), sigma);
  std::vector<std::int64_t> values;
  values.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    values.push_back(
        std::max<std::int64_t>(1, static_cast<std::int64_t>(lengths(random))));
  }
  return values;
}

double MedianOf(const LengthModel& model) {
  double length = 1.0;
  while (model.Survival(length) > 0.5) length *= 1.02;
  return length;
}

TEST(OverloadLengthModelTest, PriorHasTheCommonShape) {
  const LengthModel model;
  EXPECT_DOUBLE_EQ(model.Survival(0), 1.0);
  EXPECT_GT(model.Survival(50), 0.6);
  EXPECT_LT(model.Survival(5000), 0.05);
}

TEST(OverloadLengthModelTest, LearnsTheMedian) {
  LengthModel model;
  for (const auto length : DrawLengths(400, 0.5, 500, 1)) Learn(model, length);
  EXPECT_NEAR(MedianOf(model), 400, 80);
}

TEST(OverloadLengthModelTest, FollowsASuddenChange) {
  LengthModel model;
  for (const auto length : DrawLengths(60, 0.5, 1000, 1)) Learn(model, length);
  EXPECT_NEAR(MedianOf(model), 60, 15);
  // Generations that are still running count for the lengths they have reached.
  for (int i = 0; i < 60; ++i) model.OnGrowth(0, 300);
  EXPECT_GT(model.Survival(200), 0.15);
  for (const auto length : DrawLengths(600, 0.5, 400, 2)) Learn(model, length);
  EXPECT_GT(MedianOf(model), 400);
}

TEST(OverloadLengthModelTest, RemainingLengthDependsOnTokensProduced) {
  LengthModel model;
  for (const auto length : DrawLengths(200, 1.2, 1000, 3)) Learn(model, length);
  EXPECT_LT(model.SurvivalAfter(0, 400), model.SurvivalAfter(800, 400));
  EXPECT_GT(model.ExpectedRemaining(800), model.ExpectedRemaining(10));
}

TEST(OverloadLengthModelTest, NewWorkspaceUsesTheSharedPrior) {
  LengthModel shared;
  for (const auto length : DrawLengths(900, 0.3, 500, 4)) Learn(shared, length);
  LengthModel own;
  own.SetPrior(shared);
  EXPECT_NEAR(MedianOf(own), MedianOf(shared), 60);
}

std::vector<ResidentGeneration> Resident(const LengthModel& model, int count,
                                         std::int64_t prompt,
                                         std::int64_t produced) {
  return std::vector<ResidentGeneration>(
      static_cast<std::size_t>(count),
      ResidentGeneration{prompt, produced, 4000, &model});
}

TEST(OverloadMemoryForecastTest, AdmitsLessAtLowerRisk) {
  LengthModel model;
  for (const auto length : DrawLengths(200, 1.0, 1000, 5)) Learn(model, length);
  const MemoryLimits limits{20000, 200};
  const auto admitted = [&](double risk) {
    int count = 1;
    while (FitsAtRisk(Resident(model, count, 300, 50), limits, risk)) ++count;
    return count;
  };
  EXPECT_LT(admitted(0.0001), admitted(0.05));
  EXPECT_GT(admitted(0.0001), 10);
}

TEST(OverloadMemoryForecastTest, OverflowRateMatchesTheAcceptedRisk) {
  LengthModel model;
  const auto lengths = DrawLengths(200, 0.8, 2000, 6);
  for (const auto length : lengths) Learn(model, length);
  const MemoryLimits limits{20000, 0};
  constexpr double kRisk = 0.05;
  int count = 1;
  while (FitsAtRisk(Resident(model, count + 1, 100, 0), limits, kRisk)) ++count;
  std::mt19937 random(7);
  std::uniform_int_distribution<std::size_t> any(0, lengths.size() - 1);
  int overflows = 0;
  constexpr int kTrials = 2000;
  for (int trial = 0; trial < kTrials; ++trial) {
    std::vector<std::int64_t> drawn;
    drawn.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) drawn.push_back(lengths[any(random)]);
    bool over = false;
    for (std::int64_t step = 0; step < 1500 && !over; step += 10) {
      std::int64_t used = 0;
      for (const auto length : drawn) used += length > step ? 100 + step : 0;
      over = used > limits.capacity_tokens;
    }
    overflows += over ? 1 : 0;
  }
  EXPECT_LT(overflows, kTrials * kRisk * 2);
}

TEST(OverloadMemoryForecastTest, LongPromptCountsAtOnce) {
  LengthModel model;
  auto resident = Resident(model, 1, 900, 0);
  EXPECT_FALSE(FitsAtRisk(resident, {1000, 200}, 0.4));
}

TEST(OverloadMemoryForecastTest, KnownLengthsAreForecastExactly) {
  const std::vector<ResidentGeneration> resident(
      10, ResidentGeneration{100, 0, 400, nullptr});
  EXPECT_TRUE(FitsAtRisk(resident, {5001, 0}, 0.001));
  EXPECT_FALSE(FitsAtRisk(resident, {4000, 0}, 0.001));
}

// Returns Jain's fairness index of the weighted service that backlogged
// workspaces receive.
double FairnessIndex(const std::map<std::string, double>& weights) {
  FairQueue queue;
  WorkId number = 0;
  std::map<WorkId, std::string> owner;
  const auto push = [&](const std::string& workspace, double weight) {
    owner[++number] = workspace;
    queue.Push(workspace, weight, 0, number);
  };
  for (const auto& [workspace, weight] : weights) {
    for (int i = 0; i < 20; ++i) push(workspace, weight);
  }
  std::map<std::string, double> served;
  const auto lengths = DrawLengths(100, 1.0, 4000, 8);
  for (const auto length : lengths) {
    const auto work = queue.TakeFirst([](WorkId) { return true; });
    const std::string& workspace = owner[*work];
    queue.Charge(workspace, static_cast<double>(length));
    served[workspace] += static_cast<double>(length) / weights.at(workspace);
    push(workspace, weights.at(workspace));
  }
  double sum = 0;
  double squares = 0;
  for (const auto& [workspace, share] : served) {
    sum += share;
    squares += share * share;
  }
  return sum * sum / (static_cast<double>(served.size()) * squares);
}

TEST(OverloadFairQueueTest, BackloggedWorkspacesShareByWeight) {
  EXPECT_GE(FairnessIndex({{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}}), 0.98);
  EXPECT_GE(FairnessIndex({{"a", 4}, {"b", 2}, {"c", 1}, {"d", 0.5}}), 0.98);
}

TEST(OverloadFairQueueTest, IdleTimeEarnsNoCredit) {
  FairQueue queue;
  queue.Push("busy", 1, 0, 1);
  queue.TakeFirst([](WorkId) { return true; });
  queue.Charge("busy", 1e6);
  queue.Push("busy", 1, 0, 2);
  queue.Push("idle", 1, 0, 3);
  EXPECT_GE(queue.CounterOf("idle"), 1e6);
}

TEST(OverloadFairQueueTest, HigherPriorityGoesFirstWithinAWorkspace) {
  FairQueue queue;
  queue.Push("w", 1, 3, 1);
  queue.Push("w", 1, 9, 2);
  EXPECT_EQ(queue.TakeFirst([](WorkId) { return true; }), 2U);
}

TEST(OverloadFairQueueTest, WorkThatDoesNotFitIsPassedOver) {
  FairQueue queue;
  queue.Push("a", 1, 0, 1);
  queue.Push("b", 1, 0, 2);
  EXPECT_EQ(queue.TakeFirst([](WorkId work) { return work == 2; }), 2U);
  EXPECT_EQ(queue.size(), 1U);
  EXPECT_TRUE(queue.Remove("a", 1));
  EXPECT_FALSE(queue.Remove("a", 1));
}

}  // namespace
}  // namespace balsam::admission
