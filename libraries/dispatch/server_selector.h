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
#include <vector>

#include "libraries/base/boot_clock.h"
#include "libraries/directory/backend_directory.h"
#include "libraries/dispatch/load_reports.h"
#include "libraries/dispatch/outcome_history.h"
#include "libraries/dispatch/usage.h"
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

class ServerSelector {
 public:
  struct Limits {
    // Share of an engine's memory that generations may be expected to fill in
    // the end. They do not end together, so it is rarely full at any moment.
    double memory_share = 1.0;
    // The same for live runs that move. They hold less now than in the end, and
    // one that finds no place is lost, where a new request can come again.
    double transfer_memory_share = 1.05;
    // A prompt is not given to an engine that would have more to read than
    // this, itself included, unless it has nothing to read: it would take
    // longer than the 1.2 s that most objectives leave (platform: chunks of 112
    // tokens, each of 8 ms, between steps of 7 ms and more).
    std::int64_t max_unread_tokens = 9000;
    // Requests beyond its slots that a plain server is given to queue.
    double queue_share = 1.0;
    // For how long a server that cannot be connected to is passed over.
    std::chrono::milliseconds unreachable_pause{1000};
    // For how long a server that had no room is passed over.
    std::chrono::milliseconds refused_pause{100};
    // What was told of a server this long ago does not keep it from being asked
    // how busy it is.
    std::chrono::milliseconds old_sum{300};
    // Reports of another entry count no longer than this.
    std::chrono::milliseconds report_lifetime{1500};
  };

  ServerSelector(Limits limits, std::uint64_t seed)
      : limits_(limits), random_(seed) {}

  struct Choice {
    std::string id;
    directory::Endpoint endpoint;
  };

  // How many servers of a service were passed over, and why.
  struct PassedOver {
    // All that the service has.
    int servers = 0;
    int leaving = 0;
    // Tried before by the same request.
    int excluded = 0;
    // Refused, or could not be reached, a moment ago.
    int paused = 0;
    // Asked for time without requests.
    int resting = 0;
    // Failed too often lately.
    int broken = 0;
    int without_slot = 0;
    int without_memory = 0;
    // With too many prompt tokens to read.
    int reading = 0;

    bool operator==(const PassedOver&) const = default;
  };

  // Nothing if no server of the service has room now.
  std::optional<Choice> Select(const directory::BackendDirectory& directory,
                               const routing::EngineTraits* engine,
                               const Demand& demand, BootTime now);
  // Up to `most` servers that may have room by what is known, to ask how busy
  // they are. What is known is old where many entries choose, so that not only
  // the best are named.
  std::vector<Choice> Candidates(const directory::BackendDirectory& directory,
                                 const routing::EngineTraits* engine,
                                 const Demand& demand, std::size_t most,
                                 BootTime now);
  // As `Select`, among these servers only.
  std::optional<Choice> SelectAmong(
      const std::vector<Choice>& candidates,
      const directory::BackendDirectory& directory,
      const routing::EngineTraits* engine, const Demand& demand, BootTime now);
  // Whether any server of the service could take the request if it were idle.
  bool IsServable(const directory::BackendDirectory& directory,
                  const routing::EngineTraits* engine,
                  const Demand& demand) const;

  // By the last call of `Select`.
  const PassedOver& passed_over() const { return passed_over_; }

  // This entry's requests.
  void OnStart(const std::string& id, const Demand& demand);
  // Its prompt has been read: the first event came.
  void OnFirstEvent(const std::string& id, const Demand& demand);
  // `began`: whether `OnFirstEvent` was called.
  void OnEnd(const std::string& id, const Demand& demand, bool began);
  void OnResult(const std::string& id, AttemptResult result, BootTime now);
  // The server wants no request of this entry before `until`.
  void OnRestAsked(const std::string& id, BootTime until);
  bool IsResting(const std::string& id, BootTime now) const {
    return RecordOf(id).rests_until > now;
  }
  // When the first of the servers that the request may go to has rested;
  // nothing if one of them does not rest, or if there is none.
  std::optional<BootTime> EarliestEndOfRest(
      const directory::BackendDirectory& directory, const Demand& demand,
      BootTime now) const;
  // A server began a new incarnation or is gone: nothing of before holds.
  void Forget(const std::string& id);
  // Drops what is known of servers that have no request here and gave no result
  // for a while; requests may end after their server was forgotten.
  void DropIdle(BootTime now);
  // Servers that something is known of.
  std::size_t known() const { return records_.size(); }

  // What the other entries report of theirs.
  LoadReports& reports() { return reports_; }
  const LoadReports& reports() const { return reports_; }
  // What to tell them of this entry's.
  UsageByServer OwnUsage(BootTime now) const;
  // Counts up with each change of `OwnUsage`, but for failures that fade.
  std::uint64_t usage_changes() const { return usage_changes_; }

  // Of this entry and all others.
  Usage UsageOf(const std::string& id, BootTime now) const;
  // Between 0 and 1: the weight of failures among recent outcomes, here and at
  // other entries.
  double FailureShare(const std::string& id, BootTime now) const;

 private:
  struct Record {
    // Without failures.
    Usage own;
    OutcomeHistory outcomes;
    // It has run generations.
    bool is_engine = false;
    BootTime paused_until;
    // By the server's own word.
    BootTime rests_until;
  };

  // Counts what keeps a server from being chosen; null if nothing does.
  using Obstacle = int PassedOver::*;

  // An empty one if nothing is known.
  const Record& RecordOf(const std::string& id) const;
  // Tokens that an engine may be expected to hold for work of this kind.
  double RoomOf(const routing::EngineTraits& engine,
                const Demand& demand) const;
  // `usage`: of all entries at this server.
  Obstacle FindObstacle(const directory::BackendServer& server,
                        const Usage& usage, const routing::EngineTraits* engine,
                        const Demand& demand, BootTime now) const;
  // What a server is chosen for: to be sent the request, or to be asked first.
  enum class Purpose { kSend, kAsk };
  // Whether the obstacle follows from what was told of the server a while ago.
  bool IsOldWord(const directory::BackendServer& server, Obstacle obstacle,
                 BootTime now) const;
  // Calls `visit(server, score)` for each server that may be chosen.
  template <typename Visit>
  void ForEachChoice(const directory::BackendDirectory& directory,
                     const routing::EngineTraits* engine, const Demand& demand,
                     Purpose purpose, BootTime now, Visit&& visit);
  // The one with the lowest score of those for which `is_candidate` holds.
  template <typename IsCandidate>
  std::optional<Choice> BestOf(const directory::BackendDirectory& directory,
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
  std::uint64_t usage_changes_ = 0;
  PassedOver passed_over_;
};

}  // namespace balsam::dispatch
