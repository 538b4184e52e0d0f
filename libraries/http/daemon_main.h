// What every daemon's main does: command line, settings, signals, event loop.
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

// What the command line asks for.
struct DaemonOptions {
  std::string settings_path;
  bool check_only = false;
};

struct DaemonCommand {
  DaemonOptions options;
  // Set if nothing is to be run, as after --help.
  std::optional<int> exit_code;
};

// Reads the command line. `default_settings` is the file that is used where
// none is named; empty: one must be named.
DaemonCommand ReadCommandLine(const std::string& name,
                              const std::string& purpose, int argc, char** argv,
                              const std::string& default_settings = {});

// Prints one line for each problem, on standard error.
void PrintProblems(const std::vector<settings::Problem>& problems);

// Starts `node`; logs why if it cannot.
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
  const DaemonCommand command = ReadCommandLine(name, purpose, argc, argv);
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
