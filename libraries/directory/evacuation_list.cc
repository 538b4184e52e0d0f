// Requests and withdrawals of evacuations, also as the store lost them.
#include "libraries/directory/evacuation_list.h"

namespace balsam::directory {

bool EvacuationList::OnRequested(const std::string& data_center) {
  return data_centers_.insert_or_assign(data_center, std::nullopt).second;
}

bool EvacuationList::OnWithdrawn(const std::string& data_center) {
  return data_centers_.erase(data_center) > 0;
}

void EvacuationList::OnMissingFromCopy(const std::string& data_center,
                                       BootTime now) {
  const auto found = data_centers_.find(data_center);
  if (found != data_centers_.end()) {
    found->second = now + limits_.restored_doubt;
  }
}

std::vector<std::string> EvacuationList::TakeLapsed(BootTime now) {
  std::vector<std::string> lapsed;
  std::erase_if(data_centers_, [&](const auto& item) {
    if (!item.second.has_value() || now < *item.second) return false;
    lapsed.push_back(item.first);
    return true;
  });
  return lapsed;
}

}  // namespace balsam::directory
