// The outcomes of recent requests to one backend server, with exponential decay
// so that a server that has recovered is used again.
#pragma once

#include <chrono>
#include <cstdint>

#include "libraries/base/boot_clock.h"

namespace balsam::dispatch {

enum class AttemptResult {
  kSucceeded,
  // The server refused the request for lack of capacity.
  kRefused,
  // The request failed, its response was cut off, or no response came within a
  // multiple of its latency objective.
  kFailed,
  // The response took longer than its objective. It adds to the failure rate
  // but does not make the server unhealthy, since many servers are slow under
  // load.
  kSlow,
  // The connection failed.
  kUnreachable,
  // Ended for a reason unrelated to the server, such as a client that
  // disconnected.
  kInconclusive,
};

class OutcomeHistory {
 public:
  // Half-life of the weight of an outcome.
  static constexpr std::chrono::milliseconds kHalfLife{2500};
  // A server with at least this many weighted failures, and more of them than
  // successes, is unhealthy: losing another request costs more than trying it
  // is worth. Its failures halve with each half-life, so it is tried again.
  static constexpr double kUnhealthyThreshold = 3.0;
  // Upper bound on the failures that one entry reports to others. It is below
  // `kUnhealthyThreshold` because the entry's own links may be the cause; two
  // entries must report failures to make a server unhealthy for others.
  static constexpr std::int64_t kMaxReportedFailures = 2;

  void Add(AttemptResult result, BootTime now);

  // Weighted share of failures among outcomes, from 0 to 1. `remote_failures`:
  // failures that other entries reported.
  double FailureRate(std::int64_t remote_failures, BootTime now) const;
  bool IsUnhealthy(std::int64_t remote_failures, BootTime now) const;
  // Failures to report to other entries.
  std::int64_t ReportedFailures(BootTime now) const;

  // Whether the weight of all outcomes has become negligible.
  bool HasDecayed(BootTime now) const;

 private:
  // Fraction of a weight as of `decayed_at_` that is left at `now`.
  double DecayFactor(BootTime now) const;

  // Weights as of `decayed_at_`.
  double outcomes_ = 0.0;
  double succeeded_ = 0.0;
  // Includes slow and unreachable outcomes.
  double failures_ = 0.0;
  // The part of `failures_` that can make the server unhealthy.
  double hard_failures_ = 0.0;
  BootTime decayed_at_;
};

}  // namespace balsam::dispatch
