// Sockets and HTTP/1.1 for the stand-ins: a server with one thread for each
// connection, and a blocking client. Loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline std::string Lower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

// A request or a response. Header names are in lower case.
struct Message {
  std::string start_line;
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const {
    const auto found = headers.find(Lower(name));
    return found == headers.end() ? std::string() : found->second;
  }
  // Of a request.
  std::string Method() const {
    return start_line.substr(0, start_line.find(' '));
  }
  std::string Target() const {
    const auto begin = start_line.find(' ') + 1;
    return start_line.substr(begin, start_line.find(' ', begin) - begin);
  }
  // Of a response.
  int Status() const {
    return start_line.size() < 12 ? 0 : std::atoi(start_line.c_str() + 9);
  }
};

class Socket {
 public:
  explicit Socket(int descriptor) : descriptor_(descriptor) {
    const int on = 1;
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Socket() { ::close(descriptor_); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  static int Connect(const std::string& ip, int port) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address)) == 0) {
      return descriptor;
    }
    ::close(descriptor);
    return -1;
  }

  bool Write(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const auto count = ::send(descriptor_, bytes.data() + sent,
                                bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) return false;
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }
  // Appends what arrives to `buffer`. Returns false at the end of the stream,
  // after an error and when nothing arrived in `limit`.
  bool Read(std::string& buffer, milliseconds limit = milliseconds(60000)) {
    pollfd item{descriptor_, POLLIN, 0};
    if (::poll(&item, 1, static_cast<int>(limit.count())) <= 0) return false;
    char bytes[16384];
    const auto count = ::recv(descriptor_, bytes, sizeof(bytes), 0);
    if (count <= 0) return false;
    buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
  // Whether the peer has closed or reset the connection.
  bool IsClosedByPeer() const {
    char byte = 0;
    const auto count = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
  }
  // Closing then resets the connection.
  void ResetOnClose() {
    const linger option{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  }
  void Shutdown() { ::shutdown(descriptor_, SHUT_RDWR); }

 private:
  int descriptor_;
};

// Reads the head of a message; `buffer` keeps what follows it.
inline std::optional<Message> ReadHead(Socket& socket, std::string& buffer) {
  std::size_t end = std::string::npos;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!socket.Read(buffer)) return std::nullopt;
  }
  Message message;
  const std::string head = buffer.substr(0, end + 2);
  buffer.erase(0, end + 4);
  std::size_t at = head.find("\r\n");
  message.start_line = head.substr(0, at);
  for (at += 2; at < head.size();) {
    const std::size_t line_end = head.find("\r\n", at);
    const std::string line = head.substr(at, line_end - at);
    at = line_end + 2;
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    message.headers[Lower(line.substr(0, colon))] = value;
  }
  return message;
}

// Reads a body with a length. False if it is not complete.
inline bool ReadSizedBody(Socket& socket, std::string& buffer,
                          Message& message) {
  const auto length = static_cast<std::size_t>(
      std::atoll(message.Header("Content-Length").c_str()));
  while (buffer.size() < length) {
    if (!socket.Read(buffer)) return false;
  }
  message.body = buffer.substr(0, length);
  buffer.erase(0, length);
  return true;
}

// Reads a chunked body, and passes on each chunk. False if it is not complete.
inline bool ReadChunks(
    Socket& socket, std::string& buffer,
    const std::function<void(const std::string&)>& on_chunk) {
  while (true) {
    std::size_t line_end = std::string::npos;
    while ((line_end = buffer.find("\r\n")) == std::string::npos) {
      if (!socket.Read(buffer)) return false;
    }
    const std::size_t size =
        std::stoul(buffer.substr(0, line_end), nullptr, 16);
    while (buffer.size() < line_end + 2 + size + 2) {
      if (!socket.Read(buffer)) return false;
    }
    const std::string chunk = buffer.substr(line_end + 2, size);
    buffer.erase(0, line_end + 2 + size + 2);
    if (size == 0) return true;
    on_chunk(chunk);
  }
}

// Bytes of a response with a length. `head` holds further header lines.
inline std::string Response(const std::string& status, const std::string& head,
                            const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + head +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class Server {
 public:
  // Handles one request. Returns false to close the connection.
  using Handler = std::function<bool(Socket&, const Message&)>;

  // Port 0 takes any that is free.
  Server(std::string ip, Handler handler, int port = 0)
      : ip_(std::move(ip)), handler_(std::move(handler)) {
    descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip_.c_str(), &address.sin_addr);
    socklen_t size = sizeof(address);
    if (::bind(descriptor_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::listen(descriptor_, 128) != 0) {
      std::perror("listen");
      std::exit(2);
    }
    ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    std::thread([this] { Accept(); }).detach();
  }

  int port() const { return port_; }
  std::string address() const { return ip_ + ":" + std::to_string(port_); }
  // Resets all connections and refuses new ones, as a process that was killed.
  void Stop() {
    stopped_ = true;
    ::shutdown(descriptor_, SHUT_RDWR);
    ::close(descriptor_);
    const std::scoped_lock lock(mutex_);
    for (Socket* socket : sockets_) {
      socket->ResetOnClose();
      socket->Shutdown();
    }
  }

 private:
  void Accept() {
    while (!stopped_) {
      const int accepted =
          ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) return;
      std::thread([this, accepted] { Serve(accepted); }).detach();
    }
  }
  void Serve(int descriptor) {
    Socket socket(descriptor);
    {
      const std::scoped_lock lock(mutex_);
      sockets_.insert(&socket);
    }
    std::string buffer;
    while (true) {
      auto request = ReadHead(socket, buffer);
      if (!request.has_value()) break;
      if (!ReadSizedBody(socket, buffer, *request)) break;
      if (!handler_(socket, *request)) break;
    }
    const std::scoped_lock lock(mutex_);
    sockets_.erase(&socket);
  }

  std::string ip_;
  Handler handler_;
  int descriptor_ = -1;
  int port_ = 0;
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::set<Socket*> sockets_;
};

// A port that is free at the moment, for TCP and UDP.
inline int FreePort(const std::string& ip) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  socklen_t size = sizeof(address);
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size);
  ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(descriptor);
  return ntohs(address.sin_port);
}

}  // namespace standin
