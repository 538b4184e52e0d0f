// A fleet of entries and a server in need, in virtual time: how far its
// requests exceed its limit and how much of the limit is used, while the limit
// changes and ends and the entry that issues permits dies and starts again.
//
// Load: the balancer spreads clients unevenly, and the server gets several
// times its limit if nobody keeps to it.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "libraries/limits/limit_table.h"
#include "libraries/limits/permit_issuer.h"
#include "libraries/membership/aggregator_assignment.h"

namespace balsam::limits {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

constexpr std::uint32_t kServer = 7;
// Demand for the server, as a multiple of its limit.
constexpr double kDemand = 5.0;
// Share of requests that cannot wait for a permit.
constexpr double kUrgentShare = 0.05;
constexpr milliseconds kMessageDelay{1};
constexpr milliseconds kResponseTime{15};
constexpr milliseconds kReplyTimeout{30};
constexpr milliseconds kUnresponsiveTime{1500};
constexpr milliseconds kGossipInterval{100};
constexpr std::size_t kGossipTargets = 4;
constexpr std::size_t kStatementsPerDigest = 8;
// How long it takes until a death is known, and until a restarted entry counts.
constexpr milliseconds kDetectionTime{1200};
constexpr milliseconds kSyncTime{2000};
// The share of the limit that a backup issues.
constexpr double kBackupShare = 0.25;

constexpr milliseconds kLimitStart{2000};
constexpr milliseconds kDeath{8000};
constexpr milliseconds kRestart{9000};
constexpr milliseconds kLimitChange{14000};
constexpr milliseconds kLimitEnd{20000};
constexpr milliseconds kEnd{24000};

struct Scenario {
  std::size_t entries = 0;
  double limit = 0.0;
};

class LimitedFleetTest : public testing::TestWithParam<Scenario> {
 protected:
  struct Entry {
    std::string name;
    double demand = 0.0;
    bool is_alive = true;
    LimitTable table;
    PermitIssuer issuer{{}};
    BootTime denied_until;
    BootTime unresponsive_until;
    // When it first passed on a response that named the limit.
    std::optional<BootTime> told_at;
  };
  struct Arrival {
    BootTime at;
    // Whether the sender had been told half a second before.
    bool is_told = false;
  };

  LimitedFleetTest() : random_(GetParam().entries) {
    std::lognormal_distribution<double> unevenness(0.0, 0.8);
    double total = 0.0;
    for (std::size_t i = 0; i < GetParam().entries; ++i) {
      Entry entry;
      entry.name = "entry-" + std::to_string(i);
      entry.demand = unevenness(random_);
      total += entry.demand;
      entries_.push_back(std::move(entry));
    }
    for (Entry& entry : entries_) {
      entry.demand *= kDemand * GetParam().limit / total;
    }
    UpdateMembers();
  }

  static BootTime At(milliseconds time) {
    return BootTime(std::chrono::hours(1)) + time;
  }
  void Schedule(BootTime at, std::function<void()> action) {
    events_.push({at, ++sequence_, std::move(action)});
  }
  void Run() {
    while (!events_.empty() && events_.top().at <= At(kEnd)) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
  }

  // What the server names in a response of this moment.
  std::optional<double> NamedLimit() const {
    if (now_ < At(kLimitStart) || now_ >= At(kLimitEnd)) return std::nullopt;
    return now_ < At(kLimitChange) ? GetParam().limit : GetParam().limit / 2;
  }

  void UpdateMembers() {
    std::vector<std::string> members;
    for (const Entry& entry : entries_) {
      if (entry.name != unlisted_) members.push_back(entry.name);
    }
    assignment_.SetMembers(std::move(members));
  }
  Entry& EntryOf(const std::string& name) {
    return *std::ranges::find(entries_, name, &Entry::name);
  }

  void ScheduleRequest(Entry& entry) {
    std::exponential_distribution<double> gap(entry.demand);
    Schedule(
        now_ + std::chrono::ceil<BootClock::duration>(Seconds(gap(random_))),
        [this, &entry] {
          if (entry.is_alive) OnRequest(entry);
          ScheduleRequest(entry);
        });
  }

