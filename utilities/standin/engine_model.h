// Model of an engine in virtual time: continuous batching, a limited key-value
// cache in blocks, a prefix cache, preemption by recomputation, priorities and
// cancellation. Does no I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace balsam::standin {

struct EngineParameters {
  std::int64_t memory_tokens = 40000;
  std::int64_t block_tokens = 16;
  std::int64_t max_batch = 128;
  // Prompt tokens processed in one step, summed over all generations.
  std::int64_t prefill_tokens_per_step = 2048;
  // Capacity of the cache for prefixes of past prompts.
  std::int64_t prefix_cache_tokens = 4000;
  // The duration of a step: a constant, plus terms for the running generations,
  // the resident tokens and the processed prompt tokens.
  std::chrono::microseconds step_base{8000};
  std::chrono::microseconds step_per_sequence{60};
  std::chrono::microseconds step_per_thousand_resident{150};
  std::chrono::microseconds step_per_prefill_token{12};
};

using StreamId = std::string;

struct EngineRequest {
  StreamId id;
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;
  int priority = 0;
  // Hash of the prompt's prefix; requests with equal prefixes share
  // `prefix_tokens` cached tokens.
  std::uint64_t prefix = 0;
  std::int64_t prefix_tokens = 0;
};

struct StepResult {
  std::chrono::microseconds duration{0};
  // Streams that got one token, that ended, and that were preempted.
  std::vector<StreamId> tokens;
  std::vector<StreamId> ended;
  std::vector<StreamId> preempted;
};

class EngineModel {
 public:
  explicit EngineModel(EngineParameters parameters) : parameters_(parameters) {}

  void Add(EngineRequest request);
  void Cancel(const StreamId& id);
  bool IsIdle() const { return running_.empty() && waiting_.empty(); }
  // Runs one step: admits waiting requests that fit, processes prompts, and
  // generates one token for each generation whose prompt is processed.
  StepResult Step();

  std::int64_t used_tokens() const;
  std::size_t running() const { return running_.size(); }
  std::size_t waiting() const { return waiting_.size(); }
  std::int64_t preemptions() const { return preemptions_; }
  std::int64_t prefix_hits() const { return prefix_hits_; }

 private:
  struct Sequence {
    EngineRequest request;
    std::int64_t produced = 0;
    // Tokens to process before the next token is generated.
    std::int64_t prefill_remaining = 0;
    std::uint64_t arrival = 0;
  };

  std::int64_t Blocks(const Sequence& sequence, std::int64_t extra) const;
  std::int64_t UsedBlocks() const;
  std::int64_t TotalBlocks() const;
  void AdmitWaiting();
  void PreemptUntilFits(StepResult& result);
  bool UsePrefixCache(const EngineRequest& request);

  EngineParameters parameters_;
  std::vector<Sequence> running_;
  // Ordered by priority, then by arrival.
  std::vector<Sequence> waiting_;
  // Cached prefixes with their lengths, the most recently used last.
  std::deque<std::pair<std::uint64_t, std::int64_t>> prefixes_;
  std::uint64_t next_arrival_ = 0;
  std::int64_t preemptions_ = 0;
  std::int64_t prefix_hits_ = 0;
};

}  // namespace balsam::standin
