// Configures, starts and observes a test deployment.
#include "tests/processes/cluster.h"

#include <QCoreApplication>
#include <QCryptographicHash>
#include <QFile>
#include <QHostAddress>
#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <thread>

namespace balsam::processes {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kPeerKey[] = "test-peer-key-0123";
constexpr milliseconds kStartLimit = seconds(30);
constexpr char kBackendSuffix[] = "/backend";

std::string Url(std::uint16_t port, const std::string& path) {
  return "http://127.0.0.1:" + std::to_string(port) + path;
}

std::string Sha256(const std::string& text) {
  return QCryptographicHash::hash(QByteArray::fromStdString(text),
                                  QCryptographicHash::Sha256)
      .toHex()
      .toStdString();
}

}  // namespace

TestProcess::TestProcess(std::string name, std::string program,
                         QStringList arguments)
    : name_(std::move(name)),
      program_(std::move(program)),
      arguments_(std::move(arguments)) {
  process_.setProcessChannelMode(QProcess::MergedChannels);
}

TestProcess::~TestProcess() {
  if (!running()) return;
  Resume();
  process_.kill();
  process_.waitForFinished(5000);
}

void TestProcess::Start() {
  process_.start(QString::fromStdString(program_), arguments_);
  process_.waitForStarted(10000);
}

void TestProcess::SendSignal(int number) {
  // A process id of 0 would signal this process's whole group.
  const auto id = static_cast<pid_t>(process_.processId());
  if (id > 0) ::kill(id, number);
}

void TestProcess::Kill() {
  SendSignal(SIGKILL);
  process_.waitForFinished(5000);
}

void TestProcess::Suspend() { SendSignal(SIGSTOP); }

void TestProcess::Resume() { SendSignal(SIGCONT); }

void TestProcess::Terminate() { SendSignal(SIGTERM); }

bool TestProcess::WaitForEnd(milliseconds limit) {
  return WaitUntil([this] { return !running(); }, limit);
}

std::string TestProcess::Log() {
  log_ += process_.readAll().toStdString();
  return log_;
}

Cluster::Cluster() {
  platform_port_ = FreePort();
  AddProcess("platform", BALSAM_STANDIN,
             {"platform", "--port", QString::number(platform_port_)});
}

Cluster::~Cluster() {
  // The processes must end before the folder with their settings is removed.
  processes_.clear();
}

void Cluster::TakePortBlock() {
  // The blocks lie below the system's range of ephemeral ports for outgoing
  // connections. This test keeps listening on the first port of its block, so
  // tests that run in parallel never share a block.
  constexpr int kLowest = 10000;
  constexpr int kPortsEach = 100;
  constexpr int kBlocks = 220;
  const auto first =
      static_cast<int>(QCoreApplication::applicationPid() % kBlocks);
  for (int i = 0; i < kBlocks; ++i) {
    const auto port = static_cast<std::uint16_t>(
        kLowest + (first + i) % kBlocks * kPortsEach);
    if (!port_block_.listen(QHostAddress::LocalHost, port)) continue;
    next_port_ = static_cast<std::uint16_t>(port + 1);
    return;
  }
}

std::uint16_t Cluster::FreePort() {
  if (next_port_ == 0) TakePortBlock();
  QTcpServer probe;
  while (!probe.listen(QHostAddress::LocalHost, next_port_)) ++next_port_;
  return next_port_++;
}

QString Cluster::WriteSettings(const std::string& name, const json& content) {
  QString path = folder_.filePath(QString::fromStdString(name) + ".json");
  QFile file(path);
  if (file.open(QIODevice::WriteOnly)) {
    file.write(QByteArray::fromStdString(content.dump(2)));
  }
  return path;
}

void Cluster::AddProcess(const std::string& name, const std::string& program,
                         const QStringList& arguments) {
  processes_[name] = std::make_unique<TestProcess>(name, program, arguments);
  start_order_.push_back(name);
}

void Cluster::AddEngine(const std::string& vm, const BackendOptions& options) {
  AddBackend(vm, "llm-pool", true, options);
}

void Cluster::AddService(const std::string& vm, const BackendOptions& options) {
  AddBackend(vm, "locker-api", false, options);
}

void Cluster::AddBackend(const std::string& vm, const std::string& service,
                         bool engine, const BackendOptions& options) {
  const bool is_own = options.own_backend_port != 0;
  const Backend backend{is_own ? options.own_backend_port : FreePort(),
                        FreePort(),
                        FreePort(),
                        engine,
                        service,
                        options};
  backends_[vm] = backend;
  vms_[vm] = {
      {"id", vm},
      {"data_center", options.data_center},
      {"role", "backend"},
      {"service", service},
      {"address", "127.0.0.1"},
      {"peer_port", options.listed_peer_port != 0 ? options.listed_peer_port
                                                  : backend.peer_port},
      {"state", "live"}};
  QStringList arguments = {engine ? "engine" : "service", "--port",
                           QString::number(backend.backend_port)};
  if (!is_own) {
    AddProcess(vm + kBackendSuffix, BALSAM_STANDIN,
               arguments + options.engine_arguments);
  }
  AddSidecar(vm, vm, backend, options);
}

