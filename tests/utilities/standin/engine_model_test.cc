// Tests of the stand-in engine's model: batching, prefix cache, limited memory
// and preemption.
#include "utilities/standin/engine_model.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace balsam::standin {
namespace {

EngineRequest Request(const std::string& id, std::int64_t prompt,
                      std::int64_t output, int priority = 0) {
  return {id, prompt, output, priority, 0, 0};
}

TEST(EngineModelTest, GeneratesExactlyTheRequestedTokens) {
  EngineModel engine({});
  engine.Add(Request("a", 100, 5));
  int tokens = 0;
  while (!engine.IsIdle()) {
    tokens += static_cast<int>(engine.Step().tokens.size());
  }
  EXPECT_EQ(tokens, 5);
  EXPECT_EQ(engine.used_tokens(), 0);
}

TEST(EngineModelTest, PreemptsTheLowestPriorityWhenMemoryFills) {
  EngineParameters parameters;
  parameters.memory_tokens = 320;
  EngineModel engine(parameters);
  engine.Add(Request("high", 100, 200, 9));
  engine.Add(Request("low", 100, 200, 1));
  std::vector<StreamId> preempted;
  int tokens = 0;
  while (!engine.IsIdle()) {
    const StepResult step = engine.Step();
    tokens += static_cast<int>(step.tokens.size());
    preempted.insert(preempted.end(), step.preempted.begin(),
                     step.preempted.end());
  }
  EXPECT_FALSE(preempted.empty());
  EXPECT_EQ(std::ranges::count(preempted, "high"), 0);
  // Recomputed tokens are not returned twice.
  EXPECT_EQ(tokens, 400);
}

TEST(EngineModelTest, CachedPrefixShortensStep) {
  EngineModel engine({});
  EngineRequest request = Request("a", 1000, 1);
  request.prefix = 5;
  request.prefix_tokens = 900;
  engine.Add(request);
  const auto cold = engine.Step().duration;
  request.id = "b";
  engine.Add(request);
  EXPECT_LT(engine.Step().duration, cold);
  EXPECT_EQ(engine.prefix_hits(), 1);
}

TEST(EngineModelTest, CancelledGenerationFreesItsMemory) {
  EngineModel engine({});
  engine.Add(Request("a", 100, 1000));
  engine.Step();
  EXPECT_GT(engine.used_tokens(), 0);
  engine.Cancel("a");
  EXPECT_EQ(engine.used_tokens(), 0);
}

}  // namespace
}  // namespace balsam::standin
