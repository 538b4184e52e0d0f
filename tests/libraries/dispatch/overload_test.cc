// Guards against losing running generations under overload: more long
// generations arrive than the engines' memory holds, at several gateways that
// each have their own wait queue, and every few seconds a sixth of the engines
// leaves at short notice. Queued requests take all capacity as it is freed.
// With long queues, the generations of those engines find no target to migrate
// to and are lost; with short ones, the excess is refused at once. Virtual
// time, no network.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
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

constexpr std::size_t kGateways = 6;
constexpr std::size_t kEngines = 12;
// Offered load relative to the capacity of the engines.
constexpr double kLoadFactor = 1.25;
constexpr std::int64_t kPrompt = 3000;
constexpr std::int64_t kOutput = 750;
// Time in which an engine prefills a prompt beside its other work.
constexpr milliseconds kPrefillTime{430};
constexpr milliseconds kRunTime{8000};
constexpr milliseconds kObjective{1800};
constexpr milliseconds kTimeLeft{39000};
// Time between reclaims, from the leave notice to the end of an engine, and
// from the notice to its replacement.
constexpr milliseconds kReclaimInterval{3300};
constexpr milliseconds kNotice{1800};
constexpr milliseconds kReplacementTime{4000};
constexpr std::size_t kReclaimedAtOnce = 2;
constexpr milliseconds kStep{20};
constexpr milliseconds kDuration{60000};

class OverloadSimulation {
 public:
  // `kind` determines how long generations may wait.
  OverloadSimulation(WorkKind kind, std::uint64_t seed)
      : kind_(kind), random_(seed) {
    for (std::size_t i = 0; i < kEngines; ++i) {
      engines_.push_back({i, now_, {}});
    }
    for (std::size_t i = 0; i < kGateways; ++i) {
      gateways_.push_back({ServerSelector({}, seed + i), {}});
    }
  }

  void Run() {
    const double generations_per_engine =
        static_cast<double>(fleet_.traits().memory_tokens) *
        ServerSelector::Limits{}.memory_fraction / (kPrompt + kOutput);
    const double per_second =
        kLoadFactor * kEngines * generations_per_engine /
        std::chrono::duration<double>(kPrefillTime + kRunTime).count();
    std::poisson_distribution<int> arrivals(
        per_second * std::chrono::duration<double>(kStep).count());
    std::uniform_int_distribution<std::size_t> gateway(0, kGateways - 1);
    const BootTime end = now_ + kDuration;
    for (; now_ < end; now_ += kStep) {
      Reclaim();
      Advance();
      for (std::size_t i = 0; i < kGateways; ++i) OfferFreeCapacity(i);
      for (int left = arrivals(random_); left > 0; --left) {
        Arrive(gateway(random_));
      }
    }
  }

  // Number of requests that started on time and were not lost.
  int on_time() const { return on_time_; }
  int lost() const { return lost_; }

 private:
  struct Engine {
    // Index in the fleet.
    std::size_t index = 0;
    // When all prompts that it was sent are prefilled.
    BootTime prefill_done_at;
    // When it received a leave notice; zero if it is not leaving.
    BootTime notice_at;
  };
  struct Request {
    std::size_t gateway = 0;
    BootTime arrived;
    // Null while the request waits.
    Engine* engine = nullptr;
    BootTime starts_at;
    bool on_time = false;
    bool has_started = false;
    bool lost = false;
  };
  struct Gateway {
    ServerSelector selector;
    WaitQueue<Request*> queue;
  };

  static Demand GenerationDemand() {
    return EngineFleet::Generation(kPrompt, kOutput);
  }
  const std::string& IdOf(const Engine& engine) const {
    return fleet_.id(engine.index);
  }

  void Arrive(std::size_t gateway) {
    auto request = std::make_unique<Request>();
    request->gateway = gateway;
    request->arrived = now_;
    if (!TryStart(*request)) {
      gateways_[gateway].queue.Push(
          request.get(), 0, now_ + kObjective - kPrefillTime,
          now_ + MaxQueueWait(kind_, kObjective, kTimeLeft));
    }
    requests_.push_back(std::move(request));
  }

  Engine* Select(const Request& request, bool is_migration) {
    Demand demand = GenerationDemand();
    demand.is_migration = is_migration;
    const auto choice =
        fleet_.Select(gateways_[request.gateway].selector, demand, now_);
    if (!choice.has_value()) return nullptr;
    return &*std::ranges::find(
        engines_, choice->id,
        [this](const Engine& engine) { return IdOf(engine); });
  }

