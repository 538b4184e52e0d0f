// Parsing of the daemons' command line with cxxopts.
#include "libraries/http/daemon_main.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <iostream>

namespace balsam::http {
namespace {

constexpr char kVersion[] = "0.1.0";

DaemonCommandLine Exit(int code) { return {{}, code}; }

}  // namespace

DaemonCommandLine ParseCommandLine(const std::string& name,
                                   const std::string& purpose, int argc,
                                   char** argv,
                                   const std::string& default_settings) {
  cxxopts::Options options(name, purpose);
  options.add_options()("help", "Print this help and exit")(
      "version", "Print the version and exit")(
      "settings", "Run with this settings file", cxxopts::value<std::string>(),
      "FILE")("check-settings", "Check this settings file and exit",
              cxxopts::value<std::string>(), "FILE");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << '\n';
      return Exit(kExitOk);
    }
    if (parsed.count("version") > 0) {
      std::cout << name << ' ' << kVersion << '\n';
      return Exit(kExitOk);
    }
    if (!parsed.unmatched().empty()) {
      std::cerr << name << ": unexpected argument \""
                << parsed.unmatched().front() << "\"\n";
      return Exit(kExitBadUsage);
    }
    const bool check = parsed.count("check-settings") > 0;
    const bool run = parsed.count("settings") > 0;
    if (!check && !run && !default_settings.empty()) {
      return {{default_settings, false}, std::nullopt};
    }
    if (check == run) {
      std::cerr << name << ": give one of --settings and --check-settings\n";
      return Exit(kExitBadUsage);
    }
    const char* option = check ? "check-settings" : "settings";
    return {{parsed[option].as<std::string>(), check}, std::nullopt};
  } catch (const std::exception& error) {
    std::cerr << name << ": " << error.what() << '\n';
    return Exit(kExitBadUsage);
  }
}

void PrintProblems(const std::vector<settings::Problem>& problems) {
  std::ranges::for_each(problems, [](const settings::Problem& problem) {
    std::cerr << problem.ToLine() << '\n';
  });
}

}  // namespace balsam::http
