// Orders by number: late orderers, engines that check and engines that do not,
// and the weight store's rate.
#include "libraries/orders/order_book.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace balsam::orders {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr BootTime kStart{std::chrono::hours(1)};

EngineState StateOf(std::uint64_t revision) {
  return {"m", "a", "v" + std::to_string(revision), "decode"};
}
Desired DesiredAt(std::uint64_t revision, milliseconds load_delay = {}) {
  return {revision, StateOf(revision), load_delay};
}

struct Engine {
  bool checks_numbers = true;
  std::uint64_t number = 0;
  EngineState state;

  OrderAnswer Take(const Order& order) {
    if (checks_numbers && order.fencing_number < number) {
      return OrderAnswer::kRefusedOldNumber;
    }
    if (checks_numbers) number = order.fencing_number;
    state = order.state;
    return OrderAnswer::kApplied;
  }
};

TEST(OrderBookTest, SettlesOnlyByReadingBack) {
  OrderBook book({});
  Engine engine;
  book.OnDesired(DesiredAt(3), kStart);
  const auto order = book.TakeOrder(kStart);
  ASSERT_TRUE(order.has_value());
  EXPECT_EQ(order->fencing_number, 3U);
  EXPECT_FALSE(book.TakeOrder(kStart).has_value());
  book.OnAnswer(engine.Take(*order), kStart);
  EXPECT_FALSE(book.settled());
  ASSERT_TRUE(book.TakeReadBack(kStart));
  book.OnReadBack(engine.state, engine.number, kStart);
  EXPECT_TRUE(book.settled());
}

TEST(OrderBookTest, ALateOrdererIsRefusedAndStops) {
  Engine engine;
  engine.number = 5;
  OrderBook late({});
  late.OnDesired(DesiredAt(4), kStart);
  const auto order = late.TakeOrder(kStart);
  late.OnAnswer(engine.Take(*order), kStart);
  EXPECT_TRUE(late.superseded());
  EXPECT_FALSE(late.TakeOrder(kStart + seconds(1)).has_value());
  // Once it knows the newer revision, it orders again.
  late.OnDesired(DesiredAt(5), kStart);
  EXPECT_TRUE(late.TakeOrder(kStart + seconds(1)).has_value());
}

TEST(OrderBookTest, NothingIsSentAfterAPauseUntilNewsArrive) {
  OrderBook book({});
  book.OnDesired(DesiredAt(1), kStart);
  book.OnPause();
  EXPECT_FALSE(book.TakeOrder(kStart).has_value());
  book.OnDesired(DesiredAt(1), kStart);
  EXPECT_TRUE(book.TakeOrder(kStart).has_value());
}

TEST(OrderBookTest, NothingIsSentOnOldNews) {
  OrderBook book({});
  book.OnDesired(DesiredAt(1), kStart);
  EXPECT_FALSE(book.TakeOrder(kStart + seconds(6)).has_value());
}

TEST(OrderBookTest, WhatAnOlderOrderLeftIsRepaired) {
  Engine engine;
  engine.checks_numbers = false;
  OrderBook book({});
  book.OnDesired(DesiredAt(2), kStart);
  book.OnAnswer(engine.Take(*book.TakeOrder(kStart)), kStart);
  book.OnReadBack(engine.state, 0, kStart);
  ASSERT_TRUE(book.settled());
  // A sidecar that woke late undoes it.
  engine.Take({1, StateOf(1)});
  const BootTime later = kStart + seconds(2);
  book.OnDesired(DesiredAt(2), later);
  ASSERT_TRUE(book.TakeReadBack(later));
  book.OnReadBack(engine.state, 0, later);
  // It may also be the newer one that changed it, until news tell.
  EXPECT_FALSE(book.TakeOrder(later).has_value());
  book.OnDesired(DesiredAt(2), later);
  book.OnAnswer(engine.Take(*book.TakeOrder(later)), later);
  EXPECT_EQ(engine.state, StateOf(2));
}

