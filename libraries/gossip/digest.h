// What entries tell each other in datagrams: who they are, how new their view
// is, and what they run where. A lost one is replaced by the next.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/dispatch/server_selector.h"

namespace balsam::gossip {

struct Digest {
  std::string ip;
  // Counts up with each digest of one process.
  std::uint64_t sequence = 0;
  // Differs between two lives of one process.
  std::uint64_t incarnation = 0;
  // Newest revision of the replicated configuration and directory.
  std::uint64_t revision = 0;
  // It reached the store all the while lately.
  bool reaches_store = false;
  // This entry's requests by `dispatch::ServerKey` of the backend server.
  std::map<std::uint32_t, dispatch::Usage> usage;
  // Addresses of other entries heard from.
  std::vector<std::string> peers;
  // Backend servers that said, when asked, that they leave.
  std::vector<std::string> leaving_servers;
  // Fingerprints of requests that crashed servers, with the crashes seen.
  std::map<std::uint64_t, std::int64_t> crashes;
};

// CBOR (RFC 8949).
std::string Encode(const Digest& digest);
// Fails with kInvalidPeerMessage.
Result<Digest> Decode(std::string_view bytes);

}  // namespace balsam::gossip
