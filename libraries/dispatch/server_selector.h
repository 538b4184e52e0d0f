// Chooses the backend server for a request, from this entry's own requests,
// from what the other entries report of theirs, and from how recent requests
// ended. Health is judged by outcomes, since a server may say that it is well
// and fail.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/boot_clock.h"
#include "libraries/directory/backend_directory.h"
#include "libraries/routing/configuration.h"

namespace balsam::dispatch {

// What a request is expected to take of a backend server.
struct Demand {
  std::string service;
  // Tokens of its prompt, and tokens that it is expected to produce. Zero for
  // plain requests.
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 0;
  // Servers in this data centre are preferred. May be empty.
  std::string data_center;
  // The memory of a live run is copied there, over links that many copies
  // share at the same moment.
  bool is_transfer = false;
  // Servers that were tried already.
  std::set<std::string> excluded;

  std::int64_t Tokens() const { return prompt_tokens + output_tokens; }
};

// Requests and tokens of one entry, or of several, at one server.
struct Usage {
  std::int64_t requests = 0;
  std::int64_t tokens = 0;
  // Prompt tokens of requests that have produced nothing yet: they delay
  // whatever else the engine runs.
  std::int64_t unread_prompt_tokens = 0;
  // Generations that failed there lately, faded. An engine that breaks off
  // whatever it gets looks idle to everyone who has not tried it.
  std::int64_t failures = 0;

  Usage& operator+=(const Usage& other) {
    requests += other.requests;
    tokens += other.tokens;
    unread_prompt_tokens += other.unread_prompt_tokens;
    failures += other.failures;
    return *this;
  }
  bool operator==(const Usage&) const = default;
};

enum class AttemptResult {
  kServed,
  // Said that it had no room.
  kRefused,
  // Failed, broke off, or did not answer in a multiple of its objective.
  kFailed,
  // Took longer than its objective. Counts as failed here, and is not told to
  // other entries: under load that is true of many servers.
  kSlow,
  // Could not be connected to.
  kUnreachable,
};

// Names a server in few bytes where entries tell each other of usage. Two that
// fall together are each taken to be as busy as both.
std::uint32_t ServerKey(std::string_view id);

class ServerSelector {
 public:
  struct Limits {
    // Share of an engine's memory that generations may be expected to fill in
    // the end. They do not end together, so it is rarely full at any moment.
    double memory_share = 0.92;
    // The same for live runs that move. They hold less now than in the end, and
    // one that finds no place is lost, where a new request can come again.
    double transfer_memory_share = 1.05;
    // An engine with more prompt tokens to read than this gets no further
    // prompt: it is busy for most of a second, and another engine, or a more
    // urgent request, may come first meanwhile.
    std::int64_t max_unread_tokens = 6000;
    // Requests beyond its slots that a plain server is given to queue.
    double queue_share = 1.0;
    // For how long a server that cannot be connected to is passed over.
    std::chrono::milliseconds unreachable_pause{1000};
    // For how long a server that had no room is passed over.
    std::chrono::milliseconds refused_pause{100};
    // An engine with so many failures of late, more than it served here, gets
    // nothing until some of them have faded: what it would lose is worth more
    // than a try. One entry's word counts for two, since its own links may be
    // the cause.
    double breaking_failures = 3.0;
    std::int64_t max_told_failures = 2;
    // Time in which the memory of a failure halves.
    std::chrono::milliseconds failure_half_life{2500};
    // Reports of another entry count no longer than this.
    std::chrono::milliseconds report_lifetime{1500};
  };

  ServerSelector(Limits limits, std::uint64_t seed)
      : limits_(limits), random_(seed) {}

  struct Choice {
    std::string id;
    directory::Endpoint endpoint;
  };

  // Why servers of a service were not chosen.
  struct Census {
    int servers = 0;
    int leaving = 0;
    // Tried before by the same request.
    int excluded = 0;
    // Refused, or could not be reached, a moment ago.
    int paused = 0;
    // Passed over for their failures.
    int broken = 0;
    int without_slot = 0;
    int without_memory = 0;
    // With too many prompt tokens to read.
    int reading = 0;

    bool operator==(const Census&) const = default;
  };

  // Nothing if no server of the service has room now.
  std::optional<Choice> Select(const directory::BackendDirectory& directory,
                               const routing::EngineTraits* engine,
                               const Demand& demand, BootTime now);
  // Whether any server of the service could take the request if it were idle.
  bool IsServable(const directory::BackendDirectory& directory,
                  const routing::EngineTraits* engine,
                  const Demand& demand) const;

  // Of the last call of `Select`.
  const Census& census() const { return census_; }

  // This entry's requests.
  void OnStart(const std::string& id, const Demand& demand);
  // Its prompt has been read: the first event came.
  void OnFirstEvent(const std::string& id, const Demand& demand);
  // `began`: whether `OnFirstEvent` was called.
  void OnEnd(const std::string& id, const Demand& demand, bool began);
  void OnResult(const std::string& id, AttemptResult result, BootTime now);
  // A server began a new incarnation or is gone: nothing of before holds.
  void Forget(const std::string& id);
  // Drops what is known of servers that have no request here and gave no result
  // for a while; requests may end after their server was forgotten.
  void DropIdle(BootTime now);
  // Servers that something is known of.
  std::size_t known() const { return records_.size(); }

  // Another entry's requests, all of them.
  void OnReport(const std::string& entry, std::map<std::uint32_t, Usage> usage,
                BootTime now);
  // Those of its servers where something changed.
  void OnReportChanges(const std::string& entry,
                       const std::map<std::uint32_t, Usage>& changes,
                       BootTime now);
  // It is alive, and what it reported holds.
  void OnEntryHeard(const std::string& entry, BootTime now);
  std::map<std::uint32_t, Usage> OwnUsage(BootTime now) const;
  // Counts up with each change of `OwnUsage`, but for failures that fade.
  std::uint64_t usage_changes() const { return usage_changes_; }

  // Of this entry and all others.
  Usage UsageOf(const std::string& id, BootTime now) const;
  // Between 0 and 1: the weight of failures among recent outcomes, with those
  // that other entries reported.
  double FailureShare(const std::string& id, BootTime now) const;

 private:
  struct Record {
    Usage own;
    // Sums of outcomes that fade with `failure_half_life`.
    double failures = 0.0;
    double outcomes = 0.0;
    // Of `failures`, those of generations that others are told of.
    double told_failures = 0.0;
    // Of `outcomes`, those that were served.
    double served = 0.0;
    // Has run generations.
    bool is_engine = false;
    BootTime faded_at;
    BootTime paused_until;
  };
  struct Report {
    std::map<std::uint32_t, Usage> usage;
    BootTime at;
  };

  double Faded(double value, const Record& record, BootTime now) const;
  double FailureShare(const std::string& id, std::int64_t others_failures,
                      BootTime now) const;
  // Whether an engine is passed over for its failures.
  bool IsBroken(const std::string& id, std::int64_t others_failures,
                BootTime now) const;
  // Lower is better; nothing if the server has no room, which is counted.
  std::optional<double> Score(const directory::BackendServer& server,
                              const routing::EngineTraits* engine,
                              const Demand& demand, BootTime now);

  Limits limits_;
  std::minstd_rand random_;
  std::map<std::string, Record> records_;
  std::map<std::string, Report> reports_;
  std::uint64_t usage_changes_ = 0;
  Census census_;
};

}  // namespace balsam::dispatch
