// Brings one engine to the state that operators published: which model,
// adapter and version it has loaded, and its role. The sidecar is its only
// orderer, but an earlier sidecar may wake up late with an older order.
//
// Each order carries the published number as its fencing number. An engine
// that checks it refuses an older one. For an engine that does not, an order is
// sent only while what it rests on is fresh, and reading back finds what an
// older order left, which is repaired once news show that the order still
// holds.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "libraries/base/boot_clock.h"

namespace balsam::orders {

struct EngineState {
  std::string model;
  std::string adapter;
  std::string version;
  std::string role;

  bool operator==(const EngineState&) const = default;
};

// What operators published for one engine.
struct Desired {
  std::uint64_t revision = 0;
  EngineState state;
  // How long after the news a load may begin. Engines that change together get
  // different delays, so that they keep under the weight store's rate.
  std::chrono::milliseconds load_delay{0};

  bool operator==(const Desired&) const = default;
};

struct Order {
  std::uint64_t fencing_number = 0;
  EngineState state;
};

enum class OrderAnswer {
  kApplied,
  // The engine has seen a higher fencing number.
  kRefusedOldNumber,
  // The weight store's rate is used up.
  kStoreBusy,
  kFailed,
};

class OrderBook {
 public:
  struct Config {
    std::chrono::milliseconds min_backoff{500};
    std::chrono::milliseconds max_backoff{30000};
    // How often an engine's state is read back.
    std::chrono::milliseconds read_interval{2000};
    // An order rests on news no older than this.
    std::chrono::milliseconds freshness{5000};
  };

  explicit OrderBook(Config config) : config_(config) {}

  // Takes published state; a lower revision is ignored, an equal one only
  // shows that it still holds.
  void OnDesired(const Desired& desired, BootTime now);
  // The process was stopped: nothing is sent until news arrive.
  void OnPause() { heard_at_.reset(); }

  // The order to send now, if one is due. It counts as sent; one at a time is
  // under way.
  std::optional<Order> TakeOrder(BootTime now);
  void OnAnswer(OrderAnswer answer, BootTime now);

  // Whether the engine's state is to be read back now.
  bool TakeReadBack(BootTime now);
  // `fencing_number` is the last that the engine took, zero if it keeps none.
  void OnReadBack(const EngineState& state, std::uint64_t fencing_number,
                  BootTime now);

  bool settled() const { return settled_; }
  bool superseded() const { return superseded_; }
  std::uint64_t revision() const { return desired_.revision; }

 private:
  bool IsFresh(BootTime now) const;

  Config config_;
  Desired desired_;
  // The engine was seen in the desired state.
  bool settled_ = true;
  // The engine took the desired state at least once.
  bool applied_ = false;
  // A higher fencing number was seen at the engine; nothing is sent until a
  // revision at least as high is known.
  bool superseded_ = false;
  std::uint64_t highest_seen_ = 0;
  bool under_way_ = false;
  std::optional<BootTime> heard_at_;
  BootTime due_;
  BootTime next_read_;
  std::chrono::milliseconds backoff_{0};
};

}  // namespace balsam::orders
