// The limits that backend servers name: how many requests a second each takes
// from all entries together. What was stated last counts, whether this entry or
// a peer received it.
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

  // A server responded. Returns whether its limit changed. A server that never
  // named a limit is not recorded.
  bool OnResponse(std::uint32_t server,
                  std::optional<double> requests_per_second, BootTime now);
  // A peer passed a statement on. Returns whether the limit changed.
  bool OnStatement(const Statement& statement, BootTime now);
  // The server is gone.
  void Forget(std::uint32_t server) { records_.erase(server); }
  // A new incarnation of the server started at `began`: ends a limit that only
  // the former one can have stated. Peers may pass it on for a while.
  void OnRestarted(std::uint32_t server, BootTime began);
  void RemoveExpired(BootTime now);

  std::optional<double> LimitOf(std::uint32_t server) const;
  // Returns nothing if the server is not recorded.
  std::optional<Statement> StatementOf(std::uint32_t server,
                                       BootTime now) const;
  // Returns up to `max_count` statements for a message to peers, in turn.
  std::vector<Statement> TakeStatements(std::size_t max_count, BootTime now);
  std::size_t size() const { return records_.size(); }

 private:
  struct Record {
    std::optional<double> requests_per_second;
    BootTime stated_at;
  };

  static bool HasExpired(const Record& record, BootTime now);
  bool Update(std::uint32_t server, Record record);
  static Statement ToStatement(std::uint32_t server, const Record& record,
                               BootTime now);

  std::map<std::uint32_t, Record> records_;
  // The last server whose statement was taken.
  std::uint32_t last_taken_ = 0;
};

}  // namespace balsam::limits
