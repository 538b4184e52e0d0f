// The backend servers that have announced themselves, and the stage of life
// that each is in.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/boot_clock.h"

namespace balsam::directory {

struct Endpoint {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
  // "IP:PORT".
  std::string ToString() const;
  // Nothing unless `text` is "IP:PORT" with a dotted IPv4 address.
  static std::optional<Endpoint> Parse(std::string_view text);
};

// What a backend server says of itself.
struct BackendServer {
  std::string id;
  std::string service;
  Endpoint endpoint;
  std::string data_center;
  // Requests that it runs at once.
  int slots = 0;
  bool leaving = false;
  // How much longer it is slow after its start, as of its announcement.
  std::chrono::milliseconds cold_left{0};
  // The same as a time; the directory sets it.
  BootTime cold_until;
  // When this incarnation began; unset if it does not say.
  std::optional<std::chrono::milliseconds> born;
};

enum class Life {
  kReady,
  // Announced its end, or took its entry away: no new requests, and what runs
  // there is to be moved.
  kLeaving,
  // Its entry expired around an outage of the store. It may be alive and come
  // back: used only if no other server is ready.
  kLapsed,
};

// How a server was heard to say that it leaves.
enum class LeavingWord {
  // In a report or by its health; lapses where it is not heard again.
  kReported,
  // In an answer, which it never takes back.
  kFinal,
};

struct ServerChange {
  enum class Kind { kAppeared, kLeaving, kLapsed, kRestarted, kGone };
  Kind kind;
  std::string id;

  static constexpr std::string_view NameOf(Kind kind) {
    switch (kind) {
      case Kind::kAppeared:
        return "appeared";
      case Kind::kLeaving:
        return "leaving";
      case Kind::kLapsed:
        return "lapsed";
      case Kind::kRestarted:
        return "restarted";
      case Kind::kGone:
        return "gone";
    }
    return "";
  }
};

class BackendDirectory {
 public:
  struct Limits {
    // How long after an outage of the store its lost entries may come back
    // (platform: about two seconds, and the watch's delay).
    std::chrono::milliseconds lapse_grace{2500};
    // How long a server that left is remembered, so that the requests that it
    // still runs find it.
    std::chrono::milliseconds memory_of_leaving{15000};
  };

  explicit BackendDirectory(Limits limits) : limits_(limits) {}

  // An entry was written. Returns what it changed.
  std::optional<ServerChange> OnAnnounced(const BackendServer& server,
                                          BootTime now);
  // An entry was removed or cannot be read. `may_have_lapsed`: the store was
  // away shortly before, so this may be no word of the server's own.
  std::optional<ServerChange> OnRemoved(std::string_view id,
                                        bool may_have_lapsed, BootTime now);
  // The server itself, or another entry that asked it, says that it leaves.
  // Holds against entries that still call it ready, for this incarnation.
  std::optional<ServerChange> OnReportedLeaving(std::string_view id,
                                                LeavingWord word, BootTime now);
  // Nobody has heard for a while that it leaves: the store's word holds again.
  std::optional<ServerChange> OnReportLapsed(std::string_view id, BootTime now);
  // Whether it counts as leaving by reports alone, which may lapse.
  bool IsReportedOnly(std::string_view id) const;
  // Ends graces that have run out.
  std::vector<ServerChange> OnTime(BootTime now);

  // Null if unknown.
  const BackendServer* Find(std::string_view id) const;
  // Nothing if unknown.
  std::optional<Life> LifeOf(std::string_view id) const;
  // Calls `visit(server, life)` for each server of `service`.
  template <typename Visit>
  void ForEachOf(std::string_view service, Visit&& visit) const {
    for (const auto& [id, entry] : entries_) {
      if (entry.server.service == service) visit(entry.server, entry.life);
    }
  }
  template <typename Visit>
  void ForEach(Visit&& visit) const {
    for (const auto& [id, entry] : entries_) visit(entry.server, entry.life);
  }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    BackendServer server;
    Life life = Life::kReady;
    BootTime since;
    // Said by the server itself; an entry in the store may be older.
    bool reported_leaving = false;
    // Implies `reported_leaving`; no report that lapses changes it.
    bool leaving_is_final = false;
    // The store holds its entry.
    bool announced = true;
  };

  Limits limits_;
  std::map<std::string, Entry, std::less<>> entries_;
};

}  // namespace balsam::directory
