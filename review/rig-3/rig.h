// Parts of the review's scripts: small stand-ins for clients, engines and the
// platform's store on loopback addresses, and the launcher of the gateway.
//
// The stand-ins follow the operators' pages. What a case adds, it adds in its
// own file.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline void Sleep(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

// Writes lines with the milliseconds since the start to record.txt.
class Record {
 public:
  explicit Record(const std::string& path) : file_(fopen(path.c_str(), "we")) {}
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[2000];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex_);
    fprintf(file_, "%8.1f ms  %s\n", Now(), text);
    fflush(file_);
  }
  double Now() const {
    return std::chrono::duration<double, std::milli>(Clock::now() - start_)
        .count();
  }

 private:
  FILE* file_;
  std::mutex mutex_;
  Clock::time_point start_ = Clock::now();
};

inline std::unique_ptr<Record> record;

struct Message {
  // Method and target, or version and status.
  std::string first, second;
  std::map<std::string, std::string> fields;  // names in lower case
  std::string body;
  std::string Field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
};

inline std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(tolower(c));
  return text;
}

// A blocking TCP connection.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;

  static std::unique_ptr<Connection> Open(const std::string& ip, int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &to.sin_addr);
    if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0) {
      close(fd);
      return nullptr;
    }
    return std::make_unique<Connection>(fd);
  }

  bool Write(std::string_view text) {
    const std::lock_guard lock(write_mutex_);
    while (!text.empty()) {
      const ssize_t sent = send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
      if (sent <= 0) return false;
      text.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
  }

  // Reads more into `input`; false at the end, an error or the time limit.
  bool ReadMore(int limit_ms) {
    pollfd ready{fd_, POLLIN, 0};
    if (poll(&ready, 1, limit_ms) != 1) {
      timed_out = true;
      return false;
    }
    char bytes[65536];
    const ssize_t count = recv(fd_, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      reset = count < 0;
      return false;
    }
    input.append(bytes, static_cast<size_t>(count));
    return true;
  }

  // Reads a head; `limit_ms` holds for each piece.
  bool ReadHead(Message& message, int limit_ms) {
    size_t end = 0;
    while ((end = input.find("\r\n\r\n")) == std::string::npos) {
      if (!ReadMore(limit_ms)) return false;
    }
    const std::string head = input.substr(0, end + 2);
    input.erase(0, end + 4);
    size_t at = head.find("\r\n");
    const std::string line = head.substr(0, at);
    const size_t one = line.find(' ');
    const size_t two = line.find(' ', one + 1);
    message = {};
    message.first = line.substr(0, one);
    message.second = line.substr(one + 1, two - one - 1);
    for (at += 2; at < head.size();) {
      const size_t stop = head.find("\r\n", at);
      const std::string field = head.substr(at, stop - at);
      const size_t colon = field.find(':');
      size_t value = colon + 1;
      while (value < field.size() && field[value] == ' ') ++value;
      message.fields[Lower(field.substr(0, colon))] = field.substr(value);
      at = stop + 2;
    }
    return true;
  }

  bool ReadLength(std::string& out, size_t count, int limit_ms) {
    while (input.size() < count) {
      if (!ReadMore(limit_ms)) return false;
    }
    out += input.substr(0, count);
    input.erase(0, count);
    return true;
  }

  bool ReadLine(std::string& out, int limit_ms) {
    size_t end = 0;
    while ((end = input.find("\r\n")) == std::string::npos) {
      if (!ReadMore(limit_ms)) return false;
    }
    out = input.substr(0, end);
    input.erase(0, end + 2);
    return true;
  }

  // Reads the body that the head announces; false if it is cut.
  bool ReadBody(Message& message, int limit_ms) {
    if (Lower(message.Field("transfer-encoding")) == "chunked") {
      std::string line;
      while (ReadLine(line, limit_ms)) {
        const size_t size = strtoul(line.c_str(), nullptr, 16);
        if (size == 0) return ReadLine(line, limit_ms);
        if (!ReadLength(message.body, size, limit_ms) ||
            !ReadLine(line, limit_ms)) {
          return false;
        }
      }
      return false;
    }
    const std::string length = message.Field("content-length");
    return length.empty() || ReadLength(message.body, stoul(length), limit_ms);
  }

  // Closes with a reset.
  void Reset() {
    if (fd_ < 0) return;
    const linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }
  // The same, while another thread writes: it gets errors from then on.
  void ResetQuietly() {
    const std::lock_guard lock(write_mutex_);
    Reset();
  }
  // Ends both directions, and wakes a thread that reads.
  void Shutdown() { shutdown(fd_, SHUT_RDWR); }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  // Whether the peer has closed or reset the connection.
  bool PeerGone() {
    char byte = 0;
    const ssize_t count = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
  }

  std::string input;
  bool reset = false;
  bool timed_out = false;
  int fd() const { return fd_; }

 private:
  int fd_;
  std::mutex write_mutex_;
};

