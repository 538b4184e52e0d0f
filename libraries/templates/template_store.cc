// Acceptance of offered revisions.
#include "libraries/templates/template_store.h"

#include <algorithm>

namespace balsam::templates {

OfferResult TemplateStore::Offer(std::uint64_t revision, std::string_view text,
                                 TemplateSet::Problems& problems) {
  const std::lock_guard lock(offer_mutex_);
  if (revision <= Current()->revision()) return OfferResult::kNotNewer;
  auto next = TemplateSet::Parse(revision, text, problems);
  if (next == nullptr) {
    rejected_revision_.store(std::max(rejected_revision(), revision),
                             std::memory_order_release);
    return OfferResult::kRejected;
  }
  current_.Publish(std::move(next));
  return OfferResult::kAccepted;
}

}  // namespace balsam::templates
