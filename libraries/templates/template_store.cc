// The rule of acceptance.
#include "libraries/templates/template_store.h"

#include <algorithm>

namespace balsam::templates {

OfferVerdict TemplateStore::Offer(std::uint64_t revision, std::string_view text,
                                  TemplateSet::Problems& problems) {
  const std::lock_guard lock(offers_);
  if (revision <= InForce()->revision()) return OfferVerdict::kNotNewer;
  auto next = TemplateSet::Parse(revision, text, problems);
  if (next == nullptr) {
    rejected_revision_.store(std::max(rejected_revision(), revision),
                             std::memory_order_release);
    return OfferVerdict::kRejected;
  }
  in_force_.Publish(std::move(next));
  return OfferVerdict::kAccepted;
}

}  // namespace balsam::templates