// A thread for each connection, which calls `serve`.
class Listener {
 public:
  using Serve = std::function<void(std::shared_ptr<Connection>)>;
  Listener(std::string ip, int port, Serve serve)
      : ip_(std::move(ip)), port_(port), serve_(std::move(serve)) {
    Open();
  }
  int port() const { return port_; }
  // Connections are refused until `Open`.
  void Close() {
    shutdown(fd_, SHUT_RDWR);
    close(fd_);
  }
  void Open() {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<uint16_t>(port_));
    inet_pton(AF_INET, ip_.c_str(), &at.sin_addr);
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 ||
        listen(fd_, 512) != 0) {
      fprintf(stderr, "cannot listen on %s:%d\n", ip_.c_str(), port_);
      _exit(2);
    }
    socklen_t size = sizeof(at);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
    port_ = ntohs(at.sin_port);
    std::thread([this, fd = fd_] { Run(fd); }).detach();
  }

 private:
  void Run(int listener) {
    while (true) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0 && (errno == EBADF || errno == EINVAL)) return;
      if (fd < 0) continue;
      std::thread([this, connection = std::make_shared<Connection>(fd)] {
        serve_(connection);
      }).detach();
    }
  }
  std::string ip_;
  int port_ = 0;
  int fd_ = -1;
  Serve serve_;
};

inline std::string Base64(const std::string& text) {
  static const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < text.size(); i += 3) {
    unsigned value = 0;
    for (size_t j = 0; j < 3; ++j) {
      value =
          value << 8 |
          (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0);
    }
    for (size_t j = 0; j < 4; ++j) {
      out += i + j > text.size() ? '=' : kDigits[value >> (18 - 6 * j) & 63];
    }
  }
  return out;
}

