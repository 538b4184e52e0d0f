// Placement policies and the load forecast.
#include "libraries/placement/placement.h"

#include <algorithm>
#include <numeric>

#include "libraries/membership/rendezvous.h"

namespace balsam::placement {
namespace {

// Expected output of a generation of unknown length.
constexpr double kExpectedOutputTokens = 200.0;
// Load that one queued request counts as, so that of two full engines the one
// with the shorter queue is chosen.
constexpr double kQueuedRequestLoad = 0.02;
constexpr std::size_t kForecastChoices = 2;

static_assert(PlacementPolicy<RoundRobin>);
static_assert(PlacementPolicy<LeastOutstanding>);
static_assert(PlacementPolicy<TwoChoices>);
static_assert(PlacementPolicy<Forecast>);

double ReportedLoad(const Candidate& candidate) {
  if (!candidate.lagged_report.has_value()) return 0.0;
  const auto& report = *candidate.lagged_report;
  return static_cast<double>(report.resident_tokens) /
             static_cast<double>(
                 std::max<std::int64_t>(1, report.capacity_tokens)) +
         static_cast<double>(report.queued) * kQueuedRequestLoad;
}

}  // namespace

double ForecastLoad(const PlacementQuery& query, const Candidate& candidate) {
  if (!candidate.report.has_value()) {
    return static_cast<double>(candidate.sent_requests) * kQueuedRequestLoad;
  }
  const auto& report = *candidate.report;
  const auto capacity =
      static_cast<double>(std::max<std::int64_t>(1, report.capacity_tokens));
  const double added =
      static_cast<double>(query.prompt_tokens + candidate.sent_tokens) +
      kExpectedOutputTokens * static_cast<double>(candidate.sent_requests + 1);
  return report.peak_load + added / capacity +
         static_cast<double>(report.queued + candidate.sent_requests) *
             kQueuedRequestLoad;
}

std::size_t RoundRobin::Choose(const PlacementQuery&,
                               std::span<const Candidate> candidates) {
  return next_++ % candidates.size();
}

std::size_t LeastOutstanding::Choose(const PlacementQuery&,
                                     std::span<const Candidate> candidates) {
  const auto least =
      std::ranges::min_element(candidates, {}, &Candidate::open_requests);
  return static_cast<std::size_t>(least - candidates.begin());
}

std::size_t TwoChoices::Choose(const PlacementQuery&,
                               std::span<const Candidate> candidates) {
  std::uniform_int_distribution<std::size_t> random_index(
      0, candidates.size() - 1);
  const std::size_t first = random_index(random_);
  const std::size_t second = random_index(random_);
  return ReportedLoad(candidates[second]) < ReportedLoad(candidates[first])
             ? second
             : first;
}

std::vector<std::string> PreferredVms(std::uint64_t fingerprint,
                                      std::vector<std::string> vms) {
  std::ranges::sort(vms, std::greater<>(), [fingerprint](const auto& vm) {
    return membership::StableHash(vm, fingerprint);
  });
  vms.resize(std::min(vms.size(), kForecastChoices));
  return vms;
}

std::size_t Forecast::Choose(const PlacementQuery& query,
                             std::span<const Candidate> candidates) {
  std::vector<std::size_t> order(candidates.size());
  std::iota(order.begin(), order.end(), 0);
  const auto rank = [&](std::size_t index) {
    return membership::StableHash(candidates[index].vm, query.fingerprint);
  };
  const std::size_t count = std::min(choices_, order.size());
  std::ranges::partial_sort(order,
                            order.begin() + static_cast<std::ptrdiff_t>(count),
                            std::greater<>(), rank);
  const auto best = std::ranges::min_element(
      order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), {},
      [&](std::size_t index) {
        return ForecastLoad(query, candidates[index]);
      });
  return *best;
}

Result<AnyPolicy> MakePolicy(std::string_view name, std::uint64_t seed) {
  if (name == "round_robin") return AnyPolicy(RoundRobin());
  if (name == "least_outstanding") return AnyPolicy(LeastOutstanding());
  if (name == "two_choices") return AnyPolicy(TwoChoices(seed));
  if (name == "forecast") return AnyPolicy(Forecast(kForecastChoices));
  return Fail(ResultCode::kInvalidSettings,
              "placement policy \"" + std::string(name) + "\" does not exist");
}

std::size_t Choose(AnyPolicy& policy, const PlacementQuery& query,
                   std::span<const Candidate> candidates) {
  return std::visit(
      [&](PlacementPolicy auto& chosen) {
        return chosen.Choose(query, candidates);
      },
      policy);
}

}  // namespace balsam::placement
