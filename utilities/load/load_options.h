// What a load run sends: how many requests of which kinds, how long, how fast.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace balsam::load {

struct LoadOptions {
  std::vector<std::string> entries;
  // Engines whose preemptions are read before and after the run.
  std::vector<std::string> engines;
  std::string model;
  // "workspace:bearer", one for each workspace.
  std::vector<std::string> workspaces;
  std::string live_template;
  std::string whole_template;
  double requests_per_second = 10.0;
  std::chrono::milliseconds duration{10000};
  // Left out of the figures, at the start.
  std::chrono::milliseconds warm_up{2000};
  // How long requests that are under way at the end are waited for.
  std::chrono::milliseconds drain{20000};
  std::uint64_t seed = 1;
  double whole_share = 0.25;
  double prompt_median_tokens = 300.0;
  double prompt_sigma = 0.8;
  double live_median_tokens = 80.0;
  double whole_median_tokens = 250.0;
  double output_sigma = 0.9;
  // Lengths are multiplied by this from the middle of the run on.
  double length_shift = 1.0;
  // Calls engines themselves, without an entry before them.
  bool direct = false;
  // Tells the engine's length as max_tokens too, for the oracle.
  bool tell_lengths = false;
  std::int64_t max_output_tokens = 2000;
  std::string label = "run";
};

// One request of the plan, before the run.
struct PlannedRequest {
  std::chrono::microseconds at{0};
  std::size_t workspace = 0;
  bool whole = false;
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;
};

// The same options and seed give the same plan, whatever is measured with it.
std::vector<PlannedRequest> MakePlan(const LoadOptions& options);

}  // namespace balsam::load
