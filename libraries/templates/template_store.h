// Holds the accepted template revision and decides which published revision
// replaces it. The accepted revision never goes down.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string_view>

#include "libraries/base/rcu_cell.h"
#include "libraries/templates/template_set.h"

namespace balsam::templates {

enum class OfferVerdict {
  kAccepted,
  // Not higher than the accepted revision.
  kNotNewer,
  // Invalid: the last accepted revision stays in force.
  kRejected,
};

class TemplateStore {
 public:
  TemplateStore() : in_force_(TemplateSet::Empty()) {}

  // Offers a published revision, from the platform or from a peer. On
  // kRejected, `problems` says why. Safe to call from any thread.
  OfferVerdict Offer(std::uint64_t revision, std::string_view text,
                     TemplateSet::Problems& problems);

  // The set in force. A request holds the one that admitted it.
  std::shared_ptr<const TemplateSet> InForce() const {
    return in_force_.Read();
  }

  // The highest revision that was seen but rejected; zero if there is none.
  std::uint64_t rejected_revision() const {
    return rejected_revision_.load(std::memory_order_acquire);
  }

 private:
  // Serializes offers, so that two of them cannot publish out of order.
  std::mutex offers_;
  RcuCell<TemplateSet> in_force_;
  std::atomic<std::uint64_t> rejected_revision_{0};
};

}  // namespace balsam::templates
