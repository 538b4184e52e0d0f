// Which clients lose their place when requests hold too much memory, or when
// there are too many connections. Decides without I/O: the owner of a holding
// refuses or closes what is returned.
//
// Memory counts from a request's first byte until it is answered. A quarter of
// it is reserved for small holdings, so that large ones cannot crowd out
// ordinary requests. A request that may already run is never chosen.
#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstddef>
#include <map>
#include <ranges>
#include <tuple>
#include <utility>

#include "libraries/base/boot_clock.h"

namespace balsam::intake {

struct Limits {
  // Memory that requests may hold together, in bytes.
  std::size_t memory_bytes = std::size_t{128} << 20;
  // Number of client connections.
  std::size_t connections = 12'000;

  // Returns a quarter of the machine's memory: the rest is for the process, its
  // responses and the allocator; and three quarters of the sockets, since
  // servers, peers and the store need some too.
  static constexpr Limits ForMachine(std::size_t memory_bytes,
                                     std::size_t sockets) {
    return {memory_bytes / 4, sockets / 4 * 3};
  }
};

// In the order in which connections are closed when there are too many.
enum class Stage {
  // Between requests.
  kIdle,
  // Refused; only what still arrives is discarded.
  kClosing,
  // Part of a request has arrived.
  kReceiving,
  // A request is complete and has no final response yet.
  kServing,
};

// What one connection holds. Only the account changes it.
struct Holding {
  Stage stage = Stage::kIdle;
  std::size_t bytes = 0;
  // When the request began; meaningful unless idle.
  BootTime began;
  // When the stage was entered, or bytes of the request last arrived.
  BootTime last_active;
};

template <typename Owner>
class ClientAccount {
 public:
  // A holding up to this size counts as small: an ordinary request, but not a
  // head that many short lines inflate.
  static constexpr std::size_t kSmallBytes = 64 << 10;

  explicit ClientAccount(Limits limits) : limits_(limits) {}

  void SetLimits(Limits limits) { limits_ = limits; }

  // The reference is valid until the owner is removed.
  Holding& Add(Owner* owner, BootTime now) {
    Holding& holding = holdings_[owner];
    holding.began = holding.last_active = now;
    return holding;
  }

  void Remove(Owner* owner) {
    const auto found = holdings_.find(owner);
    if (found == holdings_.end()) return;
    Resize(found->second, 0);
    holdings_.erase(found);
  }

  void Enter(Holding& holding, Stage stage, BootTime now) {
    if (stage == Stage::kReceiving) holding.began = now;
    holding.stage = stage;
    holding.last_active = now;
  }

  // More of the request has arrived.
  void OnReceived(Holding& holding, BootTime now) { holding.last_active = now; }

  void Resize(Holding& holding, std::size_t bytes) {
    if (IsLarge(holding)) large_bytes_ -= holding.bytes;
    bytes_ = bytes_ - holding.bytes + bytes;
    holding.bytes = bytes;
    if (IsLarge(holding)) large_bytes_ += bytes;
  }

  // Returns whose request is to be refused next; null once the limit is kept,
  // or if nothing can be refused. Large holdings lose their place before small
  // ones, incomplete requests before complete ones, and then the one that has
  // occupied the most memory for the longest time: it stalls or is slow.
  // `may_refuse`: the owner's request has certainly not run and will not.
  template <std::predicate<Owner*> MayRefuse>
  Owner* NextToRefuse(BootTime now, MayRefuse may_refuse) const {
    const bool too_many_large = large_bytes_ > limits_.memory_bytes / 4 * 3;
    if (!too_many_large && bytes_ <= limits_.memory_bytes) return nullptr;
    Owner* worst = nullptr;
    std::tuple<bool, bool, double> worst_rank;
    for (const auto& [owner, holding] : holdings_) {
      // Small ones alone do not exceed the share of large ones.
      const bool counts = IsLarge(holding) || bytes_ > limits_.memory_bytes;
      if (holding.bytes == 0 || !counts) continue;
      const auto rank = RankOf(holding, now);
      if ((worst != nullptr && rank <= worst_rank) || !may_refuse(owner)) {
        continue;
      }
      worst = owner;
      worst_rank = rank;
    }
    return worst;
  }

  // Returns whose connection is to be closed next; null once the limit is kept,
  // or if all have a complete request.
  Owner* NextToClose() const {
    if (holdings_.size() <= limits_.connections) return nullptr;
    const auto next =
        std::ranges::min_element(holdings_, {}, [](const auto& item) {
          return std::pair(item.second.stage, item.second.last_active);
        });
    return next->second.stage == Stage::kServing ? nullptr : next->first;
  }

  // Memory that requests hold, in bytes.
  std::size_t bytes() const { return bytes_; }

 private:
  static bool IsLarge(const Holding& holding) {
    return holding.bytes > kSmallBytes;
  }

  // Higher for what loses its place earlier.
  static std::tuple<bool, bool, double> RankOf(const Holding& holding,
                                               BootTime now) {
    // Orders holdings of the same moment by size.
    constexpr std::chrono::milliseconds kLeastTime{1};
    const std::chrono::duration<double> time = now - holding.began + kLeastTime;
    return {IsLarge(holding), holding.stage != Stage::kServing,
            static_cast<double>(holding.bytes) * time.count()};
  }

  Limits limits_;
  std::map<Owner*, Holding> holdings_;
  // The sums of all holdings and of the large ones.
  std::size_t bytes_ = 0;
  std::size_t large_bytes_ = 0;
};

}  // namespace balsam::intake
