// balsam-standin: stand-ins for the systems around balsampaddle, for the
// demonstration and for tests.
#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpServer>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <random>
#include <vector>

#include "utilities/standin/engine_server.h"
#include "utilities/standin/platform_server.h"
#include "utilities/standin/service_server.h"

namespace {

using balsam::standin::EngineServer;
using balsam::standin::EngineServerOptions;
using balsam::standin::PlatformServer;
using balsam::standin::ServiceServer;

constexpr int kExitBadUsage = 2;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

EngineServerOptions ReadEngineOptions(const cxxopts::ParseResult& parsed) {
  EngineServerOptions options;
  options.parameters.memory_tokens = parsed["memory-tokens"].as<std::int64_t>();
  options.parameters.max_batch = parsed["max-batch"].as<std::int64_t>();
  options.parameters.step_base =
      std::chrono::microseconds(parsed["step-us"].as<std::int64_t>());
  options.time_scale = parsed["time-scale"].as<double>();
  options.seed = parsed["seed"].as<std::uint64_t>();
  options.checks_fencing = !parsed["ignore-fencing"].as<bool>();
  options.median_output_tokens = parsed["median-output"].as<double>();
  return options;
}

int PrintPortAndRun(std::uint16_t port) {
  if (port == 0) {
    std::cerr << "balsam-standin: cannot listen\n";
    return 1;
  }
  std::cout << "port=" << port << std::endl;
  return QCoreApplication::exec();
}

// Prints free ports. Listens on all of them at the same time, so that they
// differ. They lie below the system's range of ephemeral ports for outgoing
// connections.
int PrintFreePorts(int count) {
  constexpr std::uint16_t kLowest = 10000;
  constexpr std::uint16_t kHighest = 32000;
  std::vector<std::unique_ptr<QTcpServer>> listeners;
  std::uniform_int_distribution<std::uint16_t> distribution(kLowest,
                                                            kHighest - 2000);
  std::random_device random;
  std::uint16_t port = distribution(random);
  while (static_cast<int>(listeners.size()) < count) {
    if (port >= kHighest) return 1;
    auto listener = std::make_unique<QTcpServer>();
    const bool available = listener->listen(QHostAddress::LocalHost, port++);
    if (!available) continue;
    std::cout << listener->serverPort() << '\n';
    listeners.push_back(std::move(listener));
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("balsam-standin",
                           "Stands in for an engine, a plain service or the "
                           "platform");
  options.add_options()("role", "engine, service, platform or ports",
                        cxxopts::value<std::string>())(
      "port", "Port on 127.0.0.1; 0 takes a free one",
      cxxopts::value<std::uint16_t>()->default_value("0"))(
      "count", "ports: number of free ports to print",
      cxxopts::value<int>()->default_value("1"))(
      "templates", "platform: file with the initial templates",
      cxxopts::value<std::string>()->default_value(""))(
      "vms", "platform: file with the initial VM list",
      cxxopts::value<std::string>()->default_value(""))(
      "memory-tokens", "engine: size of the key-value cache, in tokens",
      cxxopts::value<std::int64_t>()->default_value("40000"))(
      "max-batch", "engine: maximum number of concurrent generations",
      cxxopts::value<std::int64_t>()->default_value("128"))(
      "step-us", "engine: base duration of a step, in microseconds",
      cxxopts::value<std::int64_t>()->default_value("8000"))(
      "time-scale", "engine: virtual seconds per real second",
      cxxopts::value<double>()->default_value("1"))(
      "median-output", "engine: median output length, in tokens",
      cxxopts::value<double>()->default_value("60"))(
      "ignore-fencing", "engine: accept orders with any fencing number",
      cxxopts::value<bool>()->default_value("false"))(
      "seed", "engine: seed of the output lengths",
      cxxopts::value<std::uint64_t>()->default_value("1"))("help",
                                                           "Print this help");
  options.parse_positional("role");
  options.positional_help("ROLE");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << '\n';
      return 0;
    }
    QCoreApplication application(argc, argv);
    const auto role = parsed["role"].as<std::string>();
    const auto port = parsed["port"].as<std::uint16_t>();
    if (role == "engine") {
      EngineServer engine(ReadEngineOptions(parsed));
      return PrintPortAndRun(engine.Start(port));
    }
    if (role == "service") {
      ServiceServer service;
      return PrintPortAndRun(service.Start(port));
    }
    if (role == "ports") return PrintFreePorts(parsed["count"].as<int>());
    if (role == "platform") {
      PlatformServer platform;
      const auto templates = parsed["templates"].as<std::string>();
      const auto vms = parsed["vms"].as<std::string>();
      if (!templates.empty()) {
        platform.Publish("templates", ReadFile(templates));
      }
      if (!vms.empty()) platform.Publish("vms", ReadFile(vms));
      return PrintPortAndRun(platform.Start(port));
    }
    std::cerr << "balsam-standin: role \"" << role << "\" does not exist\n";
    return kExitBadUsage;
  } catch (const std::exception& error) {
    std::cerr << "balsam-standin: " << error.what() << '\n';
    return kExitBadUsage;
  }
}
