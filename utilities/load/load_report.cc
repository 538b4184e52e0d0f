// Summaries of load runs, quantiles, the fairness index and HTML output.
#include "utilities/load/load_report.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <sstream>

namespace balsam::load {
namespace {

using nlohmann::json;

double Seconds(std::chrono::microseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

double Rounded(double value) { return std::round(value * 1000.0) / 1000.0; }

std::string Escaped(const std::string& text) {
  std::string out;
  std::ranges::for_each(text, [&out](char c) {
    out += c == '<' ? "&lt;" : c == '&' ? "&amp;" : std::string(1, c);
  });
  return out;
}

}  // namespace

double Quantile(std::vector<float> values, double quantile) {
  if (values.empty()) return 0.0;
  const auto rank = static_cast<std::size_t>(
      quantile * static_cast<double>(values.size() - 1));
  std::ranges::nth_element(values,
                           values.begin() + static_cast<std::ptrdiff_t>(rank));
  return values[rank];
}

double JainIndex(const std::vector<double>& shares) {
  const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
  const double squares =
      std::inner_product(shares.begin(), shares.end(), shares.begin(), 0.0);
  if (squares <= 0.0) return 1.0;
  return sum * sum / (static_cast<double>(shares.size()) * squares);
}

json Summarize(const LoadOptions& options, const LoadResult& result) {
  std::vector<float> first_live;
  std::vector<float> first_whole;
  std::vector<double> tokens_by_workspace(options.workspaces.size(), 0.0);
  std::map<int, int> codes;
  double stall = 0.0;
  int complete = 0;
  int counted = 0;
  std::int64_t tokens = 0;
  for (const RequestResult& request : result.requests) {
    if (request.planned.at < options.warm_up) continue;
    ++counted;
    tokens += request.tokens;
    tokens_by_workspace[request.planned.workspace] +=
        static_cast<double>(request.tokens);
    stall += Seconds(request.stall);
    if (!request.complete) ++codes[request.code];
    if (request.complete) ++complete;
    if (request.tokens == 0) continue;
    auto& first = request.planned.whole ? first_whole : first_live;
    first.push_back(static_cast<float>(Seconds(request.first_token) * 1000.0));
  }
  json by_code = json::object();
  for (const auto& [code, count] : codes) by_code[std::to_string(code)] = count;
  return {{"label", options.label},
          {"seed", options.seed},
          {"rate", Rounded(options.requests_per_second)},
          {"requests", counted},
          {"complete", complete},
          {"not_complete", by_code},
          {"preemptions", result.preemptions},
          {"stall_s", Rounded(stall)},
          {"gap_p50_ms", Rounded(Quantile(result.gaps_ms, 0.5))},
          {"gap_p95_ms", Rounded(Quantile(result.gaps_ms, 0.95))},
          {"gap_p99_ms", Rounded(Quantile(result.gaps_ms, 0.99))},
          {"gap_p999_ms", Rounded(Quantile(result.gaps_ms, 0.999))},
          {"first_live_p50_ms", Rounded(Quantile(first_live, 0.5))},
          {"first_live_p95_ms", Rounded(Quantile(first_live, 0.95))},
          {"first_whole_p95_ms", Rounded(Quantile(first_whole, 0.95))},
          {"tokens_per_s", Rounded(static_cast<double>(result.engine_tokens) /
                                   std::max(1e-6, Seconds(result.elapsed)))},
          {"answered_tokens", tokens},
          {"fairness", Rounded(JainIndex(tokens_by_workspace))},
          {"late_send_ms", Rounded(Seconds(result.max_send_delay) * 1000.0)}};
}

std::string ToLine(const json& summary) {
  std::string line;
  for (const auto& item : summary.items()) {
    if (!line.empty()) line += ' ';
    const json& value = item.value();
    line += item.key() + '=' +
            (value.is_string() ? value.get<std::string>() : value.dump());
  }
  return line;
}

std::string ToPage(const std::vector<json>& summaries) {
  constexpr double kBarWidth = 420.0;
  const std::vector<std::string> measures = {
      "preemptions",  "stall_s",           "gap_p99_ms",
      "gap_p999_ms",  "first_live_p95_ms", "first_whole_p95_ms",
      "tokens_per_s", "complete",          "fairness"};
  std::ostringstream page;
  page << "<!doctype html><meta charset=\"utf-8\"><title>Load report</title>"
          "<style>body{font:14px sans-serif;margin:2em}td,th{padding:2px "
          "8px;text-align:right}svg text{font-size:12px}</style>"
          "<h1>Load report</h1>";
  for (const std::string& measure : measures) {
    double max_value = 0.0;
    for (const json& summary : summaries) {
      max_value = std::max(max_value, summary.value(measure, 0.0));
    }
    page << "<h2>" << measure << "</h2><svg width=\"900\" height=\""
         << 20 * summaries.size() << "\">";
    int row = 0;
    for (const json& summary : summaries) {
      const double value = summary.value(measure, 0.0);
      const double width =
          max_value > 0.0 ? value / max_value * kBarWidth : 0.0;
      page << "<text x=\"0\" y=\"" << 20 * row + 14 << "\">"
           << Escaped(summary.value("label", ""))
           << "</text><rect x=\"260\" y=\"" << 20 * row + 3 << "\" width=\""
           << width << "\" height=\"14\" fill=\"#5b8\"/><text x=\""
           << 266 + width << "\" y=\"" << 20 * row + 14 << "\">" << value
           << "</text>";
      ++row;
    }
    page << "</svg>";
  }
  return page.str();
}

}  // namespace balsam::load
