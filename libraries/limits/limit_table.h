// How many requests a second backend servers take from all entries together:
// the limits that they name, and the rates that cold ones bear. Of what a
// server named, the last statement counts, whether this entry or a peer
// received it. That a server is cold is known apart from that, so that neither
// ends the other; entries do not pass it on as a statement, since each learns
// it from the server's announcement.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "libraries/base/boot_clock.h"

namespace balsam::limits {

// What a server stated about its limit, as entries tell each other. Keyed by
// `dispatch::ServerKey`, like all servers below.
struct Statement {
  std::uint32_t server = 0;
  // Unset if the server named no limit, which ends an earlier one.
  std::optional<double> requests_per_second;
  // How long ago the server stated it.
  std::chrono::milliseconds age{0};

  bool operator==(const Statement&) const = default;
};

class LimitTable {
 public:
  // The highest limit; a server that names a higher one is not in need.
  static constexpr double kMaxRequestsPerSecond = 1e6;
  // How long it is remembered that a limit ended, so that peers that have not
  // heard of it yet do not revive it.
  static constexpr std::chrono::milliseconds kEndRetention{10000};
  // A limit that no response has confirmed for this long is dropped, since a
  // server that gets any requests confirms it each time.
  static constexpr std::chrono::milliseconds kLimitRetention{30000};
  // How long it holds that a peer counts a server as cold. A peer that still
  // does says so with each request for a permit.
  static constexpr std::chrono::milliseconds kColdClaimRetention{1000};

  // A server responded. Returns whether its limit changed. A server that never
  // named a limit is not recorded.
  bool OnResponse(std::uint32_t server,
                  std::optional<double> requests_per_second, BootTime now);
  // A peer passed a statement on. Returns whether the limit changed.
  bool OnStatement(const Statement& statement, BootTime now);
  // The server is cold until then, and bears this many requests a second from
  // all entries together. Returns whether it was not cold before.
  bool SetCold(std::uint32_t server, double requests_per_second,
               BootTime until);
  // The server is not cold any more.
  void EndCold(std::uint32_t server) { cold_.erase(server); }
  // A peer that asks for a permit counts the server as cold. This entry may not
  // know it yet.
  void OnColdClaim(std::uint32_t server, double requests_per_second,
                   BootTime now);
  // The server is gone.
  void Forget(std::uint32_t server);
  // A new incarnation of the server started at `began`: ends a limit that only
  // the former one can have stated. Peers may pass it on for a while.
  void OnRestarted(std::uint32_t server, BootTime began);
  void RemoveExpired(BootTime now);

  // The smaller of the limit that the server named and of the rate that it
  // bears while it is cold; nothing if neither binds.
  std::optional<double> LimitOf(std::uint32_t server) const;
  // The limit that the server named.
  std::optional<double> StatedLimitOf(std::uint32_t server) const;
  // The rate that the server bears if it is cold, as known here or by a peer.
  std::optional<double> ColdRateOf(std::uint32_t server) const;
  // The same as known here, to be told to peers. What peers claimed is left
  // out: entries would keep it alive by telling it to each other.
  std::optional<double> OwnColdRateOf(std::uint32_t server) const;
  // Returns nothing if the server is not recorded.
  std::optional<Statement> StatementOf(std::uint32_t server,
                                       BootTime now) const;
  // The same for a message about the server's permits, which needs one: without
  // a record, one that has expired and changes nothing at the recipient.
  Statement StatementForMessage(std::uint32_t server, BootTime now) const;
  // Returns up to `max_count` statements for a message to peers, in turn.
  std::vector<Statement> TakeStatements(std::size_t max_count, BootTime now);
  // Number of servers with a statement.
  std::size_t size() const { return records_.size(); }
  // Number of servers that are cold, as known here.
  std::size_t cold_count() const { return cold_.size(); }

 private:
  struct Record {
    std::optional<double> requests_per_second;
    BootTime stated_at;
  };
  struct ColdRate {
    double requests_per_second = 0.0;
    BootTime until;
  };
  using ColdRates = std::map<std::uint32_t, ColdRate>;

  static bool HasExpired(const Record& record, BootTime now);
  bool Update(std::uint32_t server, Record record);
  static Statement ToStatement(std::uint32_t server, const Record& record,
                               BootTime now);

  std::map<std::uint32_t, Record> records_;
  ColdRates cold_;
  // By what peers say.
  ColdRates claimed_cold_;
  // The last server whose statement was taken.
  std::uint32_t last_taken_ = 0;
};

}  // namespace balsam::limits
