// How requests to one backend server ended lately. Old outcomes fade, so a
// server that recovered is trusted again.
#pragma once

#include <chrono>
#include <cstdint>

#include "libraries/base/boot_clock.h"

namespace balsam::dispatch {

enum class AttemptResult {
  kServed,
  // Said that it had no room.
  kRefused,
  // Failed, broke off, or did not answer in a multiple of its objective.
  kFailed,
  // Took longer than its objective. Counts as failed, and does not break the
  // server: under load it is true of many.
  kSlow,
  // Could not be connected to.
  kUnreachable,
  // Ended for a reason that says nothing of the server, as when the client
  // left.
  kNoVerdict,
};

class OutcomeHistory {
 public:
  // Time in which the weight of an outcome halves.
  static constexpr std::chrono::milliseconds kHalfLife{2500};
  // A server with so many failures, more than it served, is broken: what it
  // would lose is worth more than a try. Some of them fade within a half-life,
  // and it is tried again.
  static constexpr double kBreakingFailures = 3.0;
  // What one entry tells others of its failures at most: its own links may be
  // their cause, so that it takes two entries to break a server for others.
  static constexpr std::int64_t kMaxToldFailures = 2;

  void Add(AttemptResult result, BootTime now);

  // `others_failures`: what other entries told.
  // Between 0 and 1: the weight of failures among outcomes.
  double FailureShare(std::int64_t others_failures, BootTime now) const;
  bool IsBroken(std::int64_t others_failures, BootTime now) const;
  // What to tell other entries.
  std::int64_t ToldFailures(BootTime now) const;

  // All has faded.
  bool IsForgotten(BootTime now) const;

 private:
  // What is left at `now` of a weight at `faded_at_`.
  double RemainingShare(BootTime now) const;

  // Weights at `faded_at_`.
  double outcomes_ = 0.0;
  double served_ = 0.0;
  // With those that were only slow or unreachable.
  double failures_ = 0.0;
  // Of `failures_`, those that count towards breaking it.
  double hard_failures_ = 0.0;
  BootTime faded_at_;
};

}  // namespace balsam::dispatch