  void OnRequest(Entry& entry) {
    const auto limit = entry.table.LimitOf(kServer);
    if (!limit.has_value()) {
      Send(entry);
      return;
    }
    const bool is_urgent =
        std::uniform_real_distribution<double>()(random_) < kUrgentShare;
    if (!is_urgent && now_ < entry.denied_until) return;
    const auto& pair = assignment_.AggregatorsOf(kServer);
    const bool use_backup = now_ < entry.unresponsive_until && !pair[1].empty();
    Entry& issuer = EntryOf(use_backup ? pair[1] : pair[0]);
    if (is_urgent) Send(entry);
    const auto statement = *entry.table.StatementOf(kServer, now_);
    Schedule(now_ + kMessageDelay,
             [this, &entry, &issuer, statement, is_urgent, use_backup] {
               OnAsked(entry, issuer, statement, is_urgent, use_backup);
             });
  }

  void OnAsked(Entry& entry, Entry& issuer, const Statement& statement,
               bool is_urgent, bool is_backup) {
    ++asks_;
    if (!issuer.is_alive) {
      if (is_urgent) return;
      Schedule(now_ + kReplyTimeout, [this, &entry] {
        entry.unresponsive_until = now_ + kUnresponsiveTime;
        entry.denied_until = now_ + milliseconds(50);
      });
      return;
    }
    issuer.table.OnStatement(statement, now_);
    const auto limit = issuer.table.LimitOf(kServer);
    const double rate = limit.value_or(0.0) * (is_backup ? kBackupShare : 1.0);
    if (is_urgent) {
      issuer.issuer.Charge(kServer, rate, now_);
      return;
    }
    const PermitIssuer::Decision decision =
        limit.has_value()
            ? issuer.issuer.Request(kServer, entry.name, rate, now_)
            : PermitIssuer::Decision{true, milliseconds(0)};
    const auto known = issuer.table.StatementOf(kServer, now_);
    Schedule(now_ + kMessageDelay, [this, &entry, decision, known] {
      if (!entry.is_alive) return;
      if (known.has_value()) entry.table.OnStatement(*known, now_);
      if (decision.is_granted) {
        Send(entry);
      } else {
        entry.denied_until = now_ + decision.retry_after;
      }
    });
  }

  void Send(Entry& entry) {
    const bool is_told =
        entry.told_at.has_value() && now_ - *entry.told_at >= milliseconds(500);
    arrivals_.push_back({now_, is_told});
    const auto limit = NamedLimit();
    Schedule(now_ + kResponseTime, [this, &entry, limit] {
      if (!entry.is_alive) return;
      entry.table.OnResponse(kServer, limit, now_);
      if (limit.has_value() && !entry.told_at.has_value()) entry.told_at = now_;
    });
  }

  void OnGossipRound() {
    for (Entry& entry : entries_) {
      if (!entry.is_alive) continue;
      entry.table.RemoveExpired(now_);
      const auto statements =
          entry.table.TakeStatements(kStatementsPerDigest, now_);
      if (statements.empty()) continue;
      for (std::size_t i = 0; i < kGossipTargets; ++i) {
        Entry& target = entries_[std::uniform_int_distribution<std::size_t>(
            0, entries_.size() - 1)(random_)];
        if (!target.is_alive) continue;
        for (const Statement& statement : statements) {
          target.table.OnStatement(statement, now_);
        }
      }
    }
    Schedule(now_ + kGossipInterval, [this] { OnGossipRound(); });
  }

  // The entry that issues the permits dies and starts again.
  void ScheduleRestart() {
    Schedule(At(kDeath), [this] {
      Entry& issuer = EntryOf(assignment_.AggregatorsOf(kServer)[0]);
      issuer.is_alive = false;
      unlisted_ = issuer.name;
      Schedule(At(kDeath) + kDetectionTime, [this] { UpdateMembers(); });
      Schedule(At(kRestart), [&issuer] {
        issuer.is_alive = true;
        issuer.table = {};
        issuer.issuer = PermitIssuer({});
        issuer.told_at.reset();
      });
      Schedule(At(kRestart) + kSyncTime, [this] {
        unlisted_.clear();
        UpdateMembers();
      });
    });
  }

