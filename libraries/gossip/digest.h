// What entries tell each other in datagrams: who they are and how new their
// view is, in digests, each of which replaces the one before; and what they run
// where, in updates of what changed.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/dispatch/usage.h"

namespace balsam::gossip {

// What an entry knows of another one, passed on.
struct PeerNews {
  // In the order in which one overrides another of the same standing.
  enum class State : std::uint8_t { kAlive, kSuspected, kLost };

  // A dotted IPv4 address.
  std::string ip;
  // Counts up whenever an older word of the entry is to be overridden: it was
  // heard again, or what it says of itself changed.
  std::uint32_t standing = 0;
  State state = State::kAlive;
  // It reached the store all the while lately.
  bool reaches_store = false;
};

// Its sender is known by the address that it comes from.
struct Digest {
  // Counts up with each digest of one process.
  std::uint64_t sequence = 0;
  // Differs between two lives of one process.
  std::uint64_t incarnation = 0;
  // Newest revision of the replicated configuration and directory.
  std::uint64_t revision = 0;
  // It reached the store all the while lately.
  bool reaches_store = false;
  // Of the sender, as in news of it.
  std::uint32_t standing = 0;
  // The sender wants a digest in return, at once.
  bool wants_answer = false;
  // Of other entries.
  std::vector<PeerNews> news;
  // Backend servers that said, when asked, that they leave.
  std::vector<std::string> leaving_servers;
  // Fingerprints of requests that crashed servers, with the crashes seen.
  std::map<std::uint64_t, std::int64_t> crashes;
};

// The load of the entry that sends it, at servers whose book the reader keeps
// and where something changed. By `dispatch::ServerKey`, as all below.
struct LoadUpdate {
  // From the same count as the digests'.
  std::uint64_t sequence = 0;
  dispatch::UsageByServer load;
};

// The load of all entries but the reader at servers whose book the sender
// keeps; in answer to a question if it has a number.
struct LoadSums {
  // The question's; zero if these are told unasked.
  std::uint64_t number = 0;
  dispatch::UsageByServer load;
};

// Asks for the sums of these servers.
struct LoadQuestion {
  // Names the question among the sender's; above zero.
  std::uint64_t number = 0;
  std::vector<std::uint32_t> servers;
};

using Message = std::variant<Digest, LoadUpdate, LoadSums, LoadQuestion>;

// CBOR (RFC 8949).
std::string Encode(const std::vector<PeerNews>& list);
std::string Encode(const Digest& digest);
std::string Encode(const LoadUpdate& update);
std::string Encode(const LoadSums& sums);
std::string Encode(const LoadQuestion& question);
// Fails with kInvalidPeerMessage.
Result<Message> Decode(std::string_view bytes);
Result<std::vector<PeerNews>> DecodeNews(std::string_view bytes);

}  // namespace balsam::gossip
