// Rounds of questions.
#include "services/gateway/engine_search.h"

#include <QPointer>
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iterator>
#include <string>
#include <utility>

namespace balsam::gateway {
namespace {

// Engines that are asked for their loads together, and how often, before there
// is taken to be no room. Two choices make most of the difference (M.
// Mitzenmacher, The power of two choices, 2001); the third is for answers that
// are lost.
constexpr std::size_t kEnginesAsked = 3;
constexpr int kMaxRounds = 3;
// Between two searches for one request that waits.
constexpr std::chrono::milliseconds kSearchInterval{25};

}  // namespace

std::optional<EngineSearch::Choice> EngineSearch::Begin(
    const routing::EngineTraits& engine, const dispatch::Demand& demand) {
  if (asking_ || BootClock::now() < begins_again_) return std::nullopt;
  if (!context_.ask_loads) {
    return context_.selector.Select(context_.directory, &engine, demand,
                                    BootClock::now());
  }
  engine_ = &engine;
  demand_ = &demand;
  rounds_ = 0;
  untold_.clear();
  return Ask();
}

std::optional<EngineSearch::Choice> EngineSearch::Best(
    const std::vector<Choice>& candidates) {
  return context_.selector.SelectAmong(candidates, context_.directory, engine_,
                                       *demand_, BootClock::now());
}

std::optional<EngineSearch::Choice> EngineSearch::Ask() {
  while (rounds_ < kMaxRounds) {
    ++rounds_;
    const auto candidates = context_.selector.Candidates(
        context_.directory, engine_, *demand_, kEnginesAsked, BootClock::now());
    if (candidates.empty()) break;
    std::vector<std::string> ids;
    std::ranges::transform(candidates, std::back_inserter(ids), &Choice::id);
    asking_ = context_.ask_loads(
        ids, [self = QPointer<EngineSearch>(this),
              candidates](const std::set<std::uint32_t>& untold) {
          if (self) self->OnLoadsKnown(candidates, untold);
        });
    if (asking_) return std::nullopt;
    if (auto choice = Best(candidates)) return choice;
  }
  if (auto choice = Best(untold_)) return choice;
  begins_again_ = BootClock::now() + kSearchInterval;
  return std::nullopt;
}

void EngineSearch::OnLoadsKnown(const std::vector<Choice>& candidates,
                                const std::set<std::uint32_t>& untold) {
  asking_ = false;
  std::vector<Choice> told;
  for (const Choice& candidate : candidates) {
    const bool is_untold = untold.contains(dispatch::ServerKey(candidate.id));
    (is_untold ? untold_ : told).push_back(candidate);
  }
  std::optional<Choice> choice = Best(told);
  if (!choice.has_value()) choice = Ask();
  if (!asking_) on_ended(choice);
}

}  // namespace balsam::gateway
