// One thread's connections to sidecars, and the choice among them.
#pragma once

#include <QObject>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "libraries/base/outcome.h"
#include "libraries/peer/peer_link.h"
#include "libraries/placement/placement.h"
#include "services/entry/caller_request.h"
#include "services/entry/shared_state.h"

namespace balsam::entry {

class SidecarPool : public QObject {
  Q_OBJECT

 public:
  SidecarPool(SharedState& shared, std::uint64_t seed,
              QObject* parent = nullptr);

  // Returns the VM to send the request to, or the outcome if there is none.
  std::variant<std::string, Outcome> Choose(
      const CallerRequest& request, const std::set<std::string>& excluded);
  // The link to a VM; null if the list does not have it.
  peer::PeerLink* LinkTo(const std::string& vm);
  // Sends the VM list to a sidecar that reported an older one.
  void OnReport(const std::string& vm, const execution::LoadReport& report);
  // Drops links to VMs that left the list and have nothing open.
  void DropUnlisted();
  std::uint64_t bytes() const;

 private:
  std::variant<std::string, Outcome> ChooseHome(
      const CallerRequest& request, const std::set<std::string>& excluded,
      const membership::VmList& list) const;

  SharedState& shared_;
  placement::AnyPolicy policy_;
  std::map<std::string, std::unique_ptr<peer::PeerLink>> links_;
  // The list revision that was last sent to each VM.
  std::map<std::string, std::uint64_t> list_sent_;
};

}  // namespace balsam::entry
