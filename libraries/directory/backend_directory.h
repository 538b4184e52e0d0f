// The backend servers that have announced themselves in the store, and the
// state of each.
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
#include "libraries/directory/evacuation_list.h"

namespace balsam::directory {

struct Endpoint {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
  // "IP:PORT".
  std::string ToString() const;
  // Returns nothing unless `text` is "IP:PORT" with a dotted IPv4 address.
  static std::optional<Endpoint> Parse(std::string_view text);
};

// The announcement of a backend server.
struct BackendServer {
  std::string id;
  std::string service;
  Endpoint endpoint;
  std::string data_center;
  // Number of requests that it runs concurrently.
  int slots = 0;
  bool leaving = false;
  // How much longer it is slow after its start, at the time of its
  // announcement.
  std::chrono::milliseconds cold_left{0};
  // When it stops being slow; set by the directory.
  BootTime cold_until;
  // When this incarnation started, in Unix time; unset if it was not announced.
  std::optional<std::chrono::milliseconds> started_at;
  // Time since then when its announcement was received, by this VM's clock,
  // which may differ from the server's by seconds.
  std::chrono::milliseconds age{0};
};

enum class ServerState {
  kReady,
  // Announced that it leaves, or removed its announcement: it gets no new
  // requests, and those that it runs are to be migrated.
  kLeaving,
  // Its announcement expired around an outage of the store. It may still be
  // alive and return, so it is used only if no other server is ready.
  kLapsed,
};

// How a server gave notice that it leaves.
enum class LeavingNotice {
  // In a report or by its health check; expires unless it is repeated.
  kReported,
  // In its response to a request; never revoked.
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

// How far the clocks of a backend server and of this VM may differ.
inline constexpr std::chrono::milliseconds kMaxClockError{2000};

class BackendDirectory {
 public:
  struct Limits {
    // How long after an outage of the store expired announcements may return:
    // about two seconds on the platform, plus the delay of the watch.
    std::chrono::milliseconds lapsed_grace_period{2500};
    // How long a server that left is retained for the requests that it still
    // runs.
    std::chrono::milliseconds leaving_retention{15000};
    // How long a restored announcement is doubted. Longer than the store keeps
    // one that its server does not renew.
    std::chrono::milliseconds restored_doubt{5000};
    // The same for an announcement of a former incarnation.
    std::chrono::milliseconds former_doubt{5000};
    EvacuationList::Limits evacuations;
  };

  explicit BackendDirectory(Limits limits)
      : limits_(limits), evacuations_(limits.evacuations) {}

  // Called when an announcement was written. Returns the resulting change. That
  // a server has restarted may become known long after its new incarnation is
  // in use, so notices that the new one may have given remain valid. An
  // announcement of a former incarnation has been overtaken by the one that is
  // known: it counts only if it is not replaced for a while, as the clock of a
  // server may have been set back.
  std::optional<ServerChange> OnAnnounced(const BackendServer& server,
                                          BootTime now);
  // Called when the store was restored from an older copy and holds this
  // announcement. The server may have left since the copy was made: one that
  // was known to leave, or that is not known, counts as leaving until its
  // announcement is written again or has proved to be renewed.
  std::optional<ServerChange> OnRestored(const BackendServer& server,
                                         BootTime now);
  // Called when an announcement was removed or cannot be parsed.
  // `may_have_lapsed` means that the store was unavailable shortly before, so
  // the announcement may have expired instead of being removed by the server.
  std::optional<ServerChange> OnRemoved(std::string_view id,
                                        bool may_have_lapsed, BootTime now);
  // Called when the server itself, or another entry that polled it, reports
  // that it leaves. Takes precedence over announcements of the same incarnation
  // that still call the server ready.
  std::optional<ServerChange> OnReportedLeaving(std::string_view id,
                                                LeavingNotice notice,
                                                BootTime now);
  // Called when no report that the server leaves was received for a while: its
  // announcement in the store applies again.
  std::optional<ServerChange> OnLeavingReportExpired(std::string_view id,
                                                     BootTime now);
  // Called when a response of the present incarnation says that it stays cold
  // for this long. An announcement may say less, as it was made earlier.
  void OnReportedCold(std::string_view id, std::chrono::milliseconds left,
                      BootTime now);
  // Whether the server counts as leaving only because of reports, which expire.
  bool IsLeavingByReportOnly(std::string_view id) const;
  // Applies the grace and retention periods that have ended.
  std::vector<ServerChange> ProcessTimeouts(BootTime now);

  EvacuationList& evacuations() { return evacuations_; }
  const EvacuationList& evacuations() const { return evacuations_; }
  // Whether a known server's data centre is evacuated.
  bool IsEvacuated(std::string_view id) const;
  // Whether new requests may be sent to `server`, which is in `state`, as far
  // as its own notices and the operators say.
  bool AcceptsRequests(const BackendServer& server, ServerState state) const {
    return state != ServerState::kLeaving &&
           !evacuations_.Contains(server.data_center);
  }

  // Returns null if the server is unknown.
  const BackendServer* Find(std::string_view id) const;
  // Whether an incarnation that started then precedes the one that is known.
  bool IsFormer(std::string_view id,
                std::optional<std::chrono::milliseconds> started_at) const;
  // When the present incarnation became known; zero if the server is unknown.
  BootTime KnownSince(std::string_view id) const;
  // Returns nothing if the server is unknown.
  std::optional<ServerState> StateOf(std::string_view id) const;
  // Calls `visit(server, state)` for each server of `service`.
  template <typename Visit>
  void ForEachOfService(std::string_view service, Visit&& visit) const {
    for (const auto& [id, entry] : entries_) {
      if (entry.server.service == service) visit(entry.server, entry.state);
    }
  }
  template <typename Visit>
  void ForEach(Visit&& visit) const {
    for (const auto& [id, entry] : entries_) visit(entry.server, entry.state);
  }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    BackendServer server;
    ServerState state = ServerState::kReady;
    BootTime state_since;
    // Reported by the server itself or by an entry that polled it; its
    // announcement may be older.
    bool reported_leaving = false;
    // Implies `reported_leaving`, which then does not expire.
    bool leaving_is_final = false;
    // When the incarnation became known.
    BootTime known_since{};
    // When the last such notice was received.
    BootTime noticed_leaving_at{};
    // The store holds its announcement.
    bool announced = true;
    // Until then, a restored announcement does not make the server ready; zero
    // if it was not restored, or was confirmed.
    BootTime doubted_until{};
    // The last announcement, if it is of an earlier incarnation than `server`.
    std::optional<BackendServer> former = std::nullopt;
    // When that was received.
    BootTime former_since{};
  };

  // Applies an announcement. `restarted`: it is of another incarnation than the
  // entry.
  static std::optional<ServerChange> Apply(Entry& entry,
                                           const BackendServer& server,
                                           bool restarted, BootTime now);
  // Drops the notices of a former incarnation; the new one started at `began`.
  static void ForgetOldNotices(Entry& entry, BootTime began);
  // Returns whether the restored announcement of a server that counts as
  // leaving has been renewed for long enough.
  static bool IsConfirmed(const Entry& entry, BootTime now);

  Limits limits_;
  EvacuationList evacuations_;
  std::map<std::string, Entry, std::less<>> entries_;
};

}  // namespace balsam::directory
