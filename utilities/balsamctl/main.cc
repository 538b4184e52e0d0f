// balsamctl: the operators' command line. Checks files, queries running
// processes on their operator ports, and explains requests from logs.
#include <QCoreApplication>
#include <QEventLoop>
#include <QFile>
#include <QUrl>
#include <QUrlQuery>
#include <algorithm>
#include <chrono>
#include <cxxopts.hpp>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>

#include "libraries/decoding/bounded_json.h"
#include "libraries/http/http_caller.h"
#include "libraries/membership/vm_list.h"
#include "libraries/templates/template_set.h"
#include "services/entry/entry_settings.h"
#include "services/sidecar/sidecar_settings.h"
#include "utilities/balsamctl/explain.h"

namespace {

using balsam::http::HttpCaller;
using nlohmann::json;
using Strings = std::vector<std::string>;

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitBadUsage = 2;
constexpr std::chrono::milliseconds kTimeout{5000};
constexpr int kColumnWidth = 16;

constexpr char kCommands[] =
    "Commands:\n"
    "  check KIND FILE   check a file; KIND is entry, sidecar, templates or "
    "vms\n"
    "  status            state and load of each process\n"
    "  versions          template and list revisions of each process\n"
    "  explain MODEL     where an entry would place a request\n"
    "  explain ID        what happened to a request, from the files of --log\n"
    "  drain             accept no new work, and stop once idle\n";

// The response of one process, or the reason why there is none.
struct OperatorResponse {
  std::string process;
  json body;
  std::string failure;
};

std::string ReadFile(const std::string& path) {
  QFile file(QString::fromStdString(path));
  if (!file.open(QIODevice::ReadOnly)) return "";
  return file.readAll().toStdString();
}

std::vector<balsam::settings::Problem> CheckFile(const std::string& kind,
                                                 const std::string& path) {
  if (kind == "entry") {
    balsam::entry::EntrySettings settings;
    return balsam::entry::EntrySettings::Load(path, settings);
  }
  if (kind == "sidecar") {
    balsam::sidecar::SidecarSettings settings;
    return balsam::sidecar::SidecarSettings::Load(path, settings);
  }
  std::vector<balsam::settings::Problem> problems;
  if (kind == "templates") {
    balsam::templates::TemplateSet::Parse(1, ReadFile(path), problems);
    return problems;
  }
  balsam::TryOr(
      [&]() -> balsam::Result<bool> {
        BOOST_LEAF_AUTO(list,
                        balsam::membership::VmList::Parse(1, ReadFile(path)));
        for (const std::string& problem : list.problems()) {
          problems.push_back({path, {}, "", problem});
        }
        return true;
      },
      [&](const balsam::Error& error) {
        problems.push_back({path, {}, "", error.detail});
        return false;
      });
  return problems;
}

int RunCheck(const Strings& arguments) {
  const std::set<std::string> kinds = {"entry", "sidecar", "templates", "vms"};
  if (arguments.size() != 3 || !kinds.contains(arguments[1])) {
    std::cerr << "balsamctl: check needs a kind (entry, sidecar, templates, "
                 "vms) and a file\n";
    return kExitBadUsage;
  }
  const auto problems = CheckFile(arguments[1], arguments[2]);
  std::ranges::for_each(problems, [](const auto& problem) {
    std::cerr << problem.ToLine() << '\n';
  });
  if (problems.empty()) std::cout << arguments[2] << ": good\n";
  return problems.empty() ? kExitOk : kExitBadUsage;
}

OperatorResponse QueryProcess(const std::string& process,
                              const std::string& key, const std::string& method,
                              const QString& path) {
  HttpCaller caller;
  HttpCaller::Request request;
  request.url = QUrl(QString::fromStdString("http://" + process))
                    .resolved(QUrl(path))
                    .toEncoded()
                    .toStdString();
  request.method = method;
  request.fields = {"Authorization: Bearer " + key};
  request.silence_limit = kTimeout;
  OperatorResponse response{process, nullptr, ""};
  QEventLoop loop;
  caller.Send(std::move(request), [&](const HttpCaller::Response& answer) {
    if (answer.end != HttpCaller::End::kComplete) {
      response.failure = answer.reason;
    } else if (!balsam::http1::IsSuccess(answer.head.status)) {
      response.failure = "HTTP status " + std::to_string(answer.head.status);
    } else {
      response.body = balsam::decoding::ParseJson(answer.body);
    }
    loop.quit();
  });
  loop.exec();
  return response;
}

std::string CellText(const json& body, const std::string& column) {
  const auto found = body.find(column);
  if (found == body.end()) return "-";
  return found->is_string() ? found->get<std::string>() : found->dump();
}

void PrintTable(const std::vector<OperatorResponse>& responses,
                const Strings& columns) {
  const auto print = [](const std::string& cell) {
    std::cout << std::left << std::setw(kColumnWidth) << cell << ' ';
  };
  std::ranges::for_each(columns, print);
  std::cout << '\n';
  std::ranges::for_each(responses, [&](const OperatorResponse& response) {
    if (!response.failure.empty()) {
      std::cout << response.process << ": " << response.failure << '\n';
      return;
    }
    std::ranges::for_each(columns, [&](const std::string& column) {
      print(CellText(response.body, column));
    });
    std::cout << '\n';
  });
}

void PrintCandidates(const std::vector<OperatorResponse>& responses) {
  std::ranges::for_each(responses, [](const OperatorResponse& response) {
    if (!response.failure.empty() || !response.body.contains("candidates")) {
      std::cout << response.process << ": "
                << (response.failure.empty() ? response.body.dump()
                                             : response.failure)
                << '\n';
      return;
    }
    std::vector<OperatorResponse> rows;
    for (const json& row : response.body["candidates"]) {
      rows.push_back({response.process, row, ""});
    }
    PrintTable(rows, {"vm", "forecast_load", "open_requests", "reported"});
  });
}

int RunOnProcesses(const std::string& command, const Strings& arguments,
                   const Strings& processes, const std::string& key,
                   bool as_json) {
  QString path =
      command == "versions" ? "/status" : "/" + QString::fromStdString(command);
  if (command == "explain") {
    if (arguments.size() != 2) {
      std::cerr << "balsamctl: explain needs a model\n";
      return kExitBadUsage;
    }
    path += "?request=" + QString::fromStdString(arguments[1]);
  }
  const std::string method = command == "drain" ? "POST" : "GET";
  std::vector<OperatorResponse> responses;
  std::ranges::transform(processes, std::back_inserter(responses),
                         [&](const std::string& process) {
                           return QueryProcess(process, key, method, path);
                         });
  if (as_json) {
    json all = json::object();
    for (const OperatorResponse& response : responses) {
      all[response.process] = response.failure.empty()
                                  ? response.body
                                  : json{{"failure", response.failure}};
    }
    std::cout << all.dump(2) << '\n';
  } else if (command == "explain") {
    PrintCandidates(responses);
  } else if (command == "versions") {
    PrintTable(responses, {"vm", "process", "template_revision",
                           "rejected_revision", "list_revision", "watching"});
  } else if (command == "drain") {
    PrintTable(responses, {"draining"});
  } else {
    PrintTable(responses,
               {"vm", "process", "data_center", "open_requests", "running",
                "queued", "resident_tokens", "peak_load", "draining"});
  }
  const bool all_responded =
      std::ranges::all_of(responses, [](const OperatorResponse& response) {
        return response.failure.empty();
      });
  return all_responded ? kExitOk : kExitFailure;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("balsamctl", "Operates balsampaddle");
  options.add_options()("command", "Command and its arguments",
                        cxxopts::value<Strings>()->default_value(""))(
      "process", "ADDRESS:PORT of an operator port; may be repeated",
      cxxopts::value<Strings>()->default_value(""))(
      "log", "Log file to explain from, - for standard input; may be repeated",
      cxxopts::value<Strings>()->default_value(""))(
      "key-file", "File that holds the operators' key",
      cxxopts::value<std::string>()->default_value(""))("json", "Print JSON")(
      "help", "Print this help")("version", "Print the version");
  options.parse_positional("command");
  options.positional_help("COMMAND [ARGUMENTS]");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << '\n' << kCommands;
      return kExitOk;
    }
    if (parsed.count("version") > 0) {
      std::cout << "balsamctl 0.1.0\n";
      return kExitOk;
    }
    QCoreApplication application(argc, argv);
    const auto arguments = parsed["command"].as<Strings>();
    const std::string& command = arguments.front();
    if (command == "check") return RunCheck(arguments);
    const auto logs = parsed["log"].as<Strings>();
    if (command == "explain" && !logs.front().empty()) {
      if (arguments.size() != 2) {
        std::cerr << "balsamctl: explain needs a request's id\n";
        return kExitBadUsage;
      }
      return balsam::ctl::ExplainRequest(arguments[1], logs,
                                         parsed.count("json") > 0, std::cout);
    }
    const std::set<std::string> process_commands = {"status", "versions",
                                                    "explain", "drain"};
    auto processes = parsed["process"].as<Strings>();
    std::erase(processes, "");
    if (!process_commands.contains(command) || processes.empty()) {
      std::cerr << "balsamctl: command \"" << command
                << "\" does not exist, or --process is missing\n"
                << kCommands;
      return kExitBadUsage;
    }
    std::string key = ReadFile(parsed["key-file"].as<std::string>());
    key.erase(std::find_if(key.begin(), key.end(), ::isspace), key.end());
    return RunOnProcesses(command, arguments, processes, key,
                          parsed.count("json") > 0);
  } catch (const std::exception& error) {
    std::cerr << "balsamctl: " << error.what() << '\n';
    return kExitBadUsage;
  }
}
