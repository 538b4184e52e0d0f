// Fencing numbers with outdated sidecars, at engines that check them and
// engines that do not, and the rate limit of the weight store.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "libraries/orders/engine_reconciler.h"

namespace balsam::orders {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr BootTime kStart{std::chrono::hours(1)};

EngineState StateOf(std::uint64_t revision) {
  return {"m", "a", "v" + std::to_string(revision), "decode"};
}
DesiredState DesiredStateAt(std::uint64_t revision,
                            milliseconds load_delay = {}) {
  return {revision, StateOf(revision), load_delay};
}

struct Engine {
  bool checks_numbers = true;
  std::uint64_t last_number = 0;
  EngineState state;

  OrderResult Apply(const Order& order) {
    if (checks_numbers && order.fencing_number < last_number) {
      return OrderResult::kStaleFencingNumber;
    }
    if (checks_numbers) last_number = order.fencing_number;
    state = order.state;
    return OrderResult::kApplied;
  }
};

TEST(EngineReconcilerTest, SettlesOnlyByAStateRead) {
  EngineReconciler reconciler({});
  Engine engine;
  reconciler.OnDesiredState(DesiredStateAt(3), reconciler.challenge(), kStart);
  const auto order = reconciler.TakeOrder(kStart);
  ASSERT_TRUE(order.has_value());
  EXPECT_EQ(order->fencing_number, 3U);
  EXPECT_FALSE(reconciler.TakeOrder(kStart).has_value());
  reconciler.OnOrderResult(engine.Apply(*order), kStart);
  EXPECT_FALSE(reconciler.settled());
  ASSERT_TRUE(reconciler.BeginStateRead(kStart));
  reconciler.OnStateRead(engine.state, engine.last_number, kStart);
  EXPECT_TRUE(reconciler.settled());
}

TEST(EngineReconcilerTest, OutdatedSidecarIsRefusedAndStops) {
  Engine engine;
  engine.last_number = 5;
  EngineReconciler late_sidecar({});
  late_sidecar.OnDesiredState(DesiredStateAt(4), late_sidecar.challenge(),
                              kStart);
  const auto order = late_sidecar.TakeOrder(kStart);
  late_sidecar.OnOrderResult(engine.Apply(*order), kStart);
  EXPECT_TRUE(late_sidecar.superseded());
  EXPECT_FALSE(late_sidecar.TakeOrder(kStart + seconds(1)).has_value());
  // Once it receives the newer revision, it sends orders again.
  late_sidecar.OnDesiredState(DesiredStateAt(5), late_sidecar.challenge(),
                              kStart);
  EXPECT_TRUE(late_sidecar.TakeOrder(kStart + seconds(1)).has_value());
}

TEST(EngineReconcilerTest, SendsNothingAfterAPauseUntilConfirmed) {
  EngineReconciler reconciler({});
  reconciler.OnDesiredState(DesiredStateAt(1), reconciler.challenge(), kStart);
  reconciler.OnPause();
  EXPECT_FALSE(reconciler.TakeOrder(kStart).has_value());
  reconciler.OnDesiredState(DesiredStateAt(1), reconciler.challenge(), kStart);
  EXPECT_TRUE(reconciler.TakeOrder(kStart).has_value());
}

// Guards against a notice that waited while the process was suspended and was
// taken for a new one.
TEST(EngineReconcilerTest, NoticeOfBeforeAPauseConfirmsNothing) {
  EngineReconciler reconciler({});
  const std::uint64_t challenge = reconciler.challenge();
  reconciler.OnDesiredState(DesiredStateAt(1), challenge, kStart);
  reconciler.OnPause();
  reconciler.OnDesiredState(DesiredStateAt(2), challenge, kStart);
  EXPECT_EQ(reconciler.revision(), 2U);
  EXPECT_FALSE(reconciler.TakeOrder(kStart).has_value());
  reconciler.OnDesiredState(DesiredStateAt(2), reconciler.challenge(), kStart);
  EXPECT_TRUE(reconciler.TakeOrder(kStart).has_value());
}

TEST(EngineReconcilerTest, SendsNothingWithoutARecentConfirmation) {
  EngineReconciler reconciler({});
  reconciler.OnDesiredState(DesiredStateAt(1), reconciler.challenge(), kStart);
  EXPECT_FALSE(reconciler.TakeOrder(kStart + seconds(6)).has_value());
}

TEST(EngineReconcilerTest, EffectOfAnOlderOrderIsRepaired) {
  Engine engine;
  engine.checks_numbers = false;
  EngineReconciler reconciler({});
  reconciler.OnDesiredState(DesiredStateAt(2), reconciler.challenge(), kStart);
  reconciler.OnOrderResult(engine.Apply(*reconciler.TakeOrder(kStart)), kStart);
  reconciler.OnStateRead(engine.state, 0, kStart);
  ASSERT_TRUE(reconciler.settled());
  // An outdated sidecar reverts it after a pause.
  engine.Apply({1, StateOf(1)});
  const BootTime later = kStart + seconds(2);
  reconciler.OnDesiredState(DesiredStateAt(2), reconciler.challenge(), later);
  ASSERT_TRUE(reconciler.BeginStateRead(later));
  reconciler.OnStateRead(engine.state, 0, later);
  // A newer sidecar may have made the change, so nothing is sent before the
  // desired state is confirmed.
  EXPECT_FALSE(reconciler.TakeOrder(later).has_value());
  reconciler.OnDesiredState(DesiredStateAt(2), reconciler.challenge(), later);
  reconciler.OnOrderResult(engine.Apply(*reconciler.TakeOrder(later)), later);
  EXPECT_EQ(engine.state, StateOf(2));
}

TEST(EngineReconcilerTest, EngineWithAnOldFencingNumberIsOrderedAgain) {
  Engine engine;
  EngineReconciler reconciler({});
  reconciler.OnDesiredState({3, StateOf(2), {}}, reconciler.challenge(),
                            kStart);
  engine.last_number = 2;
  engine.state = StateOf(2);
  reconciler.OnStateRead(engine.state, engine.last_number, kStart);
  EXPECT_FALSE(reconciler.settled());
  reconciler.OnOrderResult(engine.Apply(*reconciler.TakeOrder(kStart)), kStart);
  reconciler.OnStateRead(engine.state, engine.last_number, kStart);
  EXPECT_TRUE(reconciler.settled());
}

TEST(EngineReconcilerTest, LoadsStayBelowTheRateOfTheWeightStore) {
  constexpr milliseconds kLoadInterval{1000};
  std::vector<BootTime> loads;
  for (std::int64_t rank = 0; rank < 50; ++rank) {
    EngineReconciler reconciler({});
    const milliseconds delay = rank * kLoadInterval;
    reconciler.OnDesiredState(DesiredStateAt(1, delay), reconciler.challenge(),
                              kStart);
    for (BootTime now = kStart;; now += milliseconds(100)) {
      reconciler.OnDesiredState(DesiredStateAt(1, delay),
                                reconciler.challenge(), now);
      if (!reconciler.TakeOrder(now).has_value()) continue;
      loads.push_back(now);
      break;
    }
  }
  std::ranges::sort(loads);
  for (std::size_t i = 1; i < loads.size(); ++i) {
    EXPECT_GE(loads[i] - loads[i - 1], kLoadInterval);
  }
}

TEST(EngineReconcilerTest, BusyWeightStoreCausesBackoff) {
  EngineReconciler reconciler({});
  reconciler.OnDesiredState(DesiredStateAt(1), reconciler.challenge(), kStart);
  int orders_sent = 0;
  for (BootTime now = kStart; now < kStart + seconds(60);
       now += milliseconds(100)) {
    reconciler.OnDesiredState(DesiredStateAt(1), reconciler.challenge(), now);
    if (!reconciler.TakeOrder(now).has_value()) continue;
    ++orders_sent;
    reconciler.OnOrderResult(OrderResult::kWeightStoreBusy, now);
  }
  EXPECT_LE(orders_sent, 8);
}

// Two sidecars send orders to one engine; the older one resumes after a pause
// at any time.
void RunRacingSidecars(bool checks_numbers,
                       const std::vector<std::uint32_t>& choices) {
  Engine engine;
  engine.checks_numbers = checks_numbers;
  EngineReconciler old_sidecar({});
  EngineReconciler new_sidecar({});
  BootTime now = kStart;
  std::uint64_t newest_revision = 1;
  std::optional<Order> late_order;
  std::uint64_t highest_applied = 0;
  old_sidecar.OnDesiredState(DesiredStateAt(1), old_sidecar.challenge(), now);
  const auto apply = [&](EngineReconciler& reconciler, const Order& order) {
    reconciler.OnOrderResult(engine.Apply(order), now);
    highest_applied = std::max(highest_applied, order.fencing_number);
    if (checks_numbers) RC_ASSERT(engine.state == StateOf(highest_applied));
  };
  const auto run = [&](EngineReconciler& reconciler) {
    if (const auto order = reconciler.TakeOrder(now)) apply(reconciler, *order);
    if (reconciler.BeginStateRead(now)) {
      reconciler.OnStateRead(engine.state, engine.last_number, now);
    }
  };
  for (const std::uint32_t choice : choices) {
    switch (choice % 6) {
      case 0:
        new_sidecar.OnDesiredState(DesiredStateAt(++newest_revision),
                                   new_sidecar.challenge(), now);
        break;
      case 1:
        // The old sidecar is paused between its check and its write.
        if (!late_order.has_value()) late_order = old_sidecar.TakeOrder(now);
        break;
      case 2:
        if (late_order.has_value()) apply(old_sidecar, *late_order);
        late_order.reset();
        break;
      case 3:
        run(new_sidecar);
        break;
      case 4:
        old_sidecar.OnDesiredState(DesiredStateAt(1 + choice % newest_revision),
                                   old_sidecar.challenge(), now);
        break;
      default:
        now += milliseconds(choice % 3000);
    }
  }
  // The late order arrives last; then the newer sidecar continues.
  if (late_order.has_value()) apply(old_sidecar, *late_order);
  for (int i = 0; i < 20; ++i) {
    now += seconds(1);
    new_sidecar.OnDesiredState(DesiredStateAt(newest_revision),
                               new_sidecar.challenge(), now);
    run(new_sidecar);
  }
  if (newest_revision > 1) RC_ASSERT(engine.state == StateOf(newest_revision));
}

RC_GTEST_PROP(EngineReconcilerPropertyTest,
              EngineThatChecksNumbersNeverRegresses,
              (const std::vector<std::uint32_t>& choices)) {
  RunRacingSidecars(true, choices);
}

RC_GTEST_PROP(EngineReconcilerPropertyTest,
              EngineThatDoesNotCheckNumbersIsRepaired,
              (const std::vector<std::uint32_t>& choices)) {
  RunRacingSidecars(false, choices);
}

}  // namespace
}  // namespace balsam::orders
