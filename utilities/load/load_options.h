// Options of a load run, and the plan of requests generated from them.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace balsam::load {

struct LoadOptions {
  std::vector<std::string> entries;
  // Engines whose counters are read before and after the run.
  std::vector<std::string> engines;
  std::string model;
  // "NAME:BEARER" of each workspace.
  std::vector<std::string> workspaces;
  std::string live_template;
  std::string whole_template;
  double requests_per_second = 10.0;
  std::chrono::milliseconds duration{10000};
  // Requests sent in this time at the start are not measured.
  std::chrono::milliseconds warm_up{2000};
  // How long to wait at the end for requests in flight.
  std::chrono::milliseconds drain{20000};
  std::uint64_t seed = 1;
  double whole_share = 0.25;
  double prompt_median_tokens = 300.0;
  double prompt_sigma = 0.8;
  double live_median_tokens = 80.0;
  double whole_median_tokens = 250.0;
  double output_sigma = 0.9;
  // Output lengths are multiplied by this factor in the second half of the run.
  double length_shift = 1.0;
  // Sends requests to engines directly, without an entry.
  bool direct = false;
  // Also sends the true output length as max_tokens, for the admission policy
  // that knows all lengths in advance.
  bool send_exact_lengths = false;
  std::int64_t max_output_tokens = 2000;
  std::string label = "run";
};

// One request of the plan.
struct PlannedRequest {
  std::chrono::microseconds at{0};
  std::size_t workspace = 0;
  bool whole = false;
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;
};

// Generates the plan. Deterministic for the same options and seed, so that
// different systems can be measured with the same requests.
std::vector<PlannedRequest> MakePlan(const LoadOptions& options);

}  // namespace balsam::load
