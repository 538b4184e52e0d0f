// Selects the backend server for a request, based on this entry's own requests,
// the load that other entries report, and the outcomes of recent requests.
// Health is derived from outcomes because a server can pass its health check
// and still fail requests.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "libraries/base/boot_clock.h"
#include "libraries/directory/backend_directory.h"
#include "libraries/dispatch/load_reports.h"
#include "libraries/dispatch/outcome_history.h"
#include "libraries/dispatch/usage.h"
#include "libraries/routing/configuration.h"

namespace balsam::dispatch {

// The resources that a request is expected to use at a backend server.
struct Demand {
  std::string service;
  // Prompt tokens, and the expected number of output tokens. Zero for plain
  // requests.
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;
  // Servers in this data centre are preferred; empty for no preference.
  std::string data_center;
  // The request is the migration of a running generation, whose memory is
  // copied to the server over links that many copies share at the same time.
  bool is_migration = false;
  // The part of an engine's memory that the request leaves free for more urgent
  // ones (`DemandMix`), from 0 to 1. Does not apply to migrations.
  double memory_left_free = 0.0;
  // Servers that are not to be tried again.
  std::set<std::string> excluded;

  std::int64_t Tokens() const { return prompt_tokens + output_tokens; }
};

class ServerSelector {
 public:
  struct Limits {
    // Fraction of an engine's memory up to which the expected final sizes of
    // its generations may add up. Generations do not all reach their final size
    // at once, so the memory is rarely full.
    double memory_fraction = 1.0;
    // The same limit for migrations. It is higher because a running generation
    // holds less than its final size now, and is lost if no target takes it,
    // whereas a new request can be retried.
    double migration_memory_fraction = 1.05;
    // Maximum prefill backlog of an engine, the new prompt included; an engine
    // without a backlog takes any prompt. A longer backlog would take more than
    // the 1.2 s that most objectives leave (on the platform, an engine prefills
    // chunks of 112 tokens in 8 ms each, between steps of 7 ms and more). Does
    // not apply to migrations.
    std::int64_t max_prefill_tokens = 9000;
    // Requests that a plain server may have queued, as a fraction of its slots.
    double queue_fraction = 1.0;
    // How long a server is skipped after a connection to it failed.
    std::chrono::milliseconds unreachable_cooldown{1000};
    // How long a server is skipped after it refused a request for lack of
    // capacity.
    std::chrono::milliseconds refused_cooldown{100};
    // A server whose load total is older than this is still queried for its
    // load, even if by that total it has no capacity.
    std::chrono::milliseconds stale_total_age{300};
    // How long the load report of another entry is valid.
    std::chrono::milliseconds report_lifetime{1500};
  };

  ServerSelector(Limits limits, std::uint64_t seed)
      : limits_(limits), random_(seed) {}

  struct Choice {
    std::string id;
    directory::Endpoint endpoint;
  };

  // How many servers of a service were skipped, by reason.
  struct SkipCounts {
    // All servers of the service, skipped or not.
    int servers = 0;
    int leaving = 0;
    // In a data centre that operators have evacuated.
    int evacuated = 0;
    // Already tried by this request.
    int excluded = 0;
    // Refused a request or was unreachable a moment ago.
    int in_cooldown = 0;
    // Requested backoff.
    int in_backoff = 0;
    // Names a limit that other requests use up for now.
    int limited = 0;
    // Failed too many recent requests.
    int unhealthy = 0;
    int without_slot = 0;
    int without_memory = 0;
    // Has too many prompt tokens left to prefill.
    int prefill_backlog = 0;

    bool operator==(const SkipCounts&) const = default;
  };

  // Returns nothing if no server of the service has capacity now.
  std::optional<Choice> Select(const directory::BackendDirectory& directory,
                               const routing::EngineTraits* engine,
                               const Demand& demand, BootTime now);
  // Returns up to `max_count` servers that may have capacity, so that the
  // caller can query their current load before it selects one. Known loads are
  // stale where many entries choose, so the list is randomized rather than
  // limited to the best servers.
  std::vector<Choice> Candidates(const directory::BackendDirectory& directory,
                                 const routing::EngineTraits* engine,
                                 const Demand& demand, std::size_t max_count,
                                 BootTime now);
  // Like `Select`, restricted to `candidates`.
  std::optional<Choice> SelectAmong(
      const std::vector<Choice>& candidates,
      const directory::BackendDirectory& directory,
      const routing::EngineTraits* engine, const Demand& demand, BootTime now);
  // Whether any server of the service could take the request when idle.
  bool IsServable(const directory::BackendDirectory& directory,
                  const routing::EngineTraits* engine,
                  const Demand& demand) const;

  // From the last call of `Select`, `SelectAmong` or `Candidates`.
  const SkipCounts& skip_counts() const { return skip_counts_; }

