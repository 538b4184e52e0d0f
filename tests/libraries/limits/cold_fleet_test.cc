// A fleet of entries and cold servers, in virtual time: how many requests reach
// a cold server in its worst second while those that issue permits die, or more
// than one believes that it does.
//
// Load: each entry always has another request for each server, so a cold server
// gets all that the permits let through.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "libraries/limits/limit_table.h"
#include "libraries/limits/server_permits.h"

namespace balsam::limits {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kServer = 7;
constexpr std::size_t kEntries = 31;
// Until a request without a reply is tried elsewhere.
constexpr milliseconds kUnansweredRetry{80};
// From a permit to its request, at most.
constexpr milliseconds kMaxSendDelay{20};
const BootTime kStart{std::chrono::hours(1)};

// Platform: the most requests that reach a cold server in any one second.
double Allowed(double rate) { return 1.5 * rate + 5.0; }

class ColdFleetTest : public testing::TestWithParam<double> {
 protected:
  struct Asked {
    std::size_t issuer = 0;
    IssuerRole role = IssuerRole::kPrimary;
  };
  // Whom an entry asks at a time since the start; nothing if that one is dead.
  using Choose =
      std::function<std::optional<Asked>(std::size_t entry, milliseconds time)>;
  struct Entry {
    LimitTable table;
    ServerPermits permits;
    std::map<std::uint32_t, milliseconds> denied_until;
  };

  void MakeCold(std::uint32_t server, double rate) {
    for (Entry& entry : entries_) {
      EXPECT_TRUE(
          entry.table.SetCold(server, rate, kStart + std::chrono::hours(1)));
    }
  }

  void Flood(milliseconds begin, milliseconds end, const Choose& choose,
             const std::vector<std::uint32_t>& servers = {kServer}) {
    for (milliseconds now = begin; now < end; ++now) {
      for (std::size_t i = 0; i < kEntries; ++i) {
        for (const std::uint32_t server : servers) Ask(i, server, now, choose);
      }
    }
  }

  void Ask(std::size_t asker, std::uint32_t server, milliseconds now,
           const Choose& choose) {
    milliseconds& denied_until = entries_[asker].denied_until[server];
    if (now < denied_until) return;
    const auto asked = choose(asker, now);
    if (!asked.has_value()) {
      denied_until = now + kUnansweredRetry;
      return;
    }
    Entry& issuer = entries_[asked->issuer];
    const auto decision = issuer.permits.Request(
        issuer.table, server, std::to_string(asker), asked->role, kStart + now);
    denied_until = now + decision.retry_after;
    if (!decision.is_granted) return;
    std::uniform_int_distribution<int> delay(0, kMaxSendDelay.count());
    sent_[server].push_back(now + milliseconds(delay(random_)));
  }

  double MostInASecond(std::uint32_t server = kServer) {
    std::vector<milliseconds>& times = sent_[server];
    std::ranges::sort(times);
    std::ptrdiff_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
      most = std::max(most, std::lower_bound(first, times.end(),
                                             *first + milliseconds(1000)) -
                                first);
    }
    return static_cast<double>(most);
  }

  std::minstd_rand random_{1};
  std::vector<Entry> entries_ = std::vector<Entry>(kEntries);
  std::map<std::uint32_t, std::vector<milliseconds>> sent_;
};

TEST_P(ColdFleetTest, SteadyFloodStaysWithinTheRateAndUsesHalfOfIt) {
  MakeCold(kServer, GetParam());
  Flood(milliseconds(0), milliseconds(4000), [](auto, auto) {
    return Asked{0, IssuerRole::kPrimary};
  });
  EXPECT_LE(MostInASecond(), Allowed(GetParam()));
  EXPECT_GE(static_cast<double>(sent_[kServer].size()),
            4.0 * 0.45 * GetParam() - 1.0);
}

// The backup takes over with what accumulated there, much sooner than a death
// is known in fact.
TEST_P(ColdFleetTest, IssuerKilledInTheSecond) {
  MakeCold(kServer, GetParam());
  constexpr milliseconds kDeath{2000};
  Flood(milliseconds(0), milliseconds(4000),
        [&](std::size_t entry, milliseconds now) -> std::optional<Asked> {
          if (now < kDeath) {
            return entry % 8 == 0 ? Asked{1, IssuerRole::kBackup} : Asked{};
          }
          if (now < kDeath + milliseconds(20)) return std::nullopt;
          return Asked{1, now < kDeath + milliseconds(300)
                              ? IssuerRole::kBackup
                              : IssuerRole::kPrimary};
        });
  EXPECT_LE(MostInASecond(), Allowed(GetParam()));
}

// Each of both has a backup, all have accumulated permits, and one request
// cannot wait for one.
TEST_P(ColdFleetTest, TwoIssuersAtOnce) {
  MakeCold(kServer, GetParam());
  const auto choose = [](std::size_t entry, milliseconds) {
    return Asked{entry % 4,
                 entry % 4 < 2 ? IssuerRole::kPrimary : IssuerRole::kBackup};
  };
  Flood(milliseconds(0), milliseconds(1000), choose);
  const milliseconds resumed{4000};
  sent_[kServer].push_back(resumed);
  entries_[0].permits.Charge(entries_[0].table, kServer, IssuerRole::kPrimary,
                             kStart + resumed);
  Flood(resumed, milliseconds(8000), choose);
  EXPECT_LE(MostInASecond(), Allowed(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(Rates, ColdFleetTest,
                         testing::Values(0.01, 1.0, 25.0, 40.0, 400.0));

// A data centre of eighteen servers is taken back: each has its own permits.
TEST_F(ColdFleetTest, ServersTakenBackAtOnceGetTheirOwnRates) {
  constexpr double kRate = 25.0;
  std::vector<std::uint32_t> servers;
  for (std::uint32_t server = 1; server <= 18; ++server) {
    servers.push_back(server);
    MakeCold(server, kRate);
  }
  Flood(
      milliseconds(0), milliseconds(2000), [](auto, auto) { return Asked{}; },
      servers);
  for (const std::uint32_t server : servers) {
    EXPECT_LE(MostInASecond(server), Allowed(kRate));
    EXPECT_GE(sent_[server].size(), 22U);
  }
}

// The server in need names less than a cold one bears, and still holds to that
// when it is warm; turned warm without a limit, it needs no permits.
TEST_F(ColdFleetTest, SmallerLimitBindsAndOutlastsTheCold) {
  MakeCold(kServer, 25.0);
  LimitTable& table = entries_[0].table;
  table.OnResponse(kServer, 5.0, kStart);
  const auto choose = [](auto, auto) { return Asked{}; };
  Flood(milliseconds(0), milliseconds(4000), choose);
  EXPECT_LE(sent_[kServer].size(), 21U);
  EXPECT_EQ(table.LimitOf(kServer), 5.0);
  table.RemoveExpired(kStart + milliseconds(4000));
  table.EndCold(kServer);
  EXPECT_EQ(table.LimitOf(kServer), 5.0);
  table.OnResponse(kServer, std::nullopt, kStart + milliseconds(4000));
  EXPECT_FALSE(table.LimitOf(kServer).has_value());
  // Later than the entries were last told to wait.
  Flood(milliseconds(7000), milliseconds(7010), choose);
  EXPECT_GE(sent_[kServer].size(), 310U);
}

}  // namespace
}  // namespace balsam::limits