void Cluster::AddReplacement(const std::string& name, const std::string& vm) {
  Backend backend = backends_.at(vm);
  backend.peer_port = FreePort();
  backend.operator_port = FreePort();
  AddSidecar(name, vm, backend, backend.options);
  start_order_.pop_back();
  replacements_[name] = backend;
}

void Cluster::ListReplacement(const std::string& name, const std::string& vm) {
  vms_[vm]["peer_port"] = replacements_.at(name).peer_port;
  PublishList();
}

void Cluster::AddSidecar(const std::string& name, const std::string& vm,
                         const Backend& backend,
                         const BackendOptions& options) {
  json limits = {{"reader_grace", "20s"},
                 {"clock_error", "100ms"},
                 {"removed_vm_grace", "200ms"},
                 {"pause_limit", "500ms"}};
  limits.update(options.limits);
  json server = {{"url", Url(backend.backend_port, "")},
                 {"kind", backend.engine ? "engine" : "plain"}};
  if (backend.engine) server["capacity_tokens"] = 40000;
  const json settings = {
      {"vm", {{"id", vm}, {"data_center", options.data_center}}},
      {"service", backend.service},
      {"peers",
       {{"address", "127.0.0.1"},
        {"port", backend.peer_port},
        {"key", kPeerKey}}},
      {"operators",
       {{"address", "127.0.0.1"},
        {"port", backend.operator_port},
        {"key", kOperatorKey}}},
      {"platform", {{"url", Url(platform_port_, "")}}},
      {"backend_server", server},
      {"limits", limits}};
  AddProcess(name, BALSAM_SIDECAR,
             {"--settings", WriteSettings(name, settings)});
}

void Cluster::AddEntry(const std::string& vm, const std::string& data_center,
                       std::uint16_t platform_port) {
  const Entry entry{FreePort(), FreePort(), FreePort()};
  entries_[vm] = entry;
  vms_[vm] = {{"id", vm},
              {"data_center", data_center},
              {"role", "entry"},
              {"address", "127.0.0.1"},
              {"peer_port", entry.peer_port},
              {"state", "live"}};
  const json settings = {
      {"vm", {{"id", vm}, {"data_center", data_center}}},
      {"callers",
       {{"address", "127.0.0.1"}, {"port", entry.caller_port}, {"threads", 2}}},
      {"peers",
       {{"address", "127.0.0.1"},
        {"port", entry.peer_port},
        {"key", kPeerKey}}},
      {"operators",
       {{"address", "127.0.0.1"},
        {"port", entry.operator_port},
        {"key", kOperatorKey}}},
      {"platform",
       {{"url", Url(platform_port == 0 ? platform_port_ : platform_port, "")}}},
      {"limits", {{"gossip_interval", "300ms"}}}};
  AddProcess(vm, BALSAM_ENTRY, {"--settings", WriteSettings(vm, settings)});
}

std::uint16_t Cluster::PeerPort(const std::string& vm) const {
  const auto entry = entries_.find(vm);
  return entry != entries_.end() ? entry->second.peer_port
                                 : backends_.at(vm).peer_port;
}

void Cluster::SetListedPeerPort(const std::string& vm, std::uint16_t port) {
  vms_[vm]["peer_port"] = port;
}

bool Cluster::Start() {
  process("platform").Start();
  const bool platform_up = WaitUntil(
      [this] { return Send("GET", PlatformUrl("/counters")).status == 200; },
      kStartLimit);
  if (!platform_up) return false;
  PublishTemplates(Templates());
  PublishList();
  for (const std::string& name : start_order_) {
    if (name != "platform") process(name).Start();
  }
  const bool servers_up = std::ranges::all_of(
      backends_, [&](const auto& row) { return WaitBackendServer(row.first); });
  if (!servers_up) return false;
  const bool sidecars_up = std::ranges::all_of(backends_, [&](const auto& row) {
    return WaitUntil(
        [&] { return Status(row.first).value("list_revision", 0) > 0; },
        kStartLimit);
  });
  if (!sidecars_up) return false;
  return std::ranges::all_of(
      entries_, [this](const auto& entry) { return WaitServing(entry.first); });
}

void Cluster::Restart(const std::string& name) {
  process(name).WaitForEnd(seconds(10));
  process(name).Start();
  const auto slash = name.find(kBackendSuffix);
  if (slash != std::string::npos) WaitBackendServer(name.substr(0, slash));
}

bool Cluster::WaitBackendServer(const std::string& vm) {
  const Backend& backend = backends_.at(vm);
  const std::string path = backend.engine ? "/load" : "/counters";
  return WaitUntil(
      [&] {
        return Send("GET", Url(backend.backend_port, path)).status == 200;
      },
      kStartLimit);
}

bool Cluster::WaitServing(const std::string& entry) {
  return WaitUntil(
      [&] { return Send("GET", EntryUrl(entry) + "/v1/models").status == 401; },
      kStartLimit);
}