  // A request of this entry started.
  void OnStart(const std::string& id, const Demand& demand);
  // The first event arrived, so the prefill is complete.
  void OnFirstEvent(const std::string& id, const Demand& demand);
  // `had_first_event`: whether `OnFirstEvent` was called for the request.
  void OnEnd(const std::string& id, const Demand& demand, bool had_first_event);
  void OnResult(const std::string& id, AttemptResult result, BootTime now);
  // The server asked this entry to send no requests before `until`.
  void OnBackoffRequested(const std::string& id, BootTime until, BootTime now);
  // A new incarnation of the server started at `began`. A backoff that only the
  // former one can have requested ends. All else remains: requests may run on
  // the new one already, and outcomes fade by themselves.
  void OnRestarted(const std::string& id, BootTime began);
  // The server names a limit, and there is no permit for another request before
  // `until`.
  void OnPermitDenied(const std::string& id, BootTime until);
  bool IsBackingOff(const std::string& id, BootTime now) const {
    return RecordOf(id).backoff_until > now;
  }
  // The earliest end of backoff, or of a wait for permits, among the servers
  // that can take the request; nothing if any of them has neither, or if there
  // are none.
  std::optional<BootTime> EarliestBackoffEnd(
      const directory::BackendDirectory& directory, const Demand& demand,
      BootTime now) const;
  // Drops the state of a server that was removed.
  void Forget(const std::string& id);
  // Drops the records of servers that have no requests from this entry, no
  // recent outcomes and no backoff, and reports that have expired. A request
  // may end after its server's record was dropped.
  void RemoveIdleServers(BootTime now);
  // Number of servers that have a record.
  std::size_t tracked_servers() const { return records_.size(); }

  // The loads that other entries report.
  LoadReports& reports() { return reports_; }
  const LoadReports& reports() const { return reports_; }
  // The load of this entry, to be reported to other entries.
  UsageByServer LocalUsage(BootTime now) const;
  // Incremented with each change of `LocalUsage`, except the decay of failures.
  std::uint64_t usage_version() const { return usage_version_; }

  // Usage by this entry and all others.
  Usage UsageOf(const std::string& id, BootTime now) const;
  // Weighted share of failures among recent outcomes, from 0 to 1, here and at
  // other entries.
  double FailureRate(const std::string& id, BootTime now) const;

 private:
  struct Record {
    // This entry's usage; `failures` is not set here but derived from
    // `outcomes`.
    Usage local;
    OutcomeHistory outcomes;
    // The server has run generations.
    bool is_engine = false;
    BootTime cooldown_until;
    // Requested by the server, and when.
    BootTime backoff_until;
    BootTime backoff_requested_at;
    // Until then there is no permit for the server.
    BootTime no_permit_until;
  };

  // The counter to increment for a skipped server; null if it is eligible.
  using SkipReason = int SkipCounts::*;

  // Returns an empty record for a server without one.
  const Record& RecordOf(const std::string& id) const;
  // Tokens up to which an engine's memory may be filled by `demand`, which
  // depends on whether it is a migration.
  double MemoryCapacityFor(const routing::EngineTraits& engine,
                           const Demand& demand) const;
  // `usage`: by all entries at this server.
  SkipReason FindSkipReason(const directory::BackendServer& server,
                            const Usage& usage,
                            const routing::EngineTraits* engine,
                            const Demand& demand, BootTime now) const;
  // Whether the selected server is sent the request or is queried for its load
  // first.
  enum class Purpose { kSend, kQuery };
  // Whether the server is skipped only because of a stale load total.
  bool DependsOnStaleTotal(const directory::BackendServer& server,
                           SkipReason skip_reason, BootTime now) const;
  // Calls `visit(server, score)` for each eligible server.
  template <typename Visit>
  void ForEachEligible(const directory::BackendDirectory& directory,
                       const routing::EngineTraits* engine,
                       const Demand& demand, Purpose purpose, BootTime now,
                       Visit&& visit);
  // Returns the server with the lowest score among those for which
  // `is_candidate` is true.
  template <typename IsCandidate>
  std::optional<Choice> SelectBest(const directory::BackendDirectory& directory,
                                   const routing::EngineTraits* engine,
                                   const Demand& demand, BootTime now,
                                   IsCandidate&& is_candidate);
  // Lower is better.
  double Score(const directory::BackendServer& server, const Usage& usage,
               const routing::EngineTraits* engine, const Demand& demand,
               double noise, BootTime now);

  Limits limits_;
  std::minstd_rand random_;
  std::map<std::string, Record> records_;
  LoadReports reports_{limits_.report_lifetime};
  std::uint64_t usage_version_ = 0;
  SkipCounts skip_counts_;
};

}  // namespace balsam::dispatch
