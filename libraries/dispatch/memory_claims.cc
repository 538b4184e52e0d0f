// Bounds and bookkeeping of claims.
#include "libraries/dispatch/memory_claims.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace balsam::dispatch {
namespace {

using std::chrono::milliseconds;

// Maximum duration of a claim as a share of the time until the deadline, which
// leaves most of it to the run, and to a retry if the claim fails.
constexpr double kMaxShareOfTimeLeft = 0.3;

}  // namespace

std::string_view NameOf(ClaimEnd end) {
  switch (end) {
    case ClaimEnd::kStarted:
      return "started";
    case ClaimEnd::kStartedElsewhere:
      return "started_elsewhere";
    case ClaimEnd::kRequestEnded:
      return "request_ended";
    case ClaimEnd::kExpired:
      return "expired";
    case ClaimEnd::kServerClosed:
      return "server_closed";
    case ClaimEnd::kServerRestarted:
      return "server_restarted";
    case ClaimEnd::kServerUnavailable:
      return "server_unavailable";
  }
  return "";
}

bool MemoryClaims::IsLarge(const routing::EngineTraits& engine,
                           std::int64_t tokens) const {
  return engine.memory_tokens > 0 &&
         static_cast<double>(tokens) >
             limits_.large_share * static_cast<double>(engine.memory_tokens);
}

bool MemoryClaims::MayBegin(std::int64_t tokens, std::int64_t claimed_tokens,
                            std::int64_t fleet_tokens) const {
  if (claims_.size() >= limits_.max_claims) return false;
  const double max_claimed =
      limits_.max_fleet_share * static_cast<double>(fleet_tokens);
  return claimed_tokens == 0 ||
         static_cast<double>(claimed_tokens + tokens) <= max_claimed;
}

ClaimId MemoryClaims::Begin(MemoryClaim claim) {
  claims_.emplace(++last_id_, std::move(claim));
  return last_id_;
}

const MemoryClaim* MemoryClaims::Find(ClaimId id) const {
  const auto found = claims_.find(id);
  return found == claims_.end() ? nullptr : &found->second;
}

std::int64_t MemoryClaims::TokensAt(std::string_view server) const {
  return std::accumulate(
      claims_.begin(), claims_.end(), std::int64_t{0},
      [server](std::int64_t sum, const auto& item) {
        return item.second.server == server ? sum + item.second.tokens : sum;
      });
}

std::int64_t MemoryClaims::tokens() const {
  return std::accumulate(claims_.begin(), claims_.end(), std::int64_t{0},
                         [](std::int64_t sum, const auto& item) {
                           return sum + item.second.tokens;
                         });
}

milliseconds MaxClaimTime(milliseconds objective, milliseconds time_left) {
  return std::min(objective, std::chrono::duration_cast<milliseconds>(
                                 time_left * kMaxShareOfTimeLeft));
}

}  // namespace balsam::dispatch
