// Reports of load runs: a key=value line, JSON, and an HTML page with plots.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "utilities/load/load_runner.h"

namespace balsam::load {

nlohmann::json Summarize(const LoadOptions& options, const LoadResult& result);

// Returns the summary as `key=value` pairs on one line.
std::string ToLine(const nlohmann::json& summary);

// Returns an HTML page that compares runs with one SVG bar plot per measure.
std::string ToPage(const std::vector<nlohmann::json>& summaries);

// Returns the given quantile of `values`, between 0 and 1; zero if empty.
double Quantile(std::vector<float> values, double quantile);

// Returns Jain's fairness index: 1 if all shares are equal, 1/n if one of n has
// everything.
double JainIndex(const std::vector<double>& shares);

}  // namespace balsam::load
