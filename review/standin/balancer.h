// The platform's balancer in front of the nodes of one zone, as PROTOCOL.md
// tells it under "Ingress".
#pragma once

#include <memory>
#include <random>

#include "gateway.h"
#include "record.h"

namespace standin {

class Balancer {
 public:
  Balancer(std::vector<std::unique_ptr<Gateway>>& nodes, Record& record)
      : nodes_(nodes), record_(record), misses_(nodes.size()) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      std::thread([this, i] { Check(i); }).detach();
    }
  }

  // The node that gets a new connection. Those in rotation, or all of them if
  // fewer than half are.
  std::size_t Choose() {
    const std::scoped_lock lock(mutex_);
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (misses_[i] < 2) chosen.push_back(i);
    }
    if (2 * chosen.size() < nodes_.size()) {
      chosen.clear();
      for (std::size_t i = 0; i < nodes_.size(); ++i) chosen.push_back(i);
    }
    return chosen[random_() % chosen.size()];
  }

 private:
  // Asks once a second; two questions in a row without a 200 take a node out.
  void Check(std::size_t node) {
    while (true) {
      const bool is_ready = nodes_[node]->IsReady();
      {
        const std::scoped_lock lock(mutex_);
        const int before = misses_[node];
        misses_[node] = is_ready ? 0 : before + 1;
        if (misses_[node] == 2 || (is_ready && before >= 2)) {
          record_.Line("balancer: " + nodes_[node]->name() +
                       (is_ready ? " is in rotation" : " is out of rotation"));
        }
      }
      std::this_thread::sleep_for(milliseconds(1000));
    }
  }

  std::vector<std::unique_ptr<Gateway>>& nodes_;
  Record& record_;
  std::mutex mutex_;
  std::vector<int> misses_;
  std::minstd_rand random_{7};
};

}  // namespace standin
