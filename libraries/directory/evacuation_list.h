// The data centres that operators have evacuated. The backend servers there get
// no new requests until the evacuation is withdrawn; what they run already
// ends there.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/boot_clock.h"

namespace balsam::directory {

class EvacuationList {
 public:
  struct Limits {
    // How long an evacuation remains in force after the store came back from an
    // older copy that lacks it: operators write again what the copy lost.
    std::chrono::milliseconds restored_doubt{5000};
  };

  explicit EvacuationList(Limits limits) : limits_(limits) {}

  // Returns whether the data centre was in use before.
  bool OnRequested(const std::string& data_center);
  // Returns whether the data centre was evacuated before.
  bool OnWithdrawn(const std::string& data_center);
  // The store was restored from a copy that lacks the evacuation.
  void OnMissingFromCopy(const std::string& data_center, BootTime now);
  // Removes and returns the data centres whose evacuation was not written again
  // in time.
  std::vector<std::string> TakeLapsed(BootTime now);

  bool Contains(std::string_view data_center) const {
    return data_centers_.contains(data_center);
  }
  std::size_t size() const { return data_centers_.size(); }

 private:
  Limits limits_;
  // Evacuated data centres. The time is set for those that the store's copy
  // lacks: until then they remain evacuated.
  std::map<std::string, std::optional<BootTime>, std::less<>> data_centers_;
};

}  // namespace balsam::directory
