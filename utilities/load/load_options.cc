// Random generation of arrival times and lengths.
#include "utilities/load/load_options.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace balsam::load {
namespace {

constexpr std::int64_t kMaxPromptTokens = 4000;

}  // namespace

std::vector<PlannedRequest> MakePlan(const LoadOptions& options) {
  std::mt19937_64 random(options.seed);
  std::exponential_distribution<double> gaps(options.requests_per_second);
  std::bernoulli_distribution is_whole(options.whole_share);
  std::uniform_int_distribution<std::size_t> workspaces(
      0, options.workspaces.size() - 1);
  std::lognormal_distribution<double> prompts(
      std::log(options.prompt_median_tokens), options.prompt_sigma);
  std::lognormal_distribution<double> live(std::log(options.live_median_tokens),
                                           options.output_sigma);
  std::lognormal_distribution<double> whole(
      std::log(options.whole_median_tokens), options.output_sigma);
  std::vector<PlannedRequest> plan;
  const double total = std::chrono::duration<double>(options.duration).count();
  for (double at = gaps(random); at < total; at += gaps(random)) {
    PlannedRequest request;
    request.at = std::chrono::microseconds(static_cast<std::int64_t>(at * 1e6));
    request.workspace = workspaces(random);
    request.whole = is_whole(random);
    request.prompt_tokens = std::clamp<std::int64_t>(
        static_cast<std::int64_t>(prompts(random)), 8, kMaxPromptTokens);
    const double shift = at > total / 2 ? options.length_shift : 1.0;
    const double length =
        (request.whole ? whole(random) : live(random)) * shift;
    request.output_tokens = std::clamp<std::int64_t>(
        static_cast<std::int64_t>(length), 2, options.max_output_tokens);
    plan.push_back(request);
  }
  return plan;
}

}  // namespace balsam::load
