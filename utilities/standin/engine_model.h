// The stand-in engine's behaviour in virtual time: continuous batching with a
// limited key-value memory in blocks, a prefix cache, preemption by
// recomputation, priorities, resume and cancel. No I/O.
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
  // Prompt tokens that are processed in one step, over all generations.
  std::int64_t prefill_tokens_per_step = 2048;
  // Blocks that may hold cached prefixes of past prompts.
  std::int64_t prefix_cache_tokens = 4000;
  // A step takes this, plus the parts that grow with what it does.
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
  // Requests with equal prefixes share this many cached tokens.
  std::uint64_t prefix = 0;
  std::int64_t prefix_tokens = 0;
};

struct StepResult {
  std::chrono::microseconds duration{0};
  // Streams that got one token, those that ended, those pushed out.
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
  // Runs one step: admits what fits, processes prompts, adds one token to each
  // generation that is past its prompt.
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
    // Tokens still to process before the next one is produced.
    std::int64_t prefill_left = 0;
    std::uint64_t arrival = 0;
  };

  std::int64_t Blocks(const Sequence& sequence, std::int64_t extra) const;
  std::int64_t UsedBlocks() const;
  std::int64_t TotalBlocks() const;
  void AdmitWaiting();
  void PreemptUntilFits(StepResult& result);
  bool TakePrefix(const EngineRequest& request);

  EngineParameters parameters_;
  std::vector<Sequence> running_;
  // In order of priority, then of arrival.
  std::vector<Sequence> waiting_;
  // Cached prefixes, the most recently used last.
  std::deque<std::pair<std::uint64_t, std::int64_t>> prefixes_;
  std::uint64_t next_arrival_ = 0;
  std::int64_t preemptions_ = 0;
  std::int64_t prefix_hits_ = 0;
};

}  // namespace balsam::standin
