// Reconciles one engine with the state that operators published: its loaded
// model, adapter and version, and its role. Only the engine's sidecar sends it
// orders, but an earlier sidecar that was suspended may still send an older
// one.
//
// Each order carries the published revision as its fencing number. An engine
// that checks the number refuses older orders. For an engine that does not, an
// order is sent only while the desired state was confirmed recently, and the
// engine's state is read back to detect the effect of an older order, which is
// repaired once a new confirmation shows that the desired state is still
// current.
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

// The state that operators published for one engine.
struct DesiredState {
  std::uint64_t revision = 0;
  EngineState state;
  // Delay between receiving the state and loading it. Engines that change at
  // the same time get different delays, to stay below the rate limit of the
  // weight store.
  std::chrono::milliseconds load_delay{0};

  bool operator==(const DesiredState&) const = default;
};

// What operators published for an engine, as sent to it.
struct Order {
  std::uint64_t fencing_number = 0;
  EngineState state;
};

enum class OrderResult {
  kApplied,
  // The engine has accepted a higher fencing number.
  kStaleFencingNumber,
  // The rate limit of the weight store was reached.
  kWeightStoreBusy,
  kFailed,
};

class EngineReconciler {
 public:
  struct Config {
    std::chrono::milliseconds min_backoff{500};
    std::chrono::milliseconds max_backoff{30000};
    // Interval between reads of the engine's state.
    std::chrono::milliseconds read_interval{2000};
    // Maximum age of the last confirmation of the desired state at which an
    // order may be sent.
    std::chrono::milliseconds freshness{5000};
    // See `challenge()`; differs between two runs of the process.
    std::uint64_t first_challenge = 1;
  };

  explicit EngineReconciler(Config config)
      : config_(config), challenge_(config.first_challenge) {}

  // Takes the published state. A lower revision is ignored. The state is
  // confirmed only if its sender knows the present `challenge`; any other
  // message may have waited while the process was suspended.
  void OnDesiredState(const DesiredState& desired, std::uint64_t challenge,
                      BootTime now);
  // The process was suspended. No orders are sent until the desired state is
  // confirmed again.
  void OnPause() { DropConfirmation(); }
  // Tells the senders of the desired state what to repeat in their next
  // message. Changes whenever an earlier message may no longer confirm it.
  std::uint64_t challenge() const { return challenge_; }

  // Returns the order to send now, if one is due, and counts it as sent. At
  // most one order is in flight.
  std::optional<Order> TakeOrder(BootTime now);
  void OnOrderResult(OrderResult result, BootTime now);

  // Whether the engine's state is to be read now; if so, schedules the next
  // read.
  bool BeginStateRead(BootTime now);
  // `fencing_number`: the last one that the engine accepted; zero if it does
  // not store them.
  void OnStateRead(const EngineState& state, std::uint64_t fencing_number,
                   BootTime now);

  bool settled() const { return settled_; }
  bool superseded() const { return superseded_; }
  std::uint64_t revision() const { return desired_.revision; }

 private:
  void DropConfirmation();
  bool IsFresh(BootTime now) const;

  Config config_;
  std::uint64_t challenge_ = 0;
  DesiredState desired_;
  // The last read showed the engine in the desired state, or no state has been
  // published yet.
  bool settled_ = true;
  // The engine applied the desired state at least once.
  bool applied_ = false;
  // The engine has a higher fencing number. No orders are sent until a revision
  // at least as high is published.
  bool superseded_ = false;
  std::uint64_t highest_fencing_number_ = 0;
  bool in_flight_ = false;
  std::optional<BootTime> confirmed_at_;
  BootTime next_order_at_;
  BootTime next_read_at_;
  std::chrono::milliseconds backoff_{0};
};

}  // namespace balsam::orders
