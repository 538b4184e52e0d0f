// Sockets, HTTP/1.1 messages and the record of a case. All addresses are in
// 127.0.0.0/8. One thread per connection, since no case needs more than some
// hundred of them.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::duration<double, std::milli>;

inline const Clock::time_point kStart = Clock::now();
inline double NowMs() { return Ms(Clock::now() - kStart).count(); }
inline void SleepUntil(double ms) {
  std::this_thread::sleep_until(
      kStart + std::chrono::duration_cast<Clock::duration>(Ms(ms)));
}
inline void SleepMs(double ms) { SleepUntil(NowMs() + ms); }

// Lines of record.txt, with the time in milliseconds.
class Record {
 public:
  void Open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void Line(const std::string& text) {
    const std::scoped_lock lock(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%10.1f %s\n", NowMs(), text.c_str());
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};
inline Record record;

inline std::string Lower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

struct Head {
  // The request line or the status line.
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> fields;

  std::string Get(const std::string& name) const {
    for (const auto& [key, value] : fields) {
      if (Lower(key) == Lower(name)) return value;
    }
    return {};
  }
  bool Has(const std::string& name) const { return !Get(name).empty(); }
  std::string Word(int index) const {
    std::size_t begin = 0;
    for (int i = 0; i < index; ++i) {
      begin = first_line.find(' ', begin);
      if (begin == std::string::npos) return {};
      ++begin;
    }
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
  }
  std::string method() const { return Word(0); }
  std::string target() const { return Word(1); }
  int status() const { return std::atoi(Word(1).c_str()); }
};

class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {
    const int on = 1;
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  int descriptor() const { return descriptor_; }
  void Close() {
    if (descriptor_ >= 0) ::close(std::exchange(descriptor_, -1));
  }
  // Closes the connection with a reset.
  void Reset() {
    const linger now{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }
  bool Write(const std::string& bytes) {
    for (std::size_t sent = 0; sent < bytes.size();) {
      const ssize_t count = ::send(descriptor_, bytes.data() + sent,
                                   bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) return false;
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }
  // Reads more into the buffer. Returns false at the end of the connection,
  // after an error or at `until`.
  bool Fill(double until) {
    pollfd ready{descriptor_, POLLIN, 0};
    while (true) {
      const double left = until - NowMs();
      if (left <= 0) {
        timed_out_ = true;
        return false;
      }
      const int count = ::poll(&ready, 1, static_cast<int>(left) + 1);
      if (count < 0 && errno == EINTR) continue;
      if (count > 0) break;
    }
    char bytes[16384];
    const ssize_t count = ::recv(descriptor_, bytes, sizeof(bytes), 0);
    if (count < 0) was_reset_ = true;
    if (count <= 0) return false;
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
  std::optional<Head> ReadHead(double until) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) return std::nullopt;
    }
    Head head;
    std::size_t at = 0;
    bool first = true;
    while (at < end) {
      const std::size_t stop = std::min(buffer_.find("\r\n", at), end);
      const std::string line = buffer_.substr(at, stop - at);
      at = stop + 2;
      if (std::exchange(first, false)) {
        head.first_line = line;
        continue;
      }
      const std::size_t colon = line.find(':');
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      head.fields.emplace_back(line.substr(0, colon), line.substr(value));
    }
    buffer_.erase(0, end + 4);
    return head;
  }
  // Returns the next bytes, up to `size`.
  std::optional<std::string> ReadSome(std::size_t size, double until) {
    if (buffer_.empty() && !Fill(until)) return std::nullopt;
    std::string bytes = buffer_.substr(0, size);
    buffer_.erase(0, bytes.size());
    return bytes;
  }
  std::optional<std::string> ReadExactly(std::size_t size, double until) {
    while (buffer_.size() < size) {
      if (!Fill(until)) return std::nullopt;
    }
    std::string bytes = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return bytes;
  }
  std::optional<std::string> ReadLine(double until) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
      if (!Fill(until)) return std::nullopt;
    }
    std::string line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return line;
  }
  // Whether the other side has closed its end, or sent something.
  bool HasNews() const {
    pollfd ready{descriptor_, POLLIN | POLLRDHUP, 0};
    return ::poll(&ready, 1, 0) > 0;
  }
  bool was_reset() const { return was_reset_; }
  bool timed_out() const { return timed_out_; }

 private:
  int descriptor_;
  std::string buffer_;
  bool was_reset_ = false;
  bool timed_out_ = false;
};

struct Address {
  std::string ip;
  int port = 0;
  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  ::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

inline int ConnectTo(const Address& address) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in target = ToSocketAddress(address);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&target),
                sizeof(target)) == 0) {
    return descriptor;
  }
  ::close(descriptor);
  return -1;
}

// A port that is free at this address, for TCP and UDP.
inline int FreePort(const std::string& ip) {
  for (int i = 0; i < 100; ++i) {
    const int tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = ToSocketAddress({ip, 0});
    socklen_t size = sizeof(address);
    ::bind(tcp, reinterpret_cast<sockaddr*>(&address), size);
    ::getsockname(tcp, reinterpret_cast<sockaddr*>(&address), &size);
    const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const int error =
        ::bind(udp, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    ::close(tcp);
    ::close(udp);
    if (error == 0) return ntohs(address.sin_port);
  }
  return 0;
}

// Accepts connections and runs `serve` for each in a thread of its own.
class Server {
 public:
  using Serve = std::function<void(Connection&)>;

  explicit Server(const std::string& ip, Serve serve, int port = 0)
      : serve_(std::move(serve)), address_{ip, port} {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in own = ToSocketAddress(address_);
    socklen_t size = sizeof(own);
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&own), size) != 0 ||
        ::listen(listener_, 512) != 0) {
      std::perror("listen");
      std::_Exit(2);
    }
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&own), &size);
    address_.port = ntohs(own.sin_port);
    std::thread([this] { Accept(); }).detach();
  }
  const Address& address() const { return address_; }

 private:
  void Accept() {
    while (true) {
      const int descriptor =
          ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0) continue;
      std::thread([this, descriptor] {
        Connection connection(descriptor);
        serve_(connection);
      }).detach();
    }
  }

  Serve serve_;
  Address address_;
  int listener_ = -1;
};

inline std::string Response(int status, const std::string& reason,
                            const std::string& fields,
                            const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string ReadBody(Connection& connection, const Head& head,
                            double until) {
  const std::string length = head.Get("Content-Length");
  if (length.empty()) return {};
  return connection.ReadExactly(std::stoul(length), until).value_or("");
}

}  // namespace review
