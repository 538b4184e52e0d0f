// Sockets, threads and /proc of a gateway process under test.
#include "tests/processes/gateway_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <QByteArray>
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

namespace balsam::processes {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr char kLoopback[] = "127.0.0.1";
// A hang is a failure; no result depends on how fast the machine is below that.
constexpr std::chrono::seconds kHang{60};
constexpr milliseconds kPoll{100};
// How often in a row memory must be the same.
constexpr int kSettledPolls = 10;
// The configuration's times do not end a connection of a test.
constexpr int kNeverMs = 600'000;
constexpr std::size_t kBufferBytes = 64 << 10;

sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  ::inet_pton(AF_INET, kLoopback, &address.sin_addr);
  return address;
}

// Returns a socket bound to a free port, and the port.
std::pair<int, std::uint16_t> BindFreePort() {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = LoopbackAddress(0);
  socklen_t size = sizeof(address);
  if (::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0) {
    return {descriptor, 0};
  }
  ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return {descriptor, ntohs(address.sin_port)};
}

std::uint16_t FreePort() {
  const auto [descriptor, port] = BindFreePort();
  ::close(descriptor);
  return port;
}

std::string AddressOf(std::uint16_t port) {
  return std::string(kLoopback) + ':' + std::to_string(port);
}

std::string Response(const std::string& fields, const std::string& body) {
  return "HTTP/1.1 200 OK\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Returns the value of a field; empty if there is none.
std::string FieldOf(const std::string& head, const std::string& name) {
  const std::size_t begin = head.find("\r\n" + name + ": ");
  if (begin == std::string::npos) return {};
  const std::size_t value = begin + name.size() + 4;
  return head.substr(value, head.find("\r\n", value) - value);
}

std::string SignatureFor(const std::string& id) {
  return "Request-Id: " + id + "\r\nResponse-Seal: s\r\n";
}

ServerReply Answer(const std::string& head) {
  const std::string id = FieldOf(head, "Request-Id");
  if (id.empty()) return {Response("", "{}"), ""};
  return {Response(SignatureFor(id), "done"), ""};
}

// The fields that the reply to a request needs stand behind its status line.
std::optional<ServerReply> HoldOrReply(const std::string& head,
                                       std::optional<ServerReply> reply) {
  const std::string id = FieldOf(head, "Request-Id");
  if (!reply.has_value()) {
    if (id.empty()) return Answer(head);
    return std::nullopt;
  }
  const std::size_t line = reply->bytes.find("\r\n");
  if (!id.empty() && line != std::string::npos) {
    reply->bytes.insert(line + 2, SignatureFor(id));
  }
  return reply;
}

// Returns false once the peer has closed the connection.
bool SendAll(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent =
        ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// Returns when the peer has closed the connection.
void SendWithoutEnd(int descriptor, const std::string& repeated) {
  std::string block;
  while (block.size() < kBufferBytes) block += repeated;
  while (SendAll(descriptor, block)) {
  }
}

}  // namespace

int ConnectTo(std::uint16_t port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = LoopbackAddress(port);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0) {
    return descriptor;
  }
  ::close(descriptor);
  return -1;
}

ThreadedServer::ThreadedServer(Handler handler) : handler_(std::move(handler)) {
  std::tie(listener_, port_) = BindFreePort();
  ::listen(listener_, SOMAXCONN);
  accepting_ = std::thread([this] { Accept(); });
}

ThreadedServer::~ThreadedServer() {
  {
    const std::scoped_lock lock(mutex_);
    stopping_ = true;
    for (const int descriptor : descriptors_) ::shutdown(descriptor, SHUT_RDWR);
  }
  ::shutdown(listener_, SHUT_RDWR);
  accepting_.join();
  ::close(listener_);
  for (std::thread& thread : threads_) thread.join();
}

void ThreadedServer::Accept() {
  while (true) {
    const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) return;
    const std::scoped_lock lock(mutex_);
    if (stopping_) {
      ::close(descriptor);
      return;
    }
    descriptors_.insert(descriptor);
    threads_.emplace_back([this, descriptor] {
      Serve(descriptor);
      const std::scoped_lock serve_lock(mutex_);
      descriptors_.erase(descriptor);
      ::close(descriptor);
    });
  }
}

