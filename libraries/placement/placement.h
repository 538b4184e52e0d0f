// Policies that choose the backend server for a request among candidates.
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
  // The latest report; absent before the first.
  std::optional<execution::LoadReport> report;
  // An older report, as a platform would publish it.
  std::optional<execution::LoadReport> lagged_report;
  // Requests and prompt tokens that this entry sent since the latest report.
  std::int64_t sent_requests = 0;
  std::int64_t sent_tokens = 0;
  // Open requests of this entry.
  std::int64_t open_requests = 0;
};

struct PlacementQuery {
  // Hash of the request; equal for equal requests.
  std::uint64_t fingerprint = 0;
  std::int64_t prompt_tokens = 0;
};

// `Choose` returns the index of the chosen candidate; `candidates` must not be
// empty.
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

// Chooses the less loaded of two random candidates, by lagged reports.
class TwoChoices {
 public:
  explicit TwoChoices(std::uint64_t seed) : random_(seed) {}
  std::size_t Choose(const PlacementQuery& query,
                     std::span<const Candidate> candidates);

 private:
  std::mt19937_64 random_;
};

// Chooses the candidate with the lowest forecast load among the first few in
// the rendezvous ranking by the request's fingerprint. A request that is
// repeated, through any entry, goes to the same few, so a request that crashes
// backend servers crashes no others.
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

// Creates the policy with this name: "round_robin", "least_outstanding",
// "two_choices" or "forecast". Fails with kInvalidSettings for other names.
Result<AnyPolicy> MakePolicy(std::string_view name, std::uint64_t seed);

std::size_t Choose(AnyPolicy& policy, const PlacementQuery& query,
                   std::span<const Candidate> candidates);

// Returns the VMs among which the forecast policy chooses if all of `vms` can
// take the request.
std::vector<std::string> PreferredVms(std::uint64_t fingerprint,
                                      std::vector<std::string> vms);

// The load that the forecast policy expects at the candidate, including the
// tokens of the query, as a fraction of capacity.
double ForecastLoad(const PlacementQuery& query, const Candidate& candidate);

}  // namespace balsam::placement