  // Requests of all entries in this time.
  double CountFrom(milliseconds begin, milliseconds end) const {
    return static_cast<double>(
        std::ranges::count_if(arrivals_, [&](const Arrival& arrival) {
          return arrival.at >= At(begin) && arrival.at < At(end);
        }));
  }
  // Share of the limit that is used from `begin` to `end`.
  double UsedShare(milliseconds begin, milliseconds end, double limit) const {
    return CountFrom(begin, end) / (limit * Seconds(end - begin).count());
  }
  // The most requests of entries that had been told, in any four seconds of the
  // given time.
  double MostInWindow(milliseconds begin, milliseconds end) const {
    constexpr milliseconds kWindow{4000};
    std::size_t most = 0;
    std::vector<BootTime> window;
    for (const Arrival& arrival : arrivals_) {
      if (!arrival.is_told || arrival.at < At(begin) || arrival.at >= At(end)) {
        continue;
      }
      window.push_back(arrival.at);
      std::erase_if(window,
                    [&](BootTime at) { return at <= arrival.at - kWindow; });
      most = std::max(most, window.size());
    }
    return static_cast<double>(most);
  }

  struct Event {
    BootTime at;
    std::uint64_t sequence = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::pair(at, sequence) > std::pair(other.at, other.sequence);
    }
  };

  std::minstd_rand random_;
  std::vector<Entry> entries_;
  membership::AggregatorAssignment assignment_;
  // The entry that is not a member at present.
  std::string unlisted_;
  std::priority_queue<Event> events_;
  std::uint64_t sequence_ = 0;
  BootTime now_ = At(milliseconds(0));
  std::vector<Arrival> arrivals_;
  std::size_t asks_ = 0;
};

TEST_P(LimitedFleetTest, SumKeepsToLimitAndUsesIt) {
  for (Entry& entry : entries_) ScheduleRequest(entry);
  Schedule(now_, [this] { OnGossipRound(); });
  ScheduleRestart();
  Run();

  const double limit = GetParam().limit;
  // Platform: from 3 s after it was first named, in any 4 s half more than the
  // limit allows, and five requests.
  const auto allowed = [](double rate) { return 1.5 * 4.0 * rate + 5.0; };
  const milliseconds binding = kLimitStart + milliseconds(3000);
  const double most = MostInWindow(binding, kLimitEnd);
  const double most_after_change =
      MostInWindow(kLimitChange + milliseconds(500), kLimitEnd);
  EXPECT_LE(most, allowed(limit));
  EXPECT_LE(most_after_change, allowed(limit / 2));
  const double calm = UsedShare(binding, kDeath, limit);
  const double restart = UsedShare(kDeath, kLimitChange, limit);
  const double changed =
      UsedShare(kLimitChange + milliseconds(1000), kLimitEnd, limit / 2);
  EXPECT_GE(calm, 0.8);
  EXPECT_LE(calm, 1.25);
  EXPECT_GE(restart, 0.6);
  EXPECT_GE(changed, 0.8);
  EXPECT_LE(changed, 1.25);
  // Once the limit has ended, the server gets its share again.
  const double ended = UsedShare(kLimitEnd + milliseconds(2000), kEnd, limit);
  EXPECT_GE(ended, 0.8 * kDemand);
  const double asks =
      static_cast<double>(asks_) / Seconds(kLimitEnd - kLimitStart).count();
  std::printf(
      "entries=%zu limit=%.1f most_in_4_s=%.0f allowed=%.0f "
      "most_after_change=%.0f allowed=%.0f used=%.2f used_in_restart=%.2f "
      "used_after_change=%.2f after_end=%.2f asks_per_s=%.0f\n",
      GetParam().entries, limit, most, allowed(limit), most_after_change,
      allowed(limit / 2), calm, restart, changed, ended, asks);
}

INSTANTIATE_TEST_SUITE_P(Fleets, LimitedFleetTest,
                         testing::Values(Scenario{5, 4.6}, Scenario{5, 40.0},
                                         Scenario{34, 4.6}, Scenario{34, 40.0},
                                         Scenario{300, 4.6},
                                         Scenario{300, 40.0}));

}  // namespace
}  // namespace balsam::limits
