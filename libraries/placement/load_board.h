// What an entry knows of the load of backend servers: their last reports and
// what it has sent since. Shared by the entry's threads.
#pragma once

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "libraries/placement/placement.h"

namespace balsam::placement {

class LoadBoard {
 public:
  void OnReport(const std::string& vm, const execution::LoadReport& report);
  void OnSent(const std::string& vm, std::int64_t prompt_tokens);
  void OnClosed(const std::string& vm);
  // A connection to the VM's sidecar came about: it may be a new one there.
  void OnConnected(const std::string& vm);
  // Forgets VMs that are not among `listed`.
  void Retain(const std::set<std::string>& listed);

  // One row for each of `vms` that does not drain.
  std::vector<Candidate> Candidates(const std::vector<std::string>& vms) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, Candidate> rows_;
  std::map<std::string, BootTime> lagged_at_;
};

}  // namespace balsam::placement