void ThreadedServer::Serve(int descriptor) {
  std::vector<char> buffer(kBufferBytes);
  std::string input;
  while (true) {
    std::size_t end = 0;
    while ((end = input.find("\r\n\r\n")) == std::string::npos) {
      const ssize_t count = ::recv(descriptor, buffer.data(), buffer.size(), 0);
      if (count <= 0) return;
      input.append(buffer.data(), static_cast<std::size_t>(count));
    }
    const std::string head = input.substr(0, end + 2);
    input.erase(0, end + 4);
    const std::string length = FieldOf(head, "Content-Length");
    std::size_t left = length.empty() ? 0 : std::stoul(length);
    const std::size_t buffered = std::min(left, input.size());
    input.erase(0, buffered);
    for (left -= buffered; left > 0;) {
      const ssize_t count =
          ::recv(descriptor, buffer.data(), std::min(left, buffer.size()), 0);
      if (count <= 0) return;
      left -= static_cast<std::size_t>(count);
    }
    const auto response = handler_(head);
    if (!response.has_value()) continue;
    if (!SendAll(descriptor, response->bytes)) return;
    if (!response->repeated.empty()) {
      SendWithoutEnd(descriptor, response->repeated);
      return;
    }
  }
}

GatewayProcess::GatewayProcess(const GatewayLimits& limits,
                               std::optional<ServerReply> held)
    : limits_(limits),
      answering_([](const std::string& head) { return Answer(head); }),
      holding_([held = std::move(held)](const std::string& head) {
        return HoldOrReply(head, held);
      }),
      store_([this](const std::string& head) { return AnswerStore(head); }) {
  std::string folder =
      (std::filesystem::temp_directory_path() / "gateway-XXXXXX").string();
  folder_ = ::mkdtemp(folder.data());
}

GatewayProcess::~GatewayProcess() {
  if (pid_ > 0 && IsRunning()) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  std::filesystem::remove_all(folder_);
}

std::optional<ServerReply> GatewayProcess::AnswerStore(
    const std::string& head) const {
  if (head.starts_with("GET /kv-watch")) {
    std::this_thread::sleep_for(kPoll);
    return ServerReply{Response("", R"({"events":[],"storeRevision":9})"), ""};
  }
  const auto item = [](const std::string& key, const json& value) {
    const QByteArray text = QByteArray::fromStdString(value.dump()).toBase64();
    return json{{"key", key},
                {"value", text.toStdString()},
                {"rev", 5},
                {"created", 5},
                {"lease", 0}};
  };
  const auto route = [](const std::string& service, const std::string& kind) {
    return json{{"name", service},
                {"host", "test.example"},
                {"prefix", "/" + service + "/"},
                {"kind", kind},
                {"service", service},
                {"timeoutMs", kNeverMs},
                {"goalMs", kNeverMs},
                {"attempts", 1}};
  };
  const auto server = [](const std::string& service, std::uint16_t port) {
    return json{{"service", service},
                {"addr", AddressOf(port)},
                {"zone", "a"},
                {"state", "ready"},
                {"slots", 4096},
                {"version", "1"},
                {"seq", 1}};
  };
  const json configuration = {
      {"version", 1},
      {"routes",
       {route("answered", "readonly"), route("held", "non_idempotent")}},
      {"services",
       {{{"name", "answered"}, {"maxConns", 4096}, {"healthPath", "/health"}},
        {{"name", "held"}, {"maxConns", 4096}, {"healthPath", "/health"}}}},
      {"limits",
       {{"maxHeaderBytes", 16 << 10},
        {"maxBodyBytes", limits_.max_body_bytes},
        {"headerTimeoutMs", kNeverMs},
        {"idleTimeoutMs", kNeverMs}}}};
  const json page = {
      {"items",
       {item("op/config", configuration),
        item("servers/i-1", server("answered", answering_.port())),
        item("servers/i-2", server("held", holding_.port()))}},
      {"truncated", false},
      {"storeRevision", 9}};
  return ServerReply{Response("", page.dump()), ""};
}

void GatewayProcess::WriteSettings() {
  client_port_ = FreePort();
  const json settings = {{"node", "front-1"},
                         {"ip", kLoopback},
                         {"zone", "a"},
                         {"zones", {{"a", "r"}}},
                         {"listen",
                          {{"front", AddressOf(client_port_)},
                           {"ready", AddressOf(FreePort())},
                           {"control", AddressOf(FreePort())}}},
                         {"portRange", {FreePort(), 65535}},
                         {"seeds", json::array()},
                         {"platform", {{"addr", AddressOf(store_.port())}}},
                         {"limits",
                          {{"memoryMb", limits_.memory_megabytes},
                           {"maxFds", limits_.descriptors}}},
                         {"bounds", {{"graceS", 8}}}};
  std::ofstream(folder_ / "node.json") << settings.dump();
}