// The platform's store: range reads and watches (PROTOCOL.md).
class Store {
 public:
  explicit Store(const std::string& ip)
      : ip_(ip), listener_(ip, 0, [this](auto c) { Serve(c); }) {}
  std::string address() const {
    return ip_ + ':' + std::to_string(listener_.port());
  }
  int port() const { return listener_.port(); }
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    items_[key] = {value, ++revision_, false};
    record->Line("store: %s is written at %lu", key.c_str(), revision_);
    changed_.notify_all();
  }
  void Remove(const std::string& key) {
    const std::lock_guard lock(mutex_);
    items_[key] = {"", ++revision_, true};
    record->Line("store: %s is removed at %lu", key.c_str(), revision_);
    changed_.notify_all();
  }

 private:
  struct Item {
    std::string value;
    unsigned long revision;
    bool deleted;
  };
  static std::string Query(const std::string& target, const std::string& name) {
    size_t at = target.find('?');
    while (at != std::string::npos) {
      const size_t begin = at + 1;
      at = target.find('&', begin);
      const std::string pair = target.substr(
          begin, at == std::string::npos ? std::string::npos : at - begin);
      if (pair.rfind(name + "=", 0) == 0) return pair.substr(name.size() + 1);
    }
    return "";
  }
  static std::string Json(const std::string& key, const Item& item) {
    std::string text =
        "{\"key\":\"" + key + "\",\"rev\":" + std::to_string(item.revision);
    if (item.deleted) return text + ",\"deleted\":true}";
    return text + ",\"created\":1,\"lease\":0,\"value\":\"" +
           Base64(item.value) + "\"}";
  }
  void Serve(const std::shared_ptr<Connection>& connection) {
    Message request;
    while (connection->ReadHead(request, 600000)) {
      connection->ReadBody(request, 1000);
      std::string body;
      std::unique_lock lock(mutex_);
      if (request.second.rfind("/kv-watch", 0) == 0) {
        const auto after =
            strtoul(Query(request.second, "after").c_str(), nullptr, 10);
        const int wait = atoi(Query(request.second, "waitMs").c_str());
        changed_.wait_for(lock, milliseconds(wait),
                          [&] { return revision_ > after; });
        std::map<unsigned long, std::string> events;
        for (const auto& [key, item] : items_) {
          if (item.revision > after) events[item.revision] = Json(key, item);
        }
        for (const auto& [revision, text] : events) {
          body += (body.empty() ? "" : ",") + text;
        }
        body = "{\"events\":[" + body +
               "],\"storeRevision\":" + std::to_string(revision_) + "}";
      } else {
        for (const auto& [key, item] : items_) {
          if (!item.deleted)
            body += (body.empty() ? "" : ",") + Json(key, item);
        }
        body = "{\"items\":[" + body + "],\"truncated\":false," +
               "\"storeRevision\":" + std::to_string(revision_) + "}";
      }
      lock.unlock();
      if (!connection->Write("HTTP/1.1 200 OK\r\nContent-Type: "
                             "application/json\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }
  std::string ip_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  unsigned long revision_ = 1;
  Listener listener_;
};

// A free port at `ip`, as far as can be told.
inline int FreePort(const std::string& ip, int type = SOCK_STREAM) {
  const int fd = socket(AF_INET, type, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
  bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at));
  socklen_t size = sizeof(at);
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  close(fd);
  return ntohs(at.sin_port);
}

// One process of the deploy file's role, on an address of its own.
class Gateway {
 public:
  // `sockets`: how many the machine allows; of its descriptors, 200 more are
  // for files.
  Gateway(std::string ip, const std::string& store, std::string zone,
          std::string folder, int sockets = 3900)
      : ip_(std::move(ip)),
        zone_(std::move(zone)),
        folder_(std::move(folder)),
        sockets_(sockets) {
    All().push_back(this);
    front_ = FreePort(ip_);
    ready_ = FreePort(ip_);
    control_ = FreePort(ip_);
    gossip_ = FreePort(ip_, SOCK_DGRAM);
    settings_ = folder_ + "/" + ip_ + ".json";
    const std::string at = ip_ + ":";
    std::ofstream(settings_)
        << "{\"node\":\"front-" << ip_
        << "\",\"role\":\"entry\",\"class\":\"front\",\"serves\":[\"front\","
           "\"control\"],\"ip\":\""
        << ip_ << "\",\"zone\":\"" << zone_
        << "\",\"region\":\"slavonija\",\"zones\":{\"" << zone_
        << "\":\"slavonija\"},\"listen\":{\"front\":\"" << at << front_
        << "\",\"ready\":\"" << at << ready_ << "\",\"control\":\"" << at
        << control_ << "\"},\"portRange\":[" << gossip_ << "," << gossip_ + 15
        << "],\"seeds\":[\"" << at << control_
        << "\"],\"bootstrap\":true,\"countsAsLoss\":false,\"limits\":{"
           "\"cpuShare\":0.19,\"cores\":1,\"memoryMb\":260,\"maxFds\":"
        << sockets_ + 200
        << ",\"linkMbps\":1000.0,\"diskMb\":0},\"dataDir\":null,\"discovery\":"
           "\"platform\",\"entry\":\"vip\",\"heartbeatMs\":1200,\"bounds\":{"
           "\"stableMs\":3000,\"drainMs\":2000,\"graceS\":8,\"lostMs\":200,"
           "\"configMs\":2000,\"retryRatio\":0.2,\"retryWindowS\":10,"
           "\"retrySlack\":56,\"recoverS\":12},\"platform\":{\"addr\":\""
        << store
        << "\",\"form\":\"read\",\"readsPerS\":2000,\"historyS\":20,"
           "\"valueBytes\":1048576}}";
  }
  static std::vector<Gateway*>& All() {
    static std::vector<Gateway*> all;
    return all;
  }

  void Start() {
    const std::string log = folder_ + "/" + ip_ + ".log";
    const std::string variable = "BALSAMPADDLE_CONFIG=" + settings_;
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      // The process has some 15 descriptors that are no sockets.
      const auto descriptors = static_cast<rlim_t>(sockets_ + 20);
      const rlimit limit{descriptors, descriptors};
      setrlimit(RLIMIT_NOFILE, &limit);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, 1);
      dup2(out, 2);
      char* const arguments[] = {const_cast<char*>(kProgram), nullptr};
      char* const environment[] = {const_cast<char*>(variable.c_str()),
                                   const_cast<char*>("PATH=/usr/bin:/bin"),
                                   nullptr};
      execve(kProgram, arguments, environment);
      _exit(127);
    }
    record->Line("gateway %s is started", ip_.c_str());
  }
  bool WaitReady(int limit_ms) {
    for (int i = 0; i < limit_ms / 20; ++i, Sleep(20)) {
      const auto connection = Connection::Open(ip_, ready_);
      Message answer;
      if (connection != nullptr &&
          connection->Write("GET /ready HTTP/1.1\r\nHost: r\r\n\r\n") &&
          connection->ReadHead(answer, 500) && answer.second == "200") {
        return true;
      }
    }
    return false;
  }
  void Signal(int number) {
    if (pid_ > 0) kill(pid_, number);
  }
  // Whether the process runs; reaps it if it has ended.
  bool Runs() {
    if (pid_ <= 0) return false;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
    exit_status = status;
    pid_ = -1;
    return false;
  }
  void Stop() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  const std::string& ip() const { return ip_; }
  int front() const { return front_; }
  int control() const { return control_; }
  int ready() const { return ready_; }
  pid_t pid() const { return pid_; }
  const std::string& settings() const { return settings_; }
  int exit_status = 0;

 private:
  static constexpr const char* kProgram = "target/platform/balsam-gateway";
  std::string ip_, zone_, folder_, settings_;
  int sockets_;
  int front_, ready_, control_, gossip_;
  pid_t pid_ = -1;
};

