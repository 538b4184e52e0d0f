// Rates, bursts and turns of the permits for limited servers.
#include "libraries/limits/permit_issuer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace balsam::limits {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kServer = 7;
constexpr double kRate = 4.0;
const std::string kEntry = "entry";
const BootTime kStart{std::chrono::hours(1)};

int GrantsAt(PermitIssuer& issuer, BootTime now, int requests) {
  int grants = 0;
  for (int i = 0; i < requests; ++i) {
    if (issuer.Request(kServer, kEntry, kRate, now).is_granted) ++grants;
  }
  return grants;
}

// The issuer before may have used the limit up in its last second.
TEST(PermitIssuerTest, NewServerHasNoPermits) {
  PermitIssuer issuer({});
  EXPECT_EQ(GrantsAt(issuer, kStart, 10), 0);
  EXPECT_EQ(GrantsAt(issuer, kStart + milliseconds(250), 10), 1);
}

TEST(PermitIssuerTest, IssuesTheRateAndNoLongBursts) {
  PermitIssuer issuer({});
  GrantsAt(issuer, kStart, 1);
  int grants = 0;
  for (milliseconds at{0}; at < milliseconds(10000); at += milliseconds(10)) {
    grants += GrantsAt(issuer, kStart + at, 3);
  }
  EXPECT_GE(grants, 39);
  EXPECT_LE(grants, 40);
  // Half a second of permits, and one.
  EXPECT_EQ(GrantsAt(issuer, kStart + std::chrono::hours(1), 10), 3);
}

// A limit of zero ends only with a response that names none.
TEST(PermitIssuerTest, LimitOfZeroLeavesProbes) {
  PermitIssuer issuer({});
  int grants = 0;
  for (milliseconds at{0}; at <= milliseconds(10000); at += milliseconds(50)) {
    if (issuer.Request(kServer, kEntry, 0.0, kStart + at).is_granted) ++grants;
  }
  EXPECT_EQ(grants, 5);
}

TEST(PermitIssuerTest, EntriesWithoutPermitGetDifferentTurns) {
  PermitIssuer issuer({});
  std::set<milliseconds> turns;
  for (int i = 0; i < 10; ++i) {
    const auto decision =
        issuer.Request(kServer, std::to_string(i), kRate, kStart);
    EXPECT_FALSE(decision.is_granted);
    turns.insert(decision.retry_after);
  }
  EXPECT_EQ(turns.size(), 10U);
  EXPECT_EQ(*turns.begin(), milliseconds(250));
  for (int i = 0; i < 1000; ++i) {
    EXPECT_LE(
        issuer.Request(kServer, std::to_string(i), kRate, kStart).retry_after,
        milliseconds(2000));
  }
}

TEST(PermitIssuerTest, RequestsWithoutPermitAreMadeUpFor) {
  PermitIssuer issuer({});
  issuer.Charge(kServer, kRate, kStart);
  issuer.Charge(kServer, kRate, kStart);
  EXPECT_EQ(GrantsAt(issuer, kStart + milliseconds(500), 3), 0);
  EXPECT_EQ(GrantsAt(issuer, kStart + milliseconds(750), 3), 1);
}

TEST(PermitIssuerTest, FirstToWaitGetsThePermit) {
  PermitIssuer issuer({});
  const auto first = issuer.Request(kServer, "first", kRate, kStart);
  const auto second = issuer.Request(kServer, "second", kRate, kStart);
  EXPECT_LT(first.retry_after, second.retry_after);
  const BootTime now = kStart + milliseconds(250);
  EXPECT_FALSE(issuer.Request(kServer, "second", kRate, now).is_granted);
  EXPECT_FALSE(issuer.Request(kServer, "third", kRate, now).is_granted);
  EXPECT_TRUE(issuer.Request(kServer, "first", kRate, now).is_granted);
}