std::string Cluster::EntryUrl(const std::string& vm) const {
  return Url(entries_.at(vm).caller_port, "");
}

std::string Cluster::PlatformUrl(const std::string& path) const {
  return Url(platform_port_, path);
}

std::uint64_t Cluster::PublishText(const std::string& name,
                                   const std::string& text) {
  return Send("PUT", PlatformUrl("/v1/values/" + name), text)
      .Json()
      .value("revision", std::uint64_t{0});
}

std::uint64_t Cluster::PublishTemplates(const json& templates) {
  return PublishText("templates", templates.dump(1));
}

std::uint64_t Cluster::PublishList() {
  json rows = json::array();
  for (const auto& [id, row] : vms_) rows.push_back(row);
  return PublishText("vms", json{{"vms", rows}}.dump(1));
}

void Cluster::SetVmState(const std::string& vm, const std::string& state) {
  vms_[vm]["state"] = state;
  PublishList();
}

void Cluster::RemoveVm(const std::string& vm) {
  vms_.erase(vm);
  PublishList();
}

void Cluster::SetPlatformFault(const json& fault) {
  Send("POST", PlatformUrl("/faults"), fault.dump());
}

std::uint64_t Cluster::PlatformCalls() const {
  return Send("GET", PlatformUrl("/counters"))
      .Json()
      .value("calls", std::uint64_t{0});
}

json Cluster::Status(const std::string& name) const {
  const auto entry = entries_.find(name);
  const auto replacement = replacements_.find(name);
  const std::uint16_t port =
      entry != entries_.end()              ? entry->second.operator_port
      : replacement != replacements_.end() ? replacement->second.operator_port
                                           : backends_.at(name).operator_port;
  const json status =
      Send("GET", Url(port, "/status"), "",
           {{"Authorization", std::string("Bearer ") + kOperatorKey}})
          .Json();
  return status.is_object() ? status : json::object();
}

int Cluster::RunCount(const std::string& vm, const std::string& body) const {
  const json counters =
      Send("GET", Url(backends_.at(vm).backend_port, "/counters")).Json();
  if (!counters.is_object()) return 0;
  return counters["runs"].value(body, 0);
}

int Cluster::TotalRunCount(const std::string& body) const {
  int total = 0;
  for (const auto& [vm, backend] : backends_) {
    if (!backend.engine) total += RunCount(vm, body);
  }
  return total;
}

int Cluster::EngineStartCount(const std::string& vm) const {
  return Send("GET", Url(backends_.at(vm).backend_port, "/load"))
      .Json()
      .value("started", 0);
}

json Cluster::EngineState(const std::string& vm) const {
  const json state =
      Send("GET", Url(backends_.at(vm).backend_port, "/engine/state")).Json();
  return state.is_object() ? state : json::object();
}

void Cluster::SetServiceFault(const std::string& vm, const json& fault) {
  Send("POST", Url(backends_.at(vm).backend_port, "/faults"), fault.dump());
}

json Cluster::Templates() {
  return {
      {"templates",
       {{"guest",
         {{"class", "live"},
          {"delivery", "live"},
          {"priority", 9},
          {"queue_deadline", "5s"},
          {"run_deadline", "60s"},
          {"max_output_tokens", 4000}}},
        {"dossier",
         {{"class", "dossier"},
          {"delivery", "whole"},
          {"priority", 5},
          {"queue_deadline", "30s"},
          {"run_deadline", "120s"},
          {"max_output_tokens", 4000}}}}},
      {"models", {{"croeso", {{"service", "llm-pool"}}}}},
      {"services",
       {{"locker-api",
         {{"methods",
           {{"POST /release", {{"idempotent", false}, {"deadline", "2s"}}},
            {"GET /doors", {{"idempotent", true}, {"deadline", "2s"}}}}}}}}},
      {"workspaces",
       {{"tywi",
         {{"key_sha256", Sha256(kBearer)},
          {"tokens_per_second", 1000},
          {"templates", {"guest", "dossier"}}}},
        {"teifi",
         {{"key_sha256", Sha256(kOtherBearer)},
          {"tokens_per_second", 1000},
          {"templates", {"guest"}}}}}}};
}

std::string CompletionBody(int tokens, const std::string& marker, bool stream) {
  return json{{"model", "croeso"},
              {"stream", stream},
              {"prompt", "[[tokens=" + std::to_string(tokens) + "]]" + marker}}
      .dump();
}

Headers CallerHeaders(const std::string& bearer) {
  return {{"Authorization", "Bearer " + bearer},
          {"Content-Type", "application/json"}};
}

std::string NewIdempotencyKey() {
  static unsigned number = 0;
  const auto now = std::chrono::duration_cast<milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  char text[64];
  std::snprintf(text, sizeof(text), "%08llx-%04llx-7000-8000-%012x",
                static_cast<unsigned long long>(now) >> 16,
                static_cast<unsigned long long>(now) & 0xffff, ++number);
  return text;
}

}  // namespace balsam::processes
