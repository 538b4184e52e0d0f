// Chooses the backend server for one request among those that may take it.
#pragma once

#include <atomic>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/execution/executor.h"

namespace balsam::placement {

struct Candidate {
  std::string vm;
  // The newest report that arrived; absent before the first.
  std::optional<execution::LoadReport> report;
  // An earlier report, as a platform would publish it.
  std::optional<execution::LoadReport> lagged_report;
  // Requests and tokens that this entry sent there since that report.
  std::int64_t sent_requests = 0;
  std::int64_t sent_tokens = 0;
  // Requests of this entry that are open there.
  std::int64_t open_requests = 0;
};

struct PlacementQuery {
  // Equal for equal requests.
  std::uint64_t fingerprint = 0;
  std::int64_t prompt_tokens = 0;
};

// A policy returns the index of its choice among at least one candidate.
template <typename Policy>
concept PlacementPolicy = requires(Policy policy, const PlacementQuery& query,
                                   std::span<const Candidate> candidates) {
  { policy.Choose(query, candidates) } -> std::convertible_to<std::size_t>;
};

class RoundRobin {
 public:
  std::size_t Choose(const PlacementQuery& query,
                     std::span<const Candidate> candidates);

 private:
  std::uint64_t next_ = 0;
};

class LeastOutstanding {
 public:
  std::size_t Choose(const PlacementQuery& query,
                     std::span<const Candidate> candidates);
};

// The less loaded of two random candidates by reports that lag.
class TwoChoices {
 public:
  explicit TwoChoices(std::uint64_t seed) : random_(seed) {}
  std::size_t Choose(const PlacementQuery& query,
                     std::span<const Candidate> candidates);

 private:
  std::mt19937_64 random_;
};

// The candidate with the lowest forecast load among the few that the request's
// fingerprint ranks first. A request that is sent again, through whichever
// entry, meets the same few, so one that crashes backend servers crashes no
// more than those.
class Forecast {
 public:
  explicit Forecast(std::size_t choices) : choices_(choices) {}
  std::size_t Choose(const PlacementQuery& query,
                     std::span<const Candidate> candidates);

 private:
  std::size_t choices_;
};

using AnyPolicy =
    std::variant<RoundRobin, LeastOutstanding, TwoChoices, Forecast>;

// Makes the policy of this name: "round_robin", "least_outstanding",
// "two_choices" or "forecast". Fails with kInvalidSettings for another name.
Result<AnyPolicy> MakePolicy(std::string_view name, std::uint64_t seed);

std::size_t Choose(AnyPolicy& policy, const PlacementQuery& query,
                   std::span<const Candidate> candidates);

// The VMs among which the forecast policy chooses when all of `vms` can take
// the request.
std::vector<std::string> ForecastHomes(std::uint64_t fingerprint,
                                       std::vector<std::string> vms);

// The load that the forecast policy expects at the candidate, the query's own
// tokens included, as a share of capacity.
double ForecastLoad(const PlacementQuery& query, const Candidate& candidate);

}  // namespace balsam::placement