bool GatewayProcess::Launch() {
  WriteSettings();
  const std::string variable =
      "BALSAMPADDLE_CONFIG=" + (folder_ / "node.json").string();
  const std::string log = (folder_ / "log").string();
  std::string program = BALSAM_GATEWAY;
  std::string setting = variable;
  std::array<char*, 2> arguments{program.data(), nullptr};
  std::array<char*, 2> environment{setting.data(), nullptr};
  posix_spawn_file_actions_t actions{};
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_CREAT | O_WRONLY | O_APPEND, 0600);
  ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = ::posix_spawn(&pid_, program.c_str(), &actions, nullptr,
                                  arguments.data(), environment.data());
  ::posix_spawn_file_actions_destroy(&actions);
  return error == 0;
}

bool GatewayProcess::Start() {
  // A port that was free may be taken before the process listens there.
  constexpr int kLaunches = 3;
  for (int i = 0; i < kLaunches; ++i) {
    if (!Launch()) return false;
    const auto until = std::chrono::steady_clock::now() + kHang;
    while (IsRunning() && std::chrono::steady_clock::now() < until) {
      if (Request("small") == 200) return true;
      std::this_thread::sleep_for(kPoll);
    }
    if (IsRunning()) return false;
  }
  return false;
}

bool GatewayProcess::IsRunning() {
  if (pid_ <= 0) return false;
  if (::waitpid(pid_, nullptr, WNOHANG) == 0) return true;
  pid_ = -1;
  return false;
}

std::size_t GatewayProcess::StatusKilobytes(const std::string& field) const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (!line.starts_with(field + ":")) continue;
    return std::stoul(line.substr(field.size() + 1));
  }
  return 0;
}

std::size_t GatewayProcess::OpenSockets() const {
  std::error_code error;
  const std::filesystem::directory_iterator descriptors(
      "/proc/" + std::to_string(pid_) + "/fd", error);
  return static_cast<std::size_t>(
      std::count_if(begin(descriptors), end(descriptors), [](const auto& file) {
        std::error_code gone;
        return std::filesystem::read_symlink(file.path(), gone)
            .string()
            .starts_with("socket:");
      }));
}

void GatewayProcess::Settle() const {
  const auto until = std::chrono::steady_clock::now() + kHang;
  std::size_t memory = 0;
  for (int same = 0;
       same < kSettledPolls && std::chrono::steady_clock::now() < until;) {
    std::this_thread::sleep_for(kPoll);
    const std::size_t now = StatusKilobytes("VmRSS");
    same = now == memory ? same + 1 : 0;
    memory = now;
  }
}

std::string GatewayProcess::HeadOf(const std::string& id, bool is_held) {
  return std::string("POST ") + (is_held ? "/held/" : "/answered/") +
         "x HTTP/1.1\r\nHost: test.example\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: " + std::to_string(kNeverMs) + "\r\n";
}

int GatewayProcess::Request(const std::string& body,
                            const std::string& fields) const {
  const int descriptor = ConnectTo(client_port_);
  if (descriptor < 0) return 0;
  const timeval limit{kHang.count(), 0};
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const bool is_framed = fields.find("Transfer-Encoding") != std::string::npos;
  const std::string length =
      "Content-Length: " + std::to_string(body.size()) + "\r\n";
  const std::string bytes = HeadOf("ordinary", false) + fields +
                            (is_framed ? "" : length) + "\r\n" + body;
  for (std::size_t sent = 0; sent < bytes.size();) {
    const ssize_t count = ::send(descriptor, bytes.data() + sent,
                                 bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) break;
    sent += static_cast<std::size_t>(count);
  }
  std::array<char, 12> start{};
  const ssize_t count =
      ::recv(descriptor, start.data(), start.size(), MSG_WAITALL);
  ::close(descriptor);
  if (count != static_cast<ssize_t>(start.size())) return 0;
  return std::atoi(std::string(start.data() + 9, 3).c_str());
}

}  // namespace balsam::processes
