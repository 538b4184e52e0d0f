// Tracks the load of backend servers as known to one entry: their last reports
// and the requests sent since. Thread-safe; shared by the entry's threads.
#pragma once

#include <cstddef>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "libraries/placement/placement.h"

namespace balsam::placement {

class LoadTracker {
 public:
  void OnReport(const std::string& vm, const execution::LoadReport& report);
  void OnRequestSent(const std::string& vm, std::int64_t prompt_tokens);
  void OnRequestClosed(const std::string& vm);
  // A connection to the VM's sidecar was established. The sidecar may be a new
  // process, so its last report is dropped.
  void OnConnected(const std::string& vm);
  // Removes VMs that are not in `listed` and have no open requests.
  void Retain(const std::set<std::string>& listed);

  // Returns a candidate for each of `vms` that is not draining.
  std::vector<Candidate> Candidates(const std::vector<std::string>& vms) const;
  // Number of VMs of which anything is known.
  std::size_t tracked_vms() const;

 private:
  struct TrackedVm {
    Candidate candidate;
    // When `candidate.lagged_report` was received.
    BootTime lagged_report_at;
  };

  mutable std::mutex mutex_;
  std::map<std::string, TrackedVm> vms_;
};

}  // namespace balsam::placement