  bool TryStart(Request& request) {
    Engine* engine = Select(request, false);
    if (engine == nullptr) return false;
    request.engine = engine;
    engine->prefill_done_at =
        std::max(engine->prefill_done_at, now_) + kPrefillTime;
    request.starts_at = engine->prefill_done_at;
    request.on_time = request.starts_at - request.arrived <= kObjective;
    if (request.on_time) ++on_time_;
    gateways_[request.gateway].selector.OnStart(IdOf(*engine),
                                                GenerationDemand());
    ReportToAll(request.gateway);
    return true;
  }

  void Migrate(Request& request) {
    Engine* target = Select(request, true);
    if (target == nullptr) return;
    ServerSelector& selector = gateways_[request.gateway].selector;
    selector.OnEnd(IdOf(*request.engine), GenerationDemand(), true);
    selector.OnStart(IdOf(*target), GenerationDemand());
    selector.OnFirstEvent(IdOf(*target), GenerationDemand());
    request.engine = target;
    ReportToAll(request.gateway);
  }

  void Lose(Request& request) {
    gateways_[request.gateway].selector.OnEnd(
        IdOf(*request.engine), GenerationDemand(), request.has_started);
    request.lost = true;
    ++lost_;
    if (request.on_time) --on_time_;
  }

  void Announce(Engine& engine, bool leaving) {
    fleet_.Announce(engine.index, leaving, now_);
  }

  void Reclaim() {
    for (Engine& engine : engines_) {
      if (engine.notice_at == BootTime{} ||
          now_ - engine.notice_at < kReplacementTime) {
        continue;
      }
      engine.notice_at = BootTime{};
      engine.prefill_done_at = now_;
      Announce(engine, false);
    }
    if (now_ - last_reclaim_ < kReclaimInterval) return;
    last_reclaim_ = now_;
    for (std::size_t i = 0; i < kReclaimedAtOnce; ++i) {
      Engine& engine = engines_[next_reclaimed_++ % kEngines];
      engine.notice_at = now_;
      Announce(engine, true);
    }
  }

  void Advance() {
    for (const auto& request : requests_) {
      if (request->engine == nullptr) continue;
      ServerSelector& selector = gateways_[request->gateway].selector;
      if (!request->has_started && request->starts_at <= now_) {
        request->has_started = true;
        selector.OnFirstEvent(IdOf(*request->engine), GenerationDemand());
      }
      if (request->starts_at + kRunTime <= now_) {
        selector.OnEnd(IdOf(*request->engine), GenerationDemand(), true);
        continue;
      }
      const BootTime notice_at = request->engine->notice_at;
      if (notice_at == BootTime{}) continue;
      if (request->has_started) Migrate(*request);
      if (request->engine->notice_at != BootTime{} &&
          now_ - notice_at >= kNotice) {
        Lose(*request);
      }
    }
    std::erase_if(requests_, [this](const auto& request) {
      return request->lost || (request->engine != nullptr &&
                               request->starts_at + kRunTime <= now_);
    });
    for (std::size_t i = 0; i < kGateways; ++i) ReportToAll(i);
  }

  void OfferFreeCapacity(std::size_t gateway) {
    WaitQueue<Request*>& queue = gateways_[gateway].queue;
    queue.OfferCapacity(
        now_, [this](Request* request) { return TryStart(*request); });
    const std::vector<Request*> expired = queue.TakeExpired(now_);
    std::erase_if(requests_, [&](const auto& request) {
      return std::ranges::find(expired, request.get()) != expired.end();
    });
  }

  // Reports are delivered at once; stale loads are not part of this test.
  void ReportToAll(std::size_t from) {
    const auto usage = gateways_[from].selector.LocalUsage(now_);
    for (std::size_t to = 0; to < kGateways; ++to) {
      if (to == from) continue;
      gateways_[to].selector.reports().ReplaceReport(std::to_string(from),
                                                     usage, now_);
    }
  }

  WorkKind kind_;
  std::mt19937_64 random_;
  BootTime now_ = BootTime{} + std::chrono::hours(1);
  EngineFleet fleet_{kEngines, now_};
  std::vector<Gateway> gateways_;
  std::vector<std::unique_ptr<Request>> requests_;
  std::vector<Engine> engines_;
  BootTime last_reclaim_ = now_;
  std::size_t next_reclaimed_ = 0;
  int on_time_ = 0;
  int lost_ = 0;
};

class OverloadTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(OverloadTest, ShortQueuesLeaveCapacityForMigrations) {
  OverloadSimulation long_queues(WorkKind::kPlain, GetParam());
  long_queues.Run();
  OverloadSimulation short_queues(WorkKind::kGeneration, GetParam());
  short_queues.Run();
  EXPECT_LE(short_queues.lost() * 2, long_queues.lost());
  EXPECT_GE(short_queues.on_time(), long_queues.on_time());
}

INSTANTIATE_TEST_SUITE_P(Seeds, OverloadTest, testing::Values(1, 2, 3));

}  // namespace
}  // namespace balsam::dispatch
