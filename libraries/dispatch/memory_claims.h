// Claims of engine memory by large requests that wait. Memory is freed in small
// pieces, and requests that fit into these take them at once, so a request that
// needs several pieces would never start while there is demand. It therefore
// claims one engine: its entry reports the claimed tokens as load there, all
// entries leave that memory to it, and it starts as soon as the rest of the
// memory has room for it. Claims last no longer than the reports of their entry
// and bind no one else's running generations.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/base/boot_clock.h"
#include "libraries/routing/configuration.h"

namespace balsam::dispatch {

// Identifies a claim of this entry.
using ClaimId = std::uint64_t;
inline constexpr ClaimId kNoClaim = 0;

struct MemoryClaim {
  std::string server;
  // The incarnation whose memory is claimed, as announced.
  std::optional<std::chrono::milliseconds> server_started_at;
  // Expected final size of the request.
  std::int64_t tokens = 0;
  BootTime began;
  BootTime expires_at;
};

// Why a claim ended.
enum class ClaimEnd {
  // The request was sent to the claimed engine.
  kStarted = 0,
  // Another engine had room for it first.
  kStartedElsewhere = 1,
  // The client left, or the request was answered.
  kRequestEnded = 2,
  // The memory was not free in time.
  kExpired = 3,
  // The engine leaves, is gone, or its data centre is evacuated.
  kServerClosed = 4,
  kServerRestarted = 5,
  // The engine fails, or asked for no requests before the claim expires.
  kServerUnavailable = 6,
};

std::string_view NameOf(ClaimEnd end);

class MemoryClaims {
 public:
  struct Limits {
    // A request that needs more than this share of an engine's memory is large.
    // Ordinary generations need about a tenth, so that several must end, with
    // none admitted between them, before a large one fits.
    double large_share = 1.0 / 6.0;
    // Claims of one entry at a time. A waiting claim costs a load query every
    // 50 ms, which the smallest machines can spare this often. Zero turns
    // claims off.
    std::size_t max_claims = 4;
    // Share of all engines' memory that may be claimed by all entries together,
    // as far as their claims are known here; one claim is always allowed. On
    // average half of what is claimed is not used yet.
    double max_fleet_share = 0.25;
  };

  explicit MemoryClaims(Limits limits) : limits_(limits) {}

  bool IsLarge(const routing::EngineTraits& engine, std::int64_t tokens) const;
  // Whether this entry may claim so many more tokens. `fleet_tokens`: the
  // memory of all engines of the service, of which `claimed_tokens` are claimed
  // by all entries.
  bool MayBegin(std::int64_t tokens, std::int64_t claimed_tokens,
                std::int64_t fleet_tokens) const;
  ClaimId Begin(MemoryClaim claim);
  // Does nothing for a claim that has ended.
  void End(ClaimId id) { claims_.erase(id); }

  // Null if there is no such claim.
  const MemoryClaim* Find(ClaimId id) const;
  // Tokens that this entry claims at the server.
  std::int64_t TokensAt(std::string_view server) const;
  // Tokens that this entry claims.
  std::int64_t tokens() const;
  const std::map<ClaimId, MemoryClaim>& claims() const { return claims_; }

 private:
  Limits limits_;
  // At most `max_claims`, each at another server.
  std::map<ClaimId, MemoryClaim> claims_;
  ClaimId last_id_ = kNoClaim;
};

// How long a claim with this latency objective and time until the deadline may
// last. A start within the objective is on time or a little late, which is
// better for the client than a refusal; after that, the memory is of more use
// to requests that can still be on time.
std::chrono::milliseconds MaxClaimTime(std::chrono::milliseconds objective,
                                       std::chrono::milliseconds time_left);

}  // namespace balsam::dispatch