TEST(OrderBookTest, AnEngineInTheRightStateWithAnOldNumberIsOrderedAgain) {
  Engine engine;
  OrderBook book({});
  book.OnDesired({3, StateOf(2), {}}, kStart);
  engine.number = 2;
  engine.state = StateOf(2);
  book.OnReadBack(engine.state, engine.number, kStart);
  EXPECT_FALSE(book.settled());
  book.OnAnswer(engine.Take(*book.TakeOrder(kStart)), kStart);
  book.OnReadBack(engine.state, engine.number, kStart);
  EXPECT_TRUE(book.settled());
}

TEST(OrderBookTest, LoadsKeepUnderTheStoresRate) {
  constexpr milliseconds kLoadInterval{1000};
  std::vector<BootTime> loads;
  for (std::int64_t rank = 0; rank < 50; ++rank) {
    OrderBook book({});
    const milliseconds delay = rank * kLoadInterval;
    book.OnDesired(DesiredAt(1, delay), kStart);
    for (BootTime now = kStart;; now += milliseconds(100)) {
      book.OnDesired(DesiredAt(1, delay), now);
      if (!book.TakeOrder(now).has_value()) continue;
      loads.push_back(now);
      break;
    }
  }
  std::ranges::sort(loads);
  for (std::size_t i = 1; i < loads.size(); ++i) {
    EXPECT_GE(loads[i] - loads[i - 1], kLoadInterval);
  }
}

TEST(OrderBookTest, ABusyStoreIsAskedLessAndLessOften) {
  OrderBook book({});
  book.OnDesired(DesiredAt(1), kStart);
  int asked = 0;
  for (BootTime now = kStart; now < kStart + seconds(60);
       now += milliseconds(100)) {
    book.OnDesired(DesiredAt(1), now);
    if (!book.TakeOrder(now).has_value()) continue;
    ++asked;
    book.OnAnswer(OrderAnswer::kStoreBusy, now);
  }
  EXPECT_LE(asked, 8);
}

// Two sidecars of one engine, the older one waking at any time.
void RunRace(bool checks_numbers, const std::vector<std::uint32_t>& choices) {
  Engine engine;
  engine.checks_numbers = checks_numbers;
  OrderBook old_book({});
  OrderBook new_book({});
  BootTime now = kStart;
  std::uint64_t newest = 1;
  std::optional<Order> late_order;
  std::uint64_t highest_state = 0;
  old_book.OnDesired(DesiredAt(1), now);
  const auto apply = [&](OrderBook& book, const Order& order) {
    book.OnAnswer(engine.Take(order), now);
    highest_state = std::max(highest_state, order.fencing_number);
    if (checks_numbers) RC_ASSERT(engine.state == StateOf(highest_state));
  };
  const auto run = [&](OrderBook& book) {
    if (const auto order = book.TakeOrder(now)) apply(book, *order);
    if (book.TakeReadBack(now)) {
      book.OnReadBack(engine.state, engine.number, now);
    }
  };
  for (const std::uint32_t choice : choices) {
    switch (choice % 6) {
      case 0:
        new_book.OnDesired(DesiredAt(++newest), now);
        break;
      case 1:
        // The old sidecar stops between its check and its write.
        if (!late_order.has_value()) late_order = old_book.TakeOrder(now);
        break;
      case 2:
        if (late_order.has_value()) apply(old_book, *late_order);
        late_order.reset();
        break;
      case 3:
        run(new_book);
        break;
      case 4:
        old_book.OnDesired(DesiredAt(1 + choice % newest), now);
        break;
      default:
        now += milliseconds(choice % 3000);
    }
  }
  // The late order arrives last of all; then the newer sidecar goes on.
  if (late_order.has_value()) apply(old_book, *late_order);
  for (int i = 0; i < 20; ++i) {
    now += seconds(1);
    new_book.OnDesired(DesiredAt(newest), now);
    run(new_book);
  }
  if (newest > 1) RC_ASSERT(engine.state == StateOf(newest));
}

RC_GTEST_PROP(OrderBookPropertyTest, AnEngineThatChecksNeverGoesBack,
              (const std::vector<std::uint32_t>& choices)) {
  RunRace(true, choices);
}

RC_GTEST_PROP(OrderBookPropertyTest, AnEngineThatDoesNotIsRepaired,
              (const std::vector<std::uint32_t>& choices)) {
  RunRace(false, choices);
}

}  // namespace
}  // namespace balsam::orders
