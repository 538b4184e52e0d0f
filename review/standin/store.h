// The platform's metadata store: reads and watches of keys that the operator
// and the engines wrote.
#pragma once

#include <condition_variable>
#include <vector>

#include "net.h"

namespace standin {

inline std::string Base64(const std::string& text) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      bits =
          bits << 8 |
          (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0u);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j <= text.size() ? kDigits[bits >> (18 - 6 * j) & 63] : '=';
    }
  }
  return out;
}

class Store {
 public:
  explicit Store(const std::string& ip)
      : server_(ip, [this](Socket& socket, const Message& request) {
          return Handle(socket, request);
        }) {}

  std::string address() const { return server_.address(); }

  void Put(const std::string& key, const std::string& value) {
    const std::scoped_lock lock(mutex_);
    entries_[key] = {++revision_, value, false};
    changed_.notify_all();
  }
  void Delete(const std::string& key) {
    const std::scoped_lock lock(mutex_);
    entries_[key] = {++revision_, {}, true};
    changed_.notify_all();
  }

 private:
  struct Entry {
    std::uint64_t revision = 0;
    std::string value;
    bool deleted = false;
  };

  static std::uint64_t Number(const std::string& target,
                              const std::string& name) {
    const auto at = target.find(name + "=");
    if (at == std::string::npos) return 0;
    return std::strtoull(target.c_str() + at + name.size() + 1, nullptr, 10);
  }
  static std::string ItemText(const std::string& key, const Entry& entry) {
    const std::string revision = std::to_string(entry.revision);
    std::string text = R"({"key":")" + key + R"(","rev":)" + revision;
    if (entry.deleted) return text + R"(,"deleted":true})";
    return text + R"(,"created":)" + revision + R"(,"lease":0,"value":")" +
           Base64(entry.value) + "\"}";
  }
  // Items that changed after `after`; `with_deleted`: also deletions.
  std::string Items(std::uint64_t after, bool with_deleted) const {
    std::string items;
    for (const auto& [key, entry] : entries_) {
      if (entry.revision <= after || (entry.deleted && !with_deleted)) continue;
      if (!items.empty()) items += ',';
      items += ItemText(key, entry);
    }
    return items;
  }
  bool Handle(Socket& socket, const Message& request) {
    const std::string target = request.Target();
    std::this_thread::sleep_for(milliseconds(4));
    std::unique_lock lock(mutex_);
    std::string body;
    if (target.starts_with("/kv-range")) {
      body = R"({"items":[)" + Items(0, false) +
             R"(],"truncated":false,"storeRevision":)" +
             std::to_string(revision_) + "}";
    } else if (target.starts_with("/kv-watch")) {
      const std::uint64_t after = Number(target, "after");
      changed_.wait_for(lock, milliseconds(Number(target, "waitMs")),
                        [&] { return revision_ > after; });
      body = R"({"events":[)" + Items(after, true) + R"(],"storeRevision":)" +
             std::to_string(revision_) + "}";
    } else {
      return socket.Write(Response("404 Not Found", "", ""));
    }
    lock.unlock();
    return socket.Write(
        Response("200 OK", "Content-Type: application/json\r\n", body));
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Entry> entries_;
  std::uint64_t revision_ = 100;
  Server server_;
};

}  // namespace standin