// An entry may have no request any more when its time comes.
TEST(PermitIssuerTest, PassesOverEntryThatDoesNotReturn) {
  PermitIssuer issuer({});
  issuer.Request(kServer, "absent", kRate, kStart);
  const milliseconds grace = PermitIssuer::Limits{}.return_grace;
  EXPECT_FALSE(
      issuer.Request(kServer, kEntry, kRate, kStart + milliseconds(250) + grace)
          .is_granted);
  EXPECT_TRUE(
      issuer.Request(kServer, kEntry, kRate, kStart + milliseconds(251) + grace)
          .is_granted);
}

TEST(PermitIssuerTest, ForgetsServersThatNobodyAsksFor) {
  PermitIssuer issuer({});
  GrantsAt(issuer, kStart, 1);
  issuer.RemoveIdle(kStart + milliseconds(9000));
  EXPECT_EQ(issuer.size(), 1U);
  issuer.RemoveIdle(kStart + milliseconds(11000));
  EXPECT_EQ(issuer.size(), 0U);
}

// Entries that always have requests waiting. Each asks again at the time that
// it was told, but only at its own ticks and after the way of a message.
class WaitingEntriesTest : public testing::TestWithParam<int> {
 protected:
  static constexpr milliseconds kTick{25};
  static constexpr milliseconds kMessageDelay{1};
  static constexpr milliseconds kDuration{60000};

  struct Entry {
    std::string name;
    milliseconds tick_phase{0};
    // The issuer itself asks without a message.
    milliseconds message_delay{kMessageDelay};
    int grants = 0;
  };
  struct Ask {
    BootTime at;
    std::size_t entry = 0;
    bool operator<(const Ask& other) const { return at > other.at; }
  };

  WaitingEntriesTest() : random_(static_cast<unsigned>(GetParam())) {
    std::uniform_int_distribution<int> phase(
        0, static_cast<int>(kTick.count()) - 1);
    for (int i = 0; i < GetParam(); ++i) {
      entries_.push_back(
          {"entry-" + std::to_string(i), milliseconds(phase(random_))});
    }
    entries_.front().message_delay = milliseconds(0);
  }

  // The first tick of the entry from `at`.
  static BootTime NextTick(const Entry& entry, BootTime at) {
    const auto since = at - kStart - entry.tick_phase;
    const auto ticks = (since + kTick - BootClock::duration(1)) / kTick;
    return kStart + entry.tick_phase + ticks * kTick;
  }

  void Run(double rate) {
    PermitIssuer issuer({});
    std::priority_queue<Ask> asks;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      asks.push({NextTick(entries_[i], kStart + kTick), i});
    }
    while (asks.top().at < kStart + kDuration) {
      const auto [at, index] = asks.top();
      asks.pop();
      Entry& entry = entries_[index];
      const auto decision = issuer.Request(kServer, entry.name, rate, at);
      const BootTime replied = at + 2 * entry.message_delay;
      if (decision.is_granted) {
        ++entry.grants;
        asks.push({replied, index});
      } else {
        asks.push({NextTick(entry, replied + decision.retry_after), index});
      }
    }
  }

  std::minstd_rand random_;
  std::vector<Entry> entries_;
};

// Guards against entries that never get a permit while others use up all.
TEST_P(WaitingEntriesTest, EachGetsItsShare) {
  constexpr double kPermitsPerEntry = 40.0;
  const double count = static_cast<double>(entries_.size());
  const double seconds = std::chrono::duration<double>(kDuration).count();
  Run(kPermitsPerEntry * count / seconds);
  const auto [least, most] = std::ranges::minmax(entries_, {}, &Entry::grants);
  double sum = 0.0;
  for (const Entry& entry : entries_) sum += entry.grants;
  std::printf("entries=%zu least=%d most=%d share_used=%.2f\n", entries_.size(),
              least.grants, most.grants, sum / (kPermitsPerEntry * count));
  EXPECT_GE(least.grants, kPermitsPerEntry / 2);
  EXPECT_GE(sum, 0.9 * kPermitsPerEntry * count);
}

INSTANTIATE_TEST_SUITE_P(Fleets, WaitingEntriesTest,
                         testing::Values(2, 5, 34, 300));

}  // namespace
}  // namespace balsam::limits
