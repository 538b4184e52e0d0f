// Starts the program of the deploy file with settings like those of a small
// deployment, and ends it.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>

#include <fstream>

#include "net.h"

namespace standin {

class Gateway {
 public:
  // `folder`: a temporary one for the settings and the log.
  Gateway(std::string folder, std::string name, std::string ip,
          std::vector<std::string> seed_ips, std::string store, int control,
          int gossip)
      : folder_(std::move(folder)), name_(std::move(name)), ip_(std::move(ip)) {
    front_port_ = FreePort(ip_);
    ready_port_ = FreePort(ip_);
    std::string seeds;
    for (const auto& seed : seed_ips) {
      if (!seeds.empty()) seeds += ',';
      seeds += '"' + seed + ":" + std::to_string(control) + '"';
    }
    std::ofstream(Settings())
        << R"({"node":")" << name_
        << R"(","role":"entry","class":"front","serves":["front","control"],)"
        << R"("ip":")" << ip_ << R"(","zone":"zone-a","region":"region",)"
        << R"("zones":{"zone-a":"region"},"listen":{"front":")" << ip_ << ":"
        << front_port_ << R"(","ready":")" << ip_ << ":" << ready_port_
        << R"(","control":")" << ip_ << ":" << control << R"("},"portRange":[)"
        << gossip << "," << gossip + 15 << R"(],"seeds":[)" << seeds
        << R"(],"bootstrap":true,"countsAsLoss":false,)"
        << R"("limits":{"cpuShare":0.19,"cores":1,"memoryMb":110,)"
        << R"("maxFds":4100,"linkMbps":1000.0,"diskMb":0},"dataDir":null,)"
        << R"("discovery":"platform","entry":"vip","heartbeatMs":1200,)"
        << R"("contracts":["base","drain","config","cost","retry","recover",)"
        << R"("engine","stream","tenants","platform"],)"
        << R"("tolerate":{"machines":2,"zones":0,"regions":0},)"
        << R"("bounds":{"seedLagS":3,"reuseAfterS":2,"stableMs":3000,)"
        << R"("ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,)"
        << R"("lostMs":200,"configMs":2000,"downgradeMs":250,)"
        << R"("outerMs":5000,"strictRevoke":false,"revokeMs":5000,)"
        << R"("retryRatio":0.2,"retryWindowS":10,"retrySlack":56,)"
        << R"("recoverS":12,"passMs":120,"reuseWindowS":5.4},)"
        << R"("platform":{"addr":")" << store
        << R"(","form":"read","writesPerS":400,"readsPerS":2000,)"
        << R"("historyS":20,"valueBytes":1048576,"ttlMinMs":1000}})";
  }
  ~Gateway() { Kill(); }

  void Start() {
    process_ = ::fork();
    if (process_ != 0) {
      // For run_case.sh, in case this program is killed.
      std::ofstream(folder_ + "/processes", std::ios::app) << process_ << '\n';
      return;
    }
    ::setenv("BALSAMPADDLE_CONFIG", Settings().c_str(), 1);
    const std::string log = folder_ + "/" + name_ + ".log";
    const int descriptor =
        ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(descriptor, 1);
    ::dup2(descriptor, 2);
    const char* program = "target/platform/balsam-gateway";
    ::execl(program, program, nullptr);
    ::_exit(127);
  }
  // Waits until it takes clients; false after `limit`.
  bool WaitUntilReady(milliseconds limit = milliseconds(10000)) const {
    const auto end = Clock::now() + limit;
    while (Clock::now() < end) {
      if (IsReady()) return true;
      std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
  }
  bool IsReady() const {
    const int descriptor = Socket::Connect(ip_, ready_port_);
    if (descriptor < 0) return false;
    Socket socket(descriptor);
    socket.Write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
    std::string buffer;
    const auto head = ReadHead(socket, buffer);
    return head.has_value() && head->Status() == 200;
  }
  void Signal(int number) const {
    if (process_ > 0) ::kill(process_, number);
  }
  // Whether the process has ended by itself; `status` as of waitpid.
  bool HasEnded(int& status) {
    if (process_ <= 0) return true;
    if (::waitpid(process_, &status, WNOHANG) != process_) return false;
    process_ = -1;
    return true;
  }
  void Kill() {
    if (process_ <= 0) return;
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
    process_ = -1;
  }

  const std::string& name() const { return name_; }
  const std::string& ip() const { return ip_; }
  int front_port() const { return front_port_; }

 private:
  std::string Settings() const { return folder_ + "/" + name_ + ".json"; }

  std::string folder_;
  std::string name_;
  std::string ip_;
  int front_port_ = 0;
  int ready_port_ = 0;
  pid_t process_ = -1;
};

}  // namespace standin
