// Guards against starving large generations under overload: many gateways with
// delayed knowledge of each other's load offer more small generations than the
// engines' memory holds, and a few that need a quarter of an engine. Small ones
// take each piece of memory that is freed. Virtual time, no network.
#include <gtest/gtest.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "libraries/dispatch/server_selector.h"
#include "libraries/dispatch/wait_estimator.h"
#include "libraries/dispatch/wait_queue.h"
#include "tests/libraries/dispatch/engine_fleet.h"

namespace balsam::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kGateways = 12;
constexpr std::size_t kEngines = 12;
constexpr milliseconds kStep{10};
// Reports arrive after this many steps.
constexpr std::size_t kReportDelay = 3;
constexpr milliseconds kDuration{30000};
constexpr milliseconds kObjective{1800};
constexpr milliseconds kTimeLeft{39000};

struct Kind {
  std::int64_t tokens = 0;
  // Runs take from this time to three times as long.
  milliseconds shortest_run{0};
  // Of all gateways.
  double per_second = 0.0;
};
// Alone they need 1.2 times the memory of all engines.
constexpr Kind kSmall{1500, milliseconds(1000), 105.0};
constexpr Kind kLarge{5500, milliseconds(1500), 1.5};

struct Totals {
  int started = 0;
  // Waited in vain; those that wait at the end do not count.
  int refused = 0;
  // Memory used multiplied by its time, in tokens times milliseconds.
  std::int64_t work = 0;

  double StartedShare() const {
    return static_cast<double>(started) /
           static_cast<double>(started + refused);
  }
};

class Simulation {
 public:
  Simulation(MemoryClaims::Limits claims, std::uint64_t seed) : random_(seed) {
    ServerSelector::Limits limits;
    limits.claims = claims;
    for (std::size_t i = 0; i < kGateways; ++i) {
      gateways_.push_back({ServerSelector(limits, seed + i), {}, {}});
    }
  }

  void Run() {
    for (const BootTime end = now_ + kDuration; now_ < end; now_ += kStep) {
      EndRuns();
      Arrive(kSmall, small_);
      Arrive(kLarge, large_);
      for (Gateway& gateway : gateways_) OfferFreeMemory(gateway);
      ExchangeReports();
    }
  }

  const Totals& small() const { return small_; }
  const Totals& large() const { return large_; }

 private:
  struct Request {
    std::size_t gateway = 0;
    const Kind* kind = nullptr;
    Totals* totals = nullptr;
    Demand demand;
    // Empty while it waits.
    std::string engine;
    BootTime ends_at;
  };
  struct Gateway {
    ServerSelector selector;
    WaitQueue<Request*> queue;
    std::deque<UsageByServer> reports_on_their_way;
  };

  void Arrive(const Kind& kind, Totals& totals) {
    std::poisson_distribution<int> arrivals(
        kind.per_second * std::chrono::duration<double>(kStep).count());
    std::uniform_int_distribution<std::size_t> gateway(0, kGateways - 1);
    for (int left = arrivals(random_); left > 0; --left) {
      auto request = std::make_unique<Request>();
      *request = {gateway(random_),
                  &kind,
                  &totals,
                  EngineFleet::Generation(kind.tokens, 0),
                  {},
                  {}};
      if (!TryStart(*request)) Enqueue(*request);
      requests_.push_back(std::move(request));
    }
  }

  void Enqueue(Request& request) {
    Gateway& gateway = gateways_[request.gateway];
    const BootTime claimed_until = now_ + MaxClaimTime(kObjective, kTimeLeft);
    const auto claim = fleet_.BeginClaim(gateway.selector, request.demand,
                                         claimed_until, now_);
    request.demand.claim = claim.value_or(kNoClaim);
    const BootTime expires_at =
        claim.has_value()
            ? claimed_until
            : now_ + MaxQueueWait(WorkKind::kGeneration, kObjective, kTimeLeft);
    gateway.queue.Push(&request, 0, now_ + kObjective, expires_at);
  }

  bool TryStart(Request& request) {
    ServerSelector& selector = gateways_[request.gateway].selector;
    const auto choice = fleet_.Select(selector, request.demand, now_);
    if (!choice.has_value()) return false;
    selector.EndClaim(request.demand.claim);
    request.engine = choice->id;
    std::uniform_int_distribution<milliseconds::rep> run(
        request.kind->shortest_run.count(),
        3 * request.kind->shortest_run.count());
    const milliseconds run_time(run(random_));
    request.ends_at = now_ + run_time;
    ++request.totals->started;
    request.totals->work += request.kind->tokens * run_time.count();
    selector.OnStart(request.engine, request.demand);
    selector.OnFirstEvent(request.engine, request.demand);
    return true;
  }

  void OfferFreeMemory(Gateway& gateway) {
    gateway.queue.OfferCapacity(
        now_, [this](Request* request) { return TryStart(*request); });
    for (Request* request : gateway.queue.TakeExpired(now_)) {
      gateway.selector.EndClaim(request->demand.claim);
      ++request->totals->refused;
      std::erase_if(requests_, [request](const auto& item) {
        return item.get() == request;
      });
    }
  }

  void EndRuns() {
    std::erase_if(requests_, [this](const auto& request) {
      if (request->engine.empty() || request->ends_at > now_) return false;
      gateways_[request->gateway].selector.OnEnd(request->engine,
                                                 request->demand, true);
      return true;
    });
  }

  void ExchangeReports() {
    for (std::size_t from = 0; from < kGateways; ++from) {
      auto& reports = gateways_[from].reports_on_their_way;
      reports.push_back(gateways_[from].selector.LocalUsage(now_));
      if (reports.size() <= kReportDelay) continue;
      for (std::size_t to = 0; to < kGateways; ++to) {
        if (to == from) continue;
        gateways_[to].selector.reports().ReplaceReport(std::to_string(from),
                                                       reports.front(), now_);
      }
      reports.pop_front();
    }
  }

  std::mt19937_64 random_;
  BootTime now_ = BootTime{} + std::chrono::hours(1);
  EngineFleet fleet_{kEngines, now_};
  std::vector<Gateway> gateways_;
  std::vector<std::unique_ptr<Request>> requests_;
  Totals small_;
  Totals large_;
};

class LargeRequestTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(LargeRequestTest, ClaimsKeepLargeRequestsFromStarving) {
  MemoryClaims::Limits no_claims;
  no_claims.max_claims = 0;
  Simulation before(no_claims, GetParam());
  before.Run();
  Simulation after({}, GetParam());
  after.Run();
  RecordProperty("large_before", std::to_string(before.large().StartedShare()));
  RecordProperty("large_after", std::to_string(after.large().StartedShare()));
  RecordProperty("small_before", std::to_string(before.small().StartedShare()));
  RecordProperty("small_after", std::to_string(after.small().StartedShare()));
  EXPECT_LE(before.large().StartedShare(), 0.5);
  // Large requests are to fare no worse than small ones.
  EXPECT_GE(after.large().StartedShare(), after.small().StartedShare());
  // Small ones lose the memory that large ones use, and at most the share of
  // the fleet that may be claimed.
  const auto work_before =
      static_cast<double>(before.small().work + before.large().work);
  const auto work_after =
      static_cast<double>(after.small().work + after.large().work);
  EXPECT_GE(work_after,
            (1.0 - MemoryClaims::Limits{}.max_fleet_share) * work_before);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LargeRequestTest, testing::Values(1, 2, 3));

}  // namespace
}  // namespace balsam::dispatch
