// Holds the current template revision and decides which published revision
// replaces it. The current revision never decreases.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string_view>

#include "libraries/base/rcu_cell.h"
#include "libraries/templates/template_set.h"

namespace balsam::templates {

enum class OfferResult {
  kAccepted,
  // Not higher than the current revision.
  kNotNewer,
  // Invalid; the current revision is kept.
  kRejected,
};

class TemplateStore {
 public:
  TemplateStore() : current_(TemplateSet::Empty()) {}

  // Offers a revision that was received from the platform or from a peer. On
  // kRejected, `problems` contains the reasons. Safe to call from any thread.
  OfferResult Offer(std::uint64_t revision, std::string_view text,
                    TemplateSet::Problems& problems);

  // The current set. A request keeps the set under which it was admitted.
  std::shared_ptr<const TemplateSet> Current() const { return current_.Read(); }

  // The highest rejected revision; zero if there is none.
  std::uint64_t rejected_revision() const {
    return rejected_revision_.load(std::memory_order_acquire);
  }

 private:
  // Serializes offers, so that concurrent ones are not published out of order.
  std::mutex offer_mutex_;
  RcuCell<TemplateSet> current_;
  std::atomic<std::uint64_t> rejected_revision_{0};
};

}  // namespace balsam::templates
