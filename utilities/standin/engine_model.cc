// Batching, memory and preemption of the engine model.
#include "utilities/standin/engine_model.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace balsam::standin {

std::int64_t EngineModel::Blocks(const Sequence& sequence,
                                 std::int64_t extra) const {
  const std::int64_t tokens =
      sequence.request.prompt_tokens + sequence.produced + extra;
  return (tokens + parameters_.block_tokens - 1) / parameters_.block_tokens;
}

std::int64_t EngineModel::TotalBlocks() const {
  return parameters_.memory_tokens / parameters_.block_tokens;
}

std::int64_t EngineModel::UsedBlocks() const {
  return std::transform_reduce(
      running_.begin(), running_.end(), std::int64_t{0}, std::plus<>(),
      [this](const Sequence& sequence) { return Blocks(sequence, 0); });
}

std::int64_t EngineModel::used_tokens() const {
  return UsedBlocks() * parameters_.block_tokens;
}

void EngineModel::Add(EngineRequest request) {
  Sequence sequence;
  sequence.arrival = next_arrival_++;
  sequence.prefill_remaining = request.prompt_tokens;
  if (UsePrefixCache(request)) {
    sequence.prefill_remaining = std::max<std::int64_t>(
        1, sequence.prefill_remaining - request.prefix_tokens);
    ++prefix_hits_;
  }
  sequence.request = std::move(request);
  waiting_.push_back(std::move(sequence));
}

bool EngineModel::UsePrefixCache(const EngineRequest& request) {
  if (request.prefix_tokens <= 0) return false;
  const auto found = std::ranges::find(
      prefixes_, request.prefix, [](const auto& entry) { return entry.first; });
  const bool hit = found != prefixes_.end();
  if (hit) prefixes_.erase(found);
  prefixes_.emplace_back(request.prefix, request.prefix_tokens);
  const auto cached = [this] {
    return std::transform_reduce(
        prefixes_.begin(), prefixes_.end(), std::int64_t{0}, std::plus<>(),
        [](const auto& entry) { return entry.second; });
  };
  while (!prefixes_.empty() && cached() > parameters_.prefix_cache_tokens) {
    prefixes_.pop_front();
  }
  return hit;
}

void EngineModel::Cancel(const StreamId& id) {
  const auto has_id = [&id](const Sequence& s) { return s.request.id == id; };
  std::erase_if(running_, has_id);
  std::erase_if(waiting_, has_id);
}

void EngineModel::AdmitWaiting() {
  std::ranges::stable_sort(waiting_, [](const Sequence& a, const Sequence& b) {
    return std::pair(-a.request.priority, a.arrival) <
           std::pair(-b.request.priority, b.arrival);
  });
  while (!waiting_.empty() &&
         running_.size() < static_cast<std::size_t>(parameters_.max_batch)) {
    const std::int64_t needed = Blocks(waiting_.front(), 1);
    if (!running_.empty() && UsedBlocks() + needed > TotalBlocks()) return;
    running_.push_back(std::move(waiting_.front()));
    waiting_.erase(waiting_.begin());
  }
}

void EngineModel::PreemptUntilFits(StepResult& result) {
  const auto needed = [this] {
    return std::transform_reduce(
        running_.begin(), running_.end(), std::int64_t{0}, std::plus<>(),
        [this](const Sequence& sequence) {
          return Blocks(sequence, sequence.prefill_remaining == 0 ? 1 : 0);
        });
  };
  while (running_.size() > 1 && needed() > TotalBlocks()) {
    // Preempts the lowest priority first, and of equal priorities the latest
    // arrival.
    const auto victim = std::ranges::min_element(
        running_, [](const Sequence& a, const Sequence& b) {
          return std::pair(a.request.priority,
                           -static_cast<std::int64_t>(a.arrival)) <
                 std::pair(b.request.priority,
                           -static_cast<std::int64_t>(b.arrival));
        });
    Sequence sequence = std::move(*victim);
    running_.erase(victim);
    sequence.prefill_remaining =
        sequence.request.prompt_tokens + sequence.produced;
    result.preempted.push_back(sequence.request.id);
    ++preemptions_;
    waiting_.push_back(std::move(sequence));
  }
}

StepResult EngineModel::Step() {
  StepResult result;
  AdmitWaiting();
  PreemptUntilFits(result);
  std::int64_t budget = parameters_.prefill_tokens_per_step;
  std::int64_t prefilled = 0;
  std::ranges::for_each(running_, [&](Sequence& sequence) {
    if (sequence.prefill_remaining > 0) {
      const std::int64_t part = std::min(sequence.prefill_remaining, budget);
      sequence.prefill_remaining -= part;
      budget -= part;
      prefilled += part;
      if (sequence.prefill_remaining > 0) return;
    }
    ++sequence.produced;
    result.tokens.push_back(sequence.request.id);
    if (sequence.produced >= sequence.request.output_tokens) {
      result.ended.push_back(sequence.request.id);
    }
  });
  const auto sequences = static_cast<std::int64_t>(running_.size());
  result.duration =
      parameters_.step_base + parameters_.step_per_sequence * sequences +
      parameters_.step_per_thousand_resident * (used_tokens() / 1000) +
      parameters_.step_per_prefill_token * prefilled;
  std::erase_if(running_, [](const Sequence& sequence) {
    return sequence.produced >= sequence.request.output_tokens;
  });
  return result;
}

}  // namespace balsam::standin
