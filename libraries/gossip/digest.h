// Gossip datagrams between entries. Digests carry the sender's identity, the
// newest revision it holds and updates about other entries; each digest
// replaces the previous one. Load messages carry changes of load, repeated at
// intervals since datagrams may be lost, and load totals, which are also sent
// on request. Permits for limited servers are asked for one by one.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/dispatch/usage.h"
#include "libraries/limits/limit_table.h"
#include "libraries/quarantine/crash_ledger.h"

namespace balsam::gossip {

// The state of one entry, as disseminated by another.
struct PeerUpdate {
  // Ordered by precedence: at equal state versions the greater state wins.
  enum class State : std::uint8_t { kAlive, kSuspected, kLost };

  // A dotted IPv4 address.
  std::string ip;
  // Incremented to supersede earlier updates about the entry: when one that is
  // called suspected or lost sends a message, or when it changes what it
  // reports of itself.
  std::uint32_t state_version = 0;
  State state = State::kAlive;
  // The entry has recently been able to reach the store without interruption.
  bool reaches_store = false;
};

// A backend server that is leaving. A later incarnation under its id is not.
struct LeavingServer {
  std::string id;
  // When the incarnation started, in Unix time; unset if it is not known.
  std::optional<std::chrono::milliseconds> started_at;

  bool operator==(const LeavingServer&) const = default;
};

// The sender is identified by the source address of the datagram.
struct Digest {
  // Increases with each digest of one process.
  std::uint64_t sequence = 0;
  // Differs between two runs of the process at one address.
  std::uint64_t incarnation = 0;
  // Newest revision of the replicated configuration and directory.
  std::uint64_t revision = 0;
  // The sender has recently been able to reach the store without interruption.
  bool reaches_store = false;
  // State version of the sender, see `PeerUpdate`.
  std::uint32_t state_version = 0;
  // Of the entries that the sender considers alive, itself included; equal for
  // equal sets.
  std::uint32_t membership_hash = 0;
  // Asks the receiver to reply with a digest immediately.
  bool reply_requested = false;
  // State of other entries.
  std::vector<PeerUpdate> peer_updates;
  // Backend servers that said that they are leaving.
  std::vector<LeavingServer> leaving_servers;
  // Which requests crash servers.
  quarantine::Evidence evidence;
  // What servers stated about their limits.
  std::vector<limits::Statement> limits;
};

// Changes of the sender's own load, sent to an aggregator for the servers that
// it aggregates. Keyed by `dispatch::ServerKey`, like all loads below.
struct LoadUpdate {
  // Drawn from the same counter as the sequence numbers of digests.
  std::uint64_t sequence = 0;
  dispatch::UsageByServer load;
};

// The load of all entries except the receiver at servers that the sender
// aggregates; a reply to a `LoadQuery`, or sent unsolicited.
struct LoadTotals {
  // Identifies the query; zero if the totals are unsolicited.
  std::uint64_t query_id = 0;
  dispatch::UsageByServer load;
};

// Requests the load totals of these servers.
struct LoadQuery {
  // Unique among the sender's queries; greater than zero.
  std::uint64_t query_id = 0;
  std::vector<std::uint32_t> servers;
};

// Asks the issuer of a limited server's permits for one.
struct PermitRequest {
  // Unique among the sender's requests; zero if a request was sent to the
  // server without a permit, which is only reported.
  std::uint64_t id = 0;
  // What the sender knows of the limit that the server named.
  limits::Statement limit;
  // The requests a second that the server bears, if it is cold as far as the
  // sender knows. The issuer may not have heard of it yet.
  std::optional<double> cold_requests_per_second = std::nullopt;
};

// The reply to a `PermitRequest`.
struct PermitReply {
  std::uint64_t id = 0;
  bool is_granted = false;
  // If not granted: when to ask again.
  std::chrono::milliseconds retry_after{0};
  // What the issuer knows of the server's limit.
  limits::Statement limit;
};

using Message = std::variant<Digest, LoadUpdate, LoadTotals, LoadQuery,
                             PermitRequest, PermitReply>;

// Encodes as CBOR (RFC 8949).
std::string Encode(const std::vector<PeerUpdate>& list);
std::string Encode(const Digest& digest);
std::string Encode(const LoadUpdate& update);
std::string Encode(const LoadTotals& totals);
std::string Encode(const LoadQuery& query);
std::string Encode(const PermitRequest& request);
std::string Encode(const PermitReply& reply);
// Fails with kInvalidPeerMessage.
Result<Message> Decode(std::string_view bytes);
Result<std::vector<PeerUpdate>> DecodePeerList(std::string_view bytes);

}  // namespace balsam::gossip
