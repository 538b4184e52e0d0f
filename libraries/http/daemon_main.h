// Common main function of the daemons: command line, settings, signals and
// event loop.
#pragma once

#include <QCoreApplication>
#include <concepts>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/base/log_event.h"
#include "libraries/http/signal_watcher.h"
#include "libraries/settings/json_document.h"

namespace balsam::http {

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitBadUsage = 2;

// The options given on the command line.
struct DaemonOptions {
  std::string settings_path;
  bool check_only = false;
};

struct DaemonCommandLine {
  DaemonOptions options;
  // Set if the process should exit at once, as after --help.
  std::optional<int> exit_code;
};

// Parses the command line. `default_settings` is the settings file that is used
// if the command line names none; if it is empty, a file must be named.
DaemonCommandLine ParseCommandLine(const std::string& name,
                                   const std::string& purpose, int argc,
                                   char** argv,
                                   const std::string& default_settings = {});

// Prints one line for each problem to standard error.
void PrintProblems(const std::vector<settings::Problem>& problems);

// Starts `node`. Logs the reason and returns false if that fails.
template <typename Node>
bool StartNode(Node& node) {
  return TryOr(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(node.Start());
        return true;
      },
      [](const Error& error) {
        LogEvent("start_failed", LogEvent::Level::kError)
            .With("code", static_cast<int>(error.code))
            .With("reason", error.detail);
        return false;
      });
}

template <typename Settings, typename Node>
int RunDaemon(const std::string& name, const std::string& purpose, int argc,
              char** argv) {
  const DaemonCommandLine command = ParseCommandLine(name, purpose, argc, argv);
  if (command.exit_code.has_value()) return *command.exit_code;
  Settings settings;
  const auto problems = Settings::Load(command.options.settings_path, settings);
  PrintProblems(problems);
  if (!problems.empty()) return kExitBadUsage;
  if (command.options.check_only) return kExitOk;

  QCoreApplication application(argc, argv);
  InitializeLog(name);
  Node node(std::move(settings));
  if (!StartNode(node)) return kExitFailure;
  node.on_stopped = [] { QCoreApplication::exit(kExitOk); };
  SignalWatcher stop_signals;
  stop_signals.on_stop = [&node] { node.BeginStop(); };
  return QCoreApplication::exec();
}

}  // namespace balsam::http
