// balsam-load: generates an open-loop load on entries and reports the results.
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "utilities/load/load_options.h"
#include "utilities/load/load_report.h"
#include "utilities/load/load_runner.h"

namespace {

using balsam::load::LoadOptions;
using nlohmann::json;

constexpr int kExitBadUsage = 2;

using Strings = std::vector<std::string>;

cxxopts::Options MakeOptions() {
  cxxopts::Options options("balsam-load",
                           "Generates an open-loop load and reports results");
  options.add_options()("entry", "Base URL of an entry; may be repeated",
                        cxxopts::value<Strings>())(
      "engine", "Base URL of a stand-in engine to read preemptions from",
      cxxopts::value<Strings>()->default_value(""))(
      "workspace", "NAME:BEARER; may be repeated", cxxopts::value<Strings>())(
      "model", "Model", cxxopts::value<std::string>())(
      "live-template", "Template of live requests",
      cxxopts::value<std::string>())("whole-template",
                                     "Template of requests delivered whole",
                                     cxxopts::value<std::string>())(
      "rate", "Requests per second",
      cxxopts::value<double>()->default_value("10"))(
      "seconds", "Duration of the run",
      cxxopts::value<double>()->default_value("10"))(
      "warm-up", "Seconds at the start that are not measured",
      cxxopts::value<double>()->default_value("2"))(
      "drain", "Seconds to wait at the end for requests in flight",
      cxxopts::value<double>()->default_value("20"))(
      "seed", "Seed of arrival times and lengths",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "whole-share", "Share of requests delivered whole",
      cxxopts::value<double>()->default_value("0.25"))(
      "prompt-median", "Median of prompt lengths, in tokens",
      cxxopts::value<double>()->default_value("300"))(
      "live-median", "Median of live output lengths, in tokens",
      cxxopts::value<double>()->default_value("80"))(
      "whole-median", "Median of whole output lengths, in tokens",
      cxxopts::value<double>()->default_value("250"))(
      "length-shift", "Factor of output lengths in the second half of the run",
      cxxopts::value<double>()->default_value("1"))(
      "output-sigma", "Sigma of the lognormal output lengths",
      cxxopts::value<double>()->default_value("0.9"))(
      "direct", "The addresses are of engines, not of entries")(
      "tell-lengths", "Send true lengths as max_tokens")(
      "label", "Name of the run",
      cxxopts::value<std::string>()->default_value("run"))(
      "json", "Append the results to this file, one JSON object per line",
      cxxopts::value<std::string>()->default_value(""))(
      "page", "Write a page comparing the runs in the --json file",
      cxxopts::value<std::string>()->default_value(""))("help",
                                                        "Print this help");
  return options;
}

std::chrono::milliseconds Seconds(double value) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(value * 1000.0));
}

LoadOptions ReadOptions(const cxxopts::ParseResult& parsed) {
  LoadOptions options;
  options.entries = parsed["entry"].as<Strings>();
  options.engines = parsed["engine"].as<Strings>();
  std::erase(options.engines, "");
  options.workspaces = parsed["workspace"].as<Strings>();
  options.model = parsed["model"].as<std::string>();
  options.live_template = parsed["live-template"].as<std::string>();
  options.whole_template = parsed["whole-template"].as<std::string>();
  options.requests_per_second = parsed["rate"].as<double>();
  options.duration = Seconds(parsed["seconds"].as<double>());
  options.warm_up = Seconds(parsed["warm-up"].as<double>());
  options.drain = Seconds(parsed["drain"].as<double>());
  options.seed = parsed["seed"].as<std::uint64_t>();
  options.whole_share = parsed["whole-share"].as<double>();
  options.prompt_median_tokens = parsed["prompt-median"].as<double>();
  options.live_median_tokens = parsed["live-median"].as<double>();
  options.whole_median_tokens = parsed["whole-median"].as<double>();
  options.length_shift = parsed["length-shift"].as<double>();
  options.send_exact_lengths = parsed.count("tell-lengths") > 0;
  options.output_sigma = parsed["output-sigma"].as<double>();
  options.direct = parsed.count("direct") > 0;
  options.label = parsed["label"].as<std::string>();
  return options;
}

void WritePage(const std::string& json_path, const std::string& page_path) {
  std::ifstream lines(json_path);
  std::vector<json> summaries;
  std::string line;
  while (std::getline(lines, line)) {
    const json summary = json::parse(line, nullptr, false);
    if (summary.is_object()) summaries.push_back(summary);
  }
  std::ofstream(page_path) << balsam::load::ToPage(summaries);
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options description = MakeOptions();
  try {
    const auto parsed = description.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << description.help() << '\n';
      return 0;
    }
    const auto json_path = parsed["json"].as<std::string>();
    if (parsed.count("entry") > 0) {
      const LoadOptions options = ReadOptions(parsed);
      const auto plan = balsam::load::MakePlan(options);
      const auto result = balsam::load::RunLoad(options, plan, true);
      const json summary = balsam::load::Summarize(options, result);
      std::cout << balsam::load::ToLine(summary) << '\n';
      if (!json_path.empty()) {
        std::ofstream(json_path, std::ios::app) << summary.dump() << '\n';
      }
    }
    const auto page_path = parsed["page"].as<std::string>();
    if (!page_path.empty()) WritePage(json_path, page_path);
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "balsam-load: " << error.what() << '\n';
    return kExitBadUsage;
  }
}
