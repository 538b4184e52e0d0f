// One thread's links to sidecars, and the selection of a sidecar for a request.
#pragma once

#include <QObject>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

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

  // Returns the VM to send the request to, or the outcome to report if there is
  // none.
  std::variant<std::string, Outcome> SelectVm(
      const CallerRequest& request, const std::set<std::string>& excluded);
  // Returns the link to a VM; null if the VM is not listed and no link to it
  // exists.
  peer::PeerLink* GetLink(const std::string& vm);
  // Records a load report, and sends the VM list to a sidecar that reported an
  // older revision of it.
  void OnLoadReport(const std::string& vm, const execution::LoadReport& report);
  // Closes links without open streams to VMs that are no longer listed, or no
  // longer at that address.
  void CloseUnlistedLinks();
  // Bytes sent and received on all links.
  std::uint64_t bytes() const;

 private:
  std::variant<std::string, Outcome> SelectKeyOwner(
      const CallerRequest& request, const std::set<std::string>& excluded,
      const membership::VmList& list) const;

  SharedState& shared_;
  placement::AnyPolicy policy_;
  std::map<std::string, std::unique_ptr<peer::PeerLink>> links_;
  // Links to earlier addresses of VMs, until their streams have ended.
  std::vector<std::unique_ptr<peer::PeerLink>> replaced_links_;
  // The VM list revision that was last sent to each VM.
  std::map<std::string, std::uint64_t> sent_list_revisions_;
};

}  // namespace balsam::entry
