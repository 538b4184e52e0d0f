// The platform's store, and the gateway processes on machines of their own.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <condition_variable>
#include <fstream>
#include <sstream>

#include "net.h"

extern char** environ;

namespace review {

inline std::string Base64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned value = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      value = value << 8 |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0u);
    }
    for (int j = 0; j < 4; ++j) {
      text += i + static_cast<std::size_t>(j) > bytes.size()
                  ? '='
                  : kDigits[value >> (18 - 6 * j) & 63];
    }
  }
  return text;
}

// Serves range reads and watches.
class Store {
 public:
  explicit Store(const std::string& ip)
      : server_(ip, [this](Connection& connection) { Serve(connection); }) {}

  const Address& address() const { return server_.address(); }

  // Returns when the write is acknowledged, that is at once.
  void Put(const std::string& key, const std::string& value) {
    const std::scoped_lock lock(mutex_);
    items_[key] = {value, ++revision_, false};
    changed_.notify_all();
  }
  void Remove(const std::string& key) {
    const std::scoped_lock lock(mutex_);
    items_[key] = {"", ++revision_, true};
    changed_.notify_all();
  }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    bool deleted = false;
  };

  static std::string ToJson(const std::string& key, const Item& item) {
    std::string text =
        "{\"key\":\"" + key + "\",\"rev\":" + std::to_string(item.revision);
    if (item.deleted) return text + ",\"deleted\":true}";
    return text + ",\"created\":1,\"lease\":0,\"value\":\"" +
           Base64(item.value) + "\"}";
  }
  static std::string Parameter(const std::string& target,
                               const std::string& name) {
    const std::size_t at = target.find(name + "=");
    if (at == std::string::npos) return {};
    const std::size_t begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
  }
  std::string Range() {
    const std::scoped_lock lock(mutex_);
    std::string items;
    for (const auto& [key, item] : items_) {
      if (item.deleted) continue;
      items += (items.empty() ? "" : ",") + ToJson(key, item);
    }
    return "{\"items\":[" + items + "],\"truncated\":false," +
           "\"storeRevision\":" + std::to_string(revision_) + "}";
  }
  std::string Watch(const std::string& target) {
    const auto after =
        std::strtoull(Parameter(target, "after").c_str(), nullptr, 10);
    const double wait = std::atof(Parameter(target, "waitMs").c_str());
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, Ms(wait), [&] { return revision_ > after; });
    std::vector<std::pair<std::uint64_t, std::string>> events;
    for (const auto& [key, item] : items_) {
      if (item.revision > after) {
        events.emplace_back(item.revision, ToJson(key, item));
      }
    }
    std::ranges::sort(events);
    std::string list;
    for (const auto& [revision, text] : events) {
      list += (list.empty() ? "" : ",") + text;
    }
    return "{\"events\":[" + list +
           "],\"storeRevision\":" + std::to_string(revision_) + "}";
  }
  void Serve(Connection& connection) {
    while (const auto head = connection.ReadHead(NowMs() + 600'000)) {
      const std::string target = head->target();
      const std::string body =
          target.starts_with("/kv-watch") ? Watch(target) : Range();
      if (!connection.Write(Response(200, "OK",
                                     "Content-Type: application/json\r\n"
                                     "Store-Era: 0\r\n",
                                     body))) {
        return;
      }
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::uint64_t revision_ = 100;
  Server server_;
};

// The command of the role `entry` in deploy/system.toml.
inline std::string RunCommand(const std::string& root) {
  std::ifstream file(root + "/deploy/system.toml");
  for (std::string line; std::getline(file, line);) {
    if (!line.starts_with("run = \"")) continue;
    return line.substr(7, line.rfind('"') - 7);
  }
  return {};
}

class Gateway {
 public:
  Gateway(std::string root, std::string folder, std::string ip, int port,
          Address store, std::vector<std::string> seeds)
      : root_(std::move(root)),
        folder_(std::move(folder)),
        ip_(std::move(ip)),
        port_(port),
        store_(std::move(store)),
        seeds_(std::move(seeds)) {}
  ~Gateway() { Kill(); }

  Address clients() const { return {ip_, port_}; }
  Address readiness() const { return {ip_, port_ + 1}; }
  pid_t pid() const { return pid_; }

  bool Start() {
    WriteSettings();
    std::vector<std::string> words;
    std::istringstream command(RunCommand(root_));
    for (std::string word; command >> word;) words.push_back(word);
    if (words.empty()) return false;
    std::vector<char*> arguments;
    for (std::string& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    std::string setting = "BALSAMPADDLE_CONFIG=" + SettingsPath();
    std::vector<char*> environment{setting.data()};
    std::string path = std::string("PATH=") + std::getenv("PATH");
    environment.push_back(path.data());
    environment.push_back(nullptr);
    posix_spawn_file_actions_t actions{};
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addchdir_np(&actions, root_.c_str());
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                       (folder_ + "/" + ip_ + ".log").c_str(),
                                       O_CREAT | O_WRONLY | O_APPEND, 0600);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const std::string program =
        words[0].starts_with("/") ? words[0] : root_ + "/" + words[0];
    const int error = ::posix_spawn(&pid_, program.c_str(), &actions, nullptr,
                                    arguments.data(), environment.data());
    ::posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
      pid_ = -1;
      return false;
    }
    // For run.sh, which ends what is left.
    std::ofstream(folder_ + "/pids", std::ios::app) << pid_ << '\n';
    return true;
  }
  bool IsReady() const {
    const int descriptor = ConnectTo(readiness());
    if (descriptor < 0) return false;
    Connection connection(descriptor);
    connection.Write(
        "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    const auto head = connection.ReadHead(NowMs() + 1000);
    return head.has_value() && head->status() == 200;
  }
  bool WaitUntilReady(double timeout) {
    for (const double until = NowMs() + timeout; NowMs() < until;) {
      if (IsReady()) return true;
      SleepMs(20);
    }
    return false;
  }
  void Signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }
  // Whether the process has ended; then `status` is that of waitpid.
  bool HasEnded(int* status = nullptr) {
    if (pid_ <= 0) return true;
    int value = 0;
    if (::waitpid(pid_, &value, WNOHANG) != pid_) return false;
    if (status != nullptr) *status = value;
    pid_ = -1;
    return true;
  }
  void Kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

 private:
  std::string SettingsPath() const { return folder_ + "/" + ip_ + ".json"; }
  void WriteSettings() const {
    const auto at = [&](int offset) {
      return "\"" + ip_ + ":" + std::to_string(port_ + offset) + "\"";
    };
    std::string seeds;
    for (const std::string& seed : seeds_) {
      seeds += (seeds.empty() ? "\"" : ",\"") + seed + ":" +
               std::to_string(port_ + 2) + "\"";
    }
    std::ofstream file(SettingsPath());
    file
        << "{\"node\":\"front-" << ip_ << "\",\"role\":\"entry\","
        << "\"class\":\"front\",\"serves\":[\"front\",\"control\"],"
        << "\"ip\":\"" << ip_ << "\",\"zone\":\"hall-tywi\","
        << "\"region\":\"cymru-west\",\"zones\":{\"hall-tywi\":\"cymru-west\"},"
        << "\"listen\":{\"front\":" << at(0) << ",\"ready\":" << at(1)
        << ",\"control\":" << at(2) << "},\"portRange\":[" << port_ + 3 << ","
        << port_ + 18 << "],\"seeds\":[" << seeds << "],\"bootstrap\":true,"
        << "\"countsAsLoss\":false,\"limits\":{\"cpuShare\":0.19,\"cores\":1,"
        << "\"memoryMb\":110,\"maxFds\":4100,\"linkMbps\":1000.0,"
        << "\"diskMb\":0},\"dataDir\":null,\"discovery\":\"platform\","
        << "\"entry\":\"vip\",\"heartbeatMs\":1200,\"contracts\":[\"base\","
        << "\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\","
        << "\"stream\",\"tenants\",\"platform\"],\"tolerate\":{\"machines\":2,"
        << "\"zones\":0,\"regions\":0},\"bounds\":{\"seedLagS\":3,"
        << "\"reuseAfterS\":2,\"stableMs\":3000,\"ackMs\":4000,\"catchUpS\":4,"
        << "\"drainMs\":2000,\"graceS\":8,\"lostMs\":200,\"configMs\":2000,"
        << "\"downgradeMs\":250,\"outerMs\":5000,\"strictRevoke\":false,"
        << "\"revokeMs\":5000,\"retryRatio\":0.2,\"retryWindowS\":10,"
        << "\"retrySlack\":56,\"recoverS\":12,\"passMs\":120,"
        << "\"reuseWindowS\":5.4},\"platform\":{\"addr\":\""
        << store_.ToString() << "\",\"form\":\"read\",\"writesPerS\":400,"
        << "\"readsPerS\":2000,\"historyS\":20,\"valueBytes\":1048576,"
        << "\"ttlMinMs\":1000}}";
  }

  std::string root_;
  std::string folder_;
  std::string ip_;
  int port_;
  Address store_;
  std::vector<std::string> seeds_;
  pid_t pid_ = -1;
};

}  // namespace review
