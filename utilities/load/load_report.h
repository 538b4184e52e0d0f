// The figures of a load run: one key=value line, JSON, and a page with plots.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "utilities/load/load_runner.h"

namespace balsam::load {

nlohmann::json Summarize(const LoadOptions& options, const LoadResult& result);

// The summary as `key=value` pairs on one line.
std::string ToLine(const nlohmann::json& summary);

// One HTML page that compares runs: a row of figures and a bar plot for each
// measure, drawn as SVG.
std::string ToPage(const std::vector<nlohmann::json>& summaries);

// The value below which a share `quantile` of `values` lies; zero if empty.
double Quantile(std::vector<float> values, double quantile);

// Jain's index: 1 if all are equal, 1/n if one has everything.
double JainIndex(const std::vector<double>& shares);

}  // namespace balsam::load