// A temporary folder, which `End` removes.
inline const std::string& Folder() {
  static const std::string path = [] {
    char name[] = "/tmp/review-3-XXXXXX";
    return std::string(mkdtemp(name));
  }();
  return path;
}

// Ends all gateways and the stand-ins, whose threads still run.
[[noreturn]] inline void End(int status) {
  for (Gateway* gateway : Gateway::All()) gateway->Stop();
  if (getenv("KEEP") == nullptr) std::filesystem::remove_all(Folder());
  fflush(nullptr);
  _exit(status);
}

inline long UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// The entry that an engine writes in the store.
inline std::string ServerEntry(const std::string& service,
                               const std::string& address,
                               const std::string& zone, int slots,
                               const std::string& state, long born) {
  return "{\"service\":\"" + service + "\",\"addr\":\"" + address +
         "\",\"zone\":\"" + zone +
         "\",\"version\":1,\"slots\":" + std::to_string(slots) +
         ",\"state\":\"" + state +
         "\",\"coldLeftMs\":0,\"seq\":1,\"born\":" + std::to_string(born) + "}";
}

// What was seen of an answer.
struct Answer {
  int status = 0;
  bool complete = false;
  Message message;
};

// Sends a request on `connection` and reads its answer.
inline Answer Ask(Connection& connection, const std::string& bytes,
                  int limit_ms) {
  Answer answer;
  if (!connection.Write(bytes) ||
      !connection.ReadHead(answer.message, limit_ms)) {
    return answer;
  }
  answer.status = atoi(answer.message.second.c_str());
  answer.complete = connection.ReadBody(answer.message, limit_ms);
  return answer;
}

inline bool WithTrouble() {
  const char* text = getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

}  // namespace rig
